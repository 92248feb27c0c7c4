"""No open work, however much, keeps a leader from ending its rounds in time.

A leader stores nothing during a round. Others take one for lost whose round
takes longer than ``LEADER_TIMEOUT_MS``, and the next leader begins with the
same round. Work is counted here, not timed.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from magnoliapitch.control.controller import Controller
from magnoliapitch.ledger.claim_delay import LEADER_TIMEOUT_MS
from magnoliapitch.ledger.open_work import MAX_OPEN_BYTES
from magnoliapitch.ledger.records import JOB_PREFIX
from magnoliapitch.ledger.records import encode_job
from magnoliapitch.ledger.state_table import JobState
from magnoliapitch.ledger.state_table import PublishedJob
from magnoliapitch.planner.options import PlanningOptions
from magnoliapitch.planner.waiting_steps import MAX_CONSIDERED_STEPS
from magnoliapitch.resource import Resources
from magnoliapitch.workload.configuration import PermitTiming
from magnoliapitch.workload.footprint import footprint_bytes
from magnoliapitch.workload.job import JobSpec
from magnoliapitch.workload.job import StepSpec
from magnoliapitch.workload.job_limits import MAX_OPEN_TASKS_OF_RECURRING_JOB
from magnoliapitch.workload.job_limits import MAX_STEPS_PER_JOB
from tests.call_counter import CallCounter
from tests.control import simulation as simulation_module
from tests.control.simulation import Simulation
from tests.control.simulation import queue
from tests.control.simulation import workers


if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Iterator

MAX_ROUND_MS = LEADER_TIMEOUT_MS / 2
SMALL = Resources(1_000, 256)
# Such a task fits on no worker.
HUGE = Resources(64_000, 256)
OPTIONS = PlanningOptions(preemption=True, admission=True, worker_speeds=True)
TIMING = PermitTiming(62, 0.9, 2_500)
# Longer than the intervals of all that is done at intervals.
RUN_MS = 3_600


def recurring(size: Resources) -> JobSpec:
    """Return a job whose occurrences are overdue."""
    count = MAX_OPEN_TASKS_OF_RECURRING_JOB
    steps = (StepSpec(1, size, estimate_ms=300),)
    return JobSpec("", "q", "x", steps, count, -100 * count, 100)


def of_steps(size: Resources, count: int = 1) -> JobSpec:
    return JobSpec("", "q", "x", (StepSpec(1, size, estimate_ms=300),) * count)


def service(size: Resources) -> JobSpec:
    return JobSpec("", "q", "x", (StepSpec(1, size, is_long_running=True),))


def filling(spec: JobSpec) -> Iterator[JobSpec]:
    """Return jobs of a kind up to the limit of all open work."""
    count = MAX_OPEN_BYTES // footprint_bytes(spec)
    for number in range(count):
        yield spec._replace(job_id=f"j{number:05}")


class CountedRounds:
    """Counts the work of each round of a simulation's leaders."""

    def __init__(self, patch: pytest.MonkeyPatch) -> None:
        self.durations_ms: list[float] = []
        original = Controller.run_round

        def run_round(
            controller: Controller, now_ms: int, wall_ms: int
        ) -> None:
            with CallCounter() as calls:
                original(controller, now_ms, wall_ms)
            self.durations_ms.append(calls.duration_ms)

        patch.setattr(Controller, "run_round", run_round)


@pytest.fixture
def rounds(monkeypatch: pytest.MonkeyPatch) -> CountedRounds:
    monkeypatch.setattr(simulation_module, "ROUND_MS", 100)
    return CountedRounds(monkeypatch)


def begin(
    permit_timing: PermitTiming | None, specs: Iterable[JobSpec]
) -> Simulation:
    """Let a leader take over jobs that a former one has published."""
    queues = [queue("q", 0, permit_timing), queue("r", 1, permit_timing)]
    simulation = Simulation(queues, workers(12), options=OPTIONS)
    for spec in specs:
        simulation.specs[spec.job_id] = spec
        key = JOB_PREFIX + spec.job_id
        simulation.job_table.apply({key: encode_job(spec)}, [key])
        published = PublishedJob(JobState.PENDING, spec.queue, spec.workspace)
        simulation.states.put(spec.job_id, published)
    simulation.take_over()
    return simulation


# Twelve recurring jobs of 1,000 overdue occurrences each (review/11), or any
# other work within the limits, kept each leader in its first round.
@pytest.mark.parametrize(
    ("spec", "permit_timing"),
    [
        (recurring(SMALL), None),
        (recurring(HUGE), TIMING),
        (of_steps(SMALL), None),
        (of_steps(HUGE, MAX_STEPS_PER_JOB), TIMING),
        (service(HUGE), TIMING),
    ],
    ids=["recurring", "recurring-huge", "jobs", "steps-huge", "services"],
)
def test_no_round_takes_long_with_as_much_work_as_may_be_open(
    spec: JobSpec, permit_timing: PermitTiming | None, rounds: CountedRounds
) -> None:
    simulation = begin(permit_timing, filling(spec))
    simulation.run(RUN_MS)
    state = simulation.controller.state
    assert state.steps_behind
    assert len(state.waiting_steps) <= MAX_CONSIDERED_STEPS
    assert max(rounds.durations_ms) < MAX_ROUND_MS
    assert simulation.violations == []


# Of two queues one has a backlog that no round comes to the end of.
@pytest.mark.parametrize("permit_timing", [None, TIMING])
def test_another_queue_is_served_beside_any_backlog(
    permit_timing: PermitTiming | None,
) -> None:
    simulation = begin(permit_timing, filling(recurring(HUGE)))
    simulation.run(200)
    others = [
        of_steps(SMALL)._replace(job_id=f"z{number}", queue="r")
        for number in range(20)
    ]
    for other in others:
        simulation.submit(other)
    simulation.run(2_500)
    completed = [
        job_id
        for job_id, finished in simulation.finished.items()
        if finished.outcome is JobState.COMPLETED
    ]
    assert sorted(completed) == sorted(other.job_id for other in others)
