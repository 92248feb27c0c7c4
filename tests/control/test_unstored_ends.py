"""Ends of runs that a leader could not store before it was replaced."""

from __future__ import annotations

import pytest

from result import Err
from result import Ok

from magnoliapitch.control.events import Committed
from magnoliapitch.control.events import WorkerReported
from magnoliapitch.ledger.records import progress_key
from magnoliapitch.resource import Resources
from magnoliapitch.verdict import FailureCode
from magnoliapitch.verdict import not_run
from magnoliapitch.workload.job import JobSpec
from magnoliapitch.workload.job import StepSpec
from magnoliapitch.workload.run import EndKind
from tests.control.simulation import Simulation
from tests.control.simulation import queue
from tests.control.simulation import workers


# A leader handled the failure of its commit and, in the same round, the next
# report of a worker: it acknowledged ends that no leader had stored.
@pytest.mark.parametrize("kind", [EndKind.FAILED, EndKind.DONE])
def test_a_leader_acknowledges_nothing_once_its_commit_has_failed(
    kind: EndKind,
) -> None:
    simulation = Simulation([queue("q")], workers(1))
    simulation.actual_duration_ms = lambda _: 20_000.0
    step = StepSpec(1, Resources(1_000, 1_000))
    simulation.submit(JobSpec("a", "q", "text", (step,)))
    simulation.run(1_000)
    (worker,) = simulation.workers.values()
    worker_id = worker.info.worker_id
    ends_in_commit: list[bool] = []
    simulation.on_commit = lambda batch: ends_in_commit.append(
        any(record.key == progress_key("a", 0) for record in batch.progress)
    )
    (run,) = worker.running.values()
    worker.end(run, kind)
    simulation.run_until(lambda: any(ends_in_commit), step_ms=1)
    now_ms = simulation.now_ms
    fenced = Err(not_run(FailureCode.FENCED, "a higher epoch"))
    controller = simulation.controller
    controller.handle_commit(Committed(fenced, now_ms), now_ms)
    report = Ok(worker.report())
    controller.handle_report(WorkerReported(worker_id, report, now_ms, now_ms))
    assert simulation.effects.acknowledged(worker_id) == 0
