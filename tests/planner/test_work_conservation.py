"""No task waits that could start, whatever else waits for permits."""

from __future__ import annotations

import random

from typing import TYPE_CHECKING
from typing import Any

import pytest

from magnoliapitch.planner import Planner
from magnoliapitch.planner import SchedulerState
from magnoliapitch.planner import planner as planner_module
from magnoliapitch.planner.candidate_order import CandidateOrder
from magnoliapitch.planner.plan import IdleCalls
from magnoliapitch.resource import Resources
from magnoliapitch.workload.configuration import PermitTiming
from magnoliapitch.workload.configuration import Queue
from magnoliapitch.workload.job import JobSpec
from magnoliapitch.workload.job import StepKey
from magnoliapitch.workload.job import StepSpec
from magnoliapitch.workload.run import Permit
from tests.planner.test_planner import make_state


if TYPE_CHECKING:
    from collections.abc import Iterator

    from magnoliapitch.planner.candidates import Candidate


QUEUE_COUNT = 3
MAX_JOBS = 120
TICKET_VALID_UNTIL_MS = 2_000
PERMIT_TIMING = PermitTiming(500, 8, 2_000)


def add_random_job(
    state: SchedulerState, number: int, source: random.Random
) -> None:
    """Add a job that waits for a call, or has tickets for some workers."""
    priority = source.randrange(QUEUE_COUNT)
    queue = Queue(
        f"q{priority}", "h", "/", "app", priority, 3, 2.0, 500, 3_000
    )._replace(permit_timing=PERMIT_TIMING)
    size = Resources(source.choice((1_000, 3_000, 5_000)), 2_000)
    has_call = source.random() < 0.5
    is_gang = has_call and source.random() < 0.5
    name = f"job{number}"
    step_spec = StepSpec(source.randint(1, 30), size, is_gang=is_gang)
    state.add_job(JobSpec(name, queue.name, "", (step_spec,)), queue, 0)
    worker_ids = list(state.workers_by_id)
    key = StepKey(name, 0, 0)
    if not has_call:
        permitted = source.sample(worker_ids, source.randint(0, 6))
        permits = [Permit(worker_id, "ticket") for worker_id in permitted]
        state.record_permits(key, worker_ids, permits, TICKET_VALID_UNTIL_MS)
        return
    step = state.step(key)
    assert step is not None
    step.in_flight_worker_ids = frozenset(worker_ids)


def startable_tasks(state: SchedulerState) -> list[str]:
    """Return the steps with a ticket for a worker that has capacity."""
    return [
        f"{key.job_id} on {worker_id}"
        for key, step in state.waiting_steps.items()
        for worker_id in step.tickets_by_worker
        if step.reservation.fits(state.workers_by_id[worker_id].free)
    ]


def random_idle_calls(source: random.Random) -> IdleCalls:
    total = source.choice((0, 4, 30))
    return IdleCalls(total, min(total, source.choice((0, 1, total))))


# Guards against rounds that end, or look away, before steps that could start.
@pytest.mark.parametrize("seed", range(60))
def test_no_task_waits_that_could_start(seed: int) -> None:
    source = random.Random(seed)
    state = make_state(20)
    for number in range(source.randint(1, MAX_JOBS)):
        add_random_job(state, number, source)
    max_starts = source.choice((8, 40, 1_000))
    plan = Planner().plan(
        state,
        1,
        1,
        idle_calls=random_idle_calls(source),
        max_starts=max_starts,
        max_starts_in_flight=max_starts,
    )
    for start in plan.starts:
        state.add_ordered_run(start.task, start.run, start.worker_id, 1)
    assert len(plan.starts) <= max_starts
    if len(plan.starts) < max_starts:
        assert startable_tasks(state) == []


def add_permitted_job(
    state: SchedulerState, name: str, queue: Queue, known_ms: int
) -> None:
    """Add a job of four tasks with tickets for all workers."""
    spec = StepSpec(4, Resources(1_000, 1_000))
    state.add_job(JobSpec(name, queue.name, "", (spec,)), queue, known_ms)
    worker_ids = list(state.workers_by_id)
    permits = [Permit(worker_id, "ticket") for worker_id in worker_ids]
    key = StepKey(name, 0, 0)
    state.record_permits(key, worker_ids, permits, TICKET_VALID_UNTIL_MS)


# Incident SHORT: urgent steps that had no tickets used up the steps that a
# round places, so that scarce orders went to less urgent queues.
def test_an_urgent_step_starts_behind_many_that_have_no_tickets() -> None:
    state = make_state(20)
    base = Queue("urgent", "h", "/", "app", 0, 3, 2.0, 500, 3_000)
    urgent = base._replace(permit_timing=PERMIT_TIMING)
    batches = urgent._replace(name="batches", priority=2)
    waiting = StepSpec(4, Resources(1_000, 1_000))
    for number in range(200):
        state.add_job(
            JobSpec(f"a{number}", "urgent", "", (waiting,)), urgent, 0
        )
    add_permitted_job(state, "ready", urgent, 1)
    for number in range(100):
        add_permitted_job(state, f"b{number}", batches, 0)
    plan = Planner().plan(
        state, 1, 1, idle_calls=IdleCalls(0, 0), max_starts=4
    )
    assert [start.task.job_id for start in plan.starts] == ["ready"] * 4


