"""What an instance has accepted runs, whatever callers and operators do.

Each job takes the way of a caller's: it is posted, and the leader loads what
was stored.
"""

from __future__ import annotations

import json

from typing import TYPE_CHECKING
from typing import Any

from magnoliapitch.ledger.records import decode_job
from magnoliapitch.ledger.state_table import JobState
from magnoliapitch.workload.job import JobSpec
from magnoliapitch.workload.job import StepSpec
from magnoliapitch.workload.job import TaskKey
from magnoliapitch.workload.run import EndKind
from tests.access.configurations import PRIVATE_QUEUE
from tests.control.simulation import Simulation
from tests.control.simulation import queue
from tests.control.simulation import workers
from tests.platform.test_job_application import NORTH_KEY
from tests.platform.test_job_application import Instance


if TYPE_CHECKING:
    import pytest


QUEUE = queue(PRIVATE_QUEUE.name)
TASK = {"count": 1, "cpu": 500, "mem-mb": 100, "estimate-ms": 10}
OTHER = JobSpec("other", QUEUE.name, "text", (StepSpec(2),))
# Reads of a step's duration that are enough for some rounds of planning.
MAX_READS = 200_000


def accept(*steps: dict[str, Any]) -> JobSpec:
    """Post a job; return it as it is stored."""
    instance = Instance()
    body = json.dumps({"spec": "text", "steps": steps}).encode()
    assert instance.call("POST", "/plans/0a", NORTH_KEY, body) == 200
    return decode_job(instance.store.stored["j.0a"])


def limit_reads(simulation: Simulation, patch: pytest.MonkeyPatch) -> None:
    """Fail once the durations of steps are read far too often."""
    owner = type(simulation.controller.planner.duration_estimator)
    read = owner.expected_ms
    reads = 0

    def counted(*args: Any) -> float:
        nonlocal reads
        reads += 1
        assert reads <= MAX_READS, "planning does not come to an end"
        return read(*args)

    patch.setattr(owner, "expected_ms", counted)


# review/2: one job of 26 steps, each of which lists all earlier ones, stopped
# planning on every instance, so that no accepted job ran any more.
def test_steps_that_list_all_earlier_ones_hold_up_no_job(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    steps = [{**TASK, "depends-on": list(range(n))} for n in range(26)]
    simulation = Simulation([QUEUE], workers(3))
    simulation.actual_duration_ms = lambda _: 100.0
    limit_reads(simulation, monkeypatch)
    simulation.submit(accept(*steps))
    simulation.submit(OTHER)
    simulation.run(10_000)
    outcomes = {job.outcome for job in simulation.finished.values()}
    assert simulation.finished.keys() == {"0a", "other"}
    assert outcomes == {JobState.COMPLETED}


# review/4: a job that was accepted on a queue which the leader's newer
# configuration had dropped never ran, and other instances answered 410.
def test_a_job_of_a_queue_that_the_leader_has_dropped_runs() -> None:
    simulation = Simulation([queue("other")], workers(3))
    simulation.submit(accept(TASK))
    simulation.run(500)
    assert simulation.states.get("0a") is not None
    simulation.run(3_000)
    assert simulation.finished["0a"].outcome is JobState.COMPLETED


# review/5: a long-running task that ended as done was never started again, and
# its job was shown as completed although nobody had cancelled it.
def test_a_long_running_task_that_ends_as_done_starts_again() -> None:
    simulation = Simulation([QUEUE], workers(3))
    simulation.actual_duration_ms = lambda _: 1e9
    simulation.submit(accept({**TASK, "long-running": True}))
    simulation.run(4_000)
    for worker in simulation.workers.values():
        for run in list(worker.running.values()):
            worker.end(run, EndKind.DONE)
    simulation.run(2_000)
    assert simulation.starts[TaskKey("0a", 0, 0, 0)] == 2
    assert simulation.finished == {}
    assert simulation.violations == []