# One job of 200 lasting steps that no worker suited used up the steps that a
# round places, and no later job of its queue was ever started (review/13).
@pytest.mark.parametrize("permit_timing", [None, PERMIT_TIMING])
@pytest.mark.parametrize(
    "unsuited",
    [
        StepSpec(1, Resources(1_000, 1_000), label="no worker has it"),
        StepSpec(1, Resources(64_000, 1_000)),
    ],
    ids=["label", "size"],
)
def test_a_step_starts_behind_many_that_no_worker_suits(
    unsuited: StepSpec, permit_timing: PermitTiming | None
) -> None:
    state = make_state(20)
    queue = Queue("q", "h", "/", "app", 0, 3, 2.0, 500, 3_000, permit_timing)
    lasting = unsuited._replace(is_long_running=True)
    state.add_job(JobSpec("lasting", "q", "", (lasting,) * 200), queue, 0)
    ordinary = StepSpec(2, Resources(1_000, 1_000))
    state.add_job(JobSpec("ordinary", "q", "", (ordinary,)), queue, 1)
    plan = Planner().plan(state, 1, 1, idle_calls=IdleCalls(4, 4))
    if permit_timing is not None:
        [request] = plan.permit_requests
        assert request.step.job_id == "ordinary"
        return
    started_ids = [start.task.job_id for start in plan.starts]
    assert started_ids == ["ordinary"] * 2


# The same, with workers that suit the lasting steps and are full.
@pytest.mark.parametrize("permit_timing", [None, PERMIT_TIMING])
def test_a_step_starts_behind_many_services_that_fit_nowhere_now(
    permit_timing: PermitTiming | None,
) -> None:
    state = make_state(2)
    queue = Queue("q", "h", "/", "app", 0, 3, 2.0, 500, 3_000, permit_timing)
    half = StepSpec(2, Resources(4_000, 1_000))
    state.add_job(JobSpec("half", "q", "", (half,)), queue, 0)
    for position in range(2):
        key = StepKey("half", 0, 0).task(position)
        state.add_ordered_run(key, 1, f"w{position}", 0)
    wide = StepSpec(1, Resources(5_000, 1_000), is_long_running=True)
    state.add_job(JobSpec("lasting", "q", "", (wide,) * 200), queue, 0)
    ordinary = StepSpec(2, Resources(1_000, 1_000))
    state.add_job(JobSpec("ordinary", "q", "", (ordinary,)), queue, 1)
    for step in list(state.waiting_steps.values()):
        permits = [Permit("w0", "ticket"), Permit("w1", "ticket")]
        ids = ["w0", "w1"]
        state.record_permits(step.key, ids, permits, TICKET_VALID_UNTIL_MS)
    plan = Planner().plan(state, 1, 1, idle_calls=IdleCalls(4, 4))
    started_ids = [start.task.job_id for start in plan.starts]
    assert started_ids == ["ordinary"] * 2


class CountingOrder(CandidateOrder):
    """Counts the steps for which workers are chosen or asked about."""

    count = 0

    def for_start(self, *args: Any) -> list[Candidate]:
        CountingOrder.count += 1
        return super().for_start(*args)

    def for_request(self, *args: Any) -> Iterator[Candidate]:
        CountingOrder.count += 1
        return super().for_request(*args)


# Incident SHORT: rounds without orders went through the workers for every step
# that waited, and took the processor from the threads that pass orders on.
@pytest.mark.parametrize("max_calls", [0, 4])
def test_a_round_without_orders_examines_only_steps_that_get_a_call(
    monkeypatch: pytest.MonkeyPatch, max_calls: int
) -> None:
    monkeypatch.setattr(planner_module, "CandidateOrder", CountingOrder)
    state = make_state(20)
    base = Queue("urgent", "h", "/", "app", 0, 3, 2.0, 500, 3_000)
    urgent = base._replace(permit_timing=PERMIT_TIMING)
    waiting = StepSpec(4, Resources(1_000, 1_000))
    for number in range(50):
        add_permitted_job(state, f"R{number}", urgent, 0)
        state.add_job(
            JobSpec(f"a{number}", "urgent", "", (waiting,)), urgent, 0
        )
    CountingOrder.count = 0
    plan = Planner().plan(
        state,
        1,
        1,
        idle_calls=IdleCalls(max_calls, max_calls),
        max_starts=0,
        max_starts_in_flight=100,
    )
    assert len(plan.permit_requests) == max_calls
    assert CountingOrder.count == max_calls
