from __future__ import annotations

import pytest

from magnoliapitch.planner import Planner
from magnoliapitch.planner import SchedulerState
from magnoliapitch.planner.plan import IdleCalls
from magnoliapitch.resource import Resources
from magnoliapitch.workload.configuration import PermitTiming
from magnoliapitch.workload.configuration import Queue
from magnoliapitch.workload.job import JobSpec
from magnoliapitch.workload.job import StepKey
from magnoliapitch.workload.job import StepSpec
from magnoliapitch.workload.job import TaskKey
from magnoliapitch.workload.run import Permit
from magnoliapitch.workload.worker import WorkerInfo


PERMIT_TIMING = PermitTiming(decision_ms=5, per_worker_ms=1, valid_ms=2_500)
SIZE = Resources(2_000, 4_000)
STEP = StepKey("a", 0, 0)


def make_state(count: int = 4, **fields: object) -> SchedulerState:
    state = SchedulerState()
    for number in range(count):
        info = WorkerInfo(
            f"w{number}", "app", f"10.0.0.{number}:1", "z", f"r{number % 2}"
        )._replace(capacity=Resources(8_000, 16_000), **fields)  # type: ignore[arg-type]
        state.update_worker(info).is_usable = True
    return state


def add_job(
    state: SchedulerState,
    *steps: StepSpec,
    name: str = "a",
    permit_timing: PermitTiming | None = None,
    priority: int = 0,
) -> None:
    queue = Queue(
        "q", "h", "/", "app", priority, 3, 2.0, 500, 3_000, permit_timing
    )
    state.add_job(JobSpec(name, "q", "", steps), queue, 0)


def test_a_refused_ticket_is_requested_again() -> None:
    state = make_state()
    add_job(state, StepSpec(1, SIZE), permit_timing=PERMIT_TIMING)
    planner = Planner()
    request = planner.plan(state, 0, 0).permit_requests[0]
    state.record_permits(STEP, request.worker_ids, [Permit("w1", "t")], 2_500)
    start = planner.plan(state, 10, 10).starts[0]
    assert (start.worker_id, start.ticket) == ("w1", "t")
    step = state.step(STEP)
    assert step is not None
    del step.tickets_by_worker["w1"]
    plan = planner.plan(state, 20, 20)
    assert plan.permit_requests[0].worker_ids == ("w1",)
    assert not plan.starts


def test_a_valid_ticket_for_another_worker_saves_a_call() -> None:
    state = make_state()
    add_job(state, StepSpec(1, SIZE), permit_timing=PERMIT_TIMING)
    names = list(state.workers_by_id)
    permits = [Permit(name, "t") for name in names]
    state.record_permits(STEP, names, permits, 2_500)
    step = state.step(STEP)
    assert step is not None
    del step.tickets_by_worker[names[0]]
    plan = Planner().plan(state, 20, 20)
    assert len(plan.starts) == 1
    assert not plan.permit_requests


def test_a_ticket_that_expires_soon_is_not_used() -> None:
    state = make_state()
    add_job(state, StepSpec(2, SIZE), permit_timing=PERMIT_TIMING)
    permits = [Permit(name, "t") for name in state.workers_by_id]
    state.record_permits(STEP, state.workers_by_id, permits, 2_500)
    plan = Planner().plan(state, 2_400, 2_400)
    assert not plan.starts
    assert len(plan.permit_requests) == 1


def test_only_permitted_workers_run_a_step() -> None:
    state = make_state()
    add_job(state, StepSpec(3, SIZE), permit_timing=PERMIT_TIMING)
    names = list(state.workers_by_id)
    state.record_permits(STEP, names, [Permit("w2", "t")], 2_500)
    plan = Planner().plan(state, 0, 0)
    assert {start.worker_id for start in plan.starts} == {"w2"}


def test_no_worker_gets_more_than_its_capacity() -> None:
    state = make_state(2)
    add_job(state, StepSpec(20, SIZE))
    starts = Planner().plan(state, 0, 0).starts
    assert len(starts) == 8


def test_max_per_worker_limits_the_tasks_of_a_step() -> None:
    state = make_state(3)
    add_job(state, StepSpec(9, SIZE, max_per_worker=2))
    starts = Planner().plan(state, 0, 0).starts
    counts = [
        sum(start.worker_id == name for start in starts)
        for name in state.workers_by_id
    ]
    assert counts == [2, 2, 2]


def test_only_workers_with_the_required_label_run_a_step() -> None:
    state = make_state(2)
    state.update_worker(
        WorkerInfo(
            "w9", "app", "10.0.0.9:1", "z", "r9", frozenset(("gpu",))
        )._replace(capacity=Resources(8_000, 16_000))
    ).is_usable = True
    add_job(state, StepSpec(2, SIZE, label="gpu"))
    starts = Planner().plan(state, 0, 0).starts
    assert {start.worker_id for start in starts} == {"w9"}


def test_a_draining_worker_gets_no_tasks() -> None:
    state = make_state(2, is_draining=True)
    add_job(state, StepSpec(2, SIZE))
    assert not Planner().plan(state, 0, 0).starts


def test_the_most_urgent_queue_comes_first() -> None:
    state = make_state(1)
    add_job(state, StepSpec(4, SIZE), name="bulk", priority=2)
    add_job(state, StepSpec(4, SIZE), name="urgent", priority=0)
    starts = Planner().plan(state, 0, 0).starts
    assert {start.task.job_id for start in starts} == {"urgent"}


def test_an_occurrence_waits_until_it_is_due() -> None:
    state = make_state()
    queue = Queue("q", "h", "/", "app")
    spec = JobSpec("a", "q", "", (StepSpec(1, SIZE),), 2, 1_000, 500)
    state.add_job(spec, queue, 0)
    planner = Planner()
    assert not planner.plan(state, 0, 999).starts
    assert len(planner.plan(state, 1, 1_000).starts) == 1
    assert len(planner.plan(state, 2, 1_500).starts) == 2


def test_a_gang_requests_all_its_tickets_in_one_call() -> None:
    state = make_state(6)
    big = Resources(5_000, 4_000)
    add_job(state, StepSpec(4, big, is_gang=True), permit_timing=PERMIT_TIMING)
    names = list(state.workers_by_id)
    state.record_permits(STEP, names, [Permit(n, "t") for n in names], 2_500)
    step = state.step(STEP)
    assert step is not None
    for name in names[:3]:
        del step.tickets_by_worker[name]
    plan = Planner().plan(state, 0, 0)
    assert not plan.starts
    assert set(plan.permit_requests[0].worker_ids) == set(names)


def test_a_gang_keeps_the_workers_of_its_advisor_call() -> None:
    state = make_state(4)
    big = Resources(5_000, 4_000)
    add_job(
        state,
        StepSpec(2, big, is_gang=True),
        name="a",
        permit_timing=PERMIT_TIMING,
    )
    add_job(state, StepSpec(4, big), name="b", priority=1)
    names = list(state.workers_by_id)
    state.record_permits(STEP, names, [Permit(n, "t") for n in names], 100)
    step = state.step(STEP)
    assert step is not None
    step.in_flight_worker_ids = frozenset(names[2:])
    plan = Planner().plan(state, 1_000, 1_000)
    assert {start.worker_id for start in plan.starts} == set(names[:2])


# Guards against room that stays empty while nobody is asked for permits.
@pytest.mark.parametrize("is_gang", [True, False])
def test_no_capacity_is_kept_for_a_step_that_gets_no_advisor_call(
    is_gang: bool,
) -> None:
    state = make_state(4)
    size = Resources(5_000, 4_000)
    names = list(state.workers_by_id)
    for job, valid_until_ms in (("a", 100), ("b", 2_500)):
        add_job(
            state,
            StepSpec(4, size, is_gang=is_gang),
            name=job,
            permit_timing=PERMIT_TIMING,
            priority=int(job == "b"),
        )
        permits = [Permit(name, "t") for name in names]
        state.record_permits(
            StepKey(job, 0, 0), names, permits, valid_until_ms
        )
    starts = (
        Planner().plan(state, 1_000, 1_000, idle_calls=IdleCalls(0, 0)).starts
    )
    assert [start.task.job_id for start in starts] == ["b"] * 4
    plan = Planner().plan(state, 1_000, 1_000, idle_calls=IdleCalls(1, 1))
    assert [request.step.job_id for request in plan.permit_requests] == ["a"]
    assert not plan.starts


def test_permits_are_requested_only_for_tasks_that_can_start_soon() -> None:
    """Others would expire unused and be requested again and again."""
    state = make_state(40)
    for number in range(100):
        step = StepSpec(4, SIZE)
        add_job(state, step, name=f"a{number}", permit_timing=PERMIT_TIMING)
    planner = Planner()
    assert len(planner.plan(state, 1, 1).permit_requests) == 100
    few = planner.plan(state, 1, 1, max_starts=4)
    assert len(few.permit_requests) == 4
    none = planner.plan(state, 1, 1, max_starts=0)
    assert none.permit_requests == ()


def test_no_more_starts_are_planned_than_can_be_sent() -> None:
    state = make_state(6)
    add_job(state, StepSpec(6, SIZE), name="a")
    add_job(state, StepSpec(6, SIZE), name="b")
    add_job(state, StepSpec(6, SIZE, is_gang=True), name="c")
    planner = Planner()
    assert len(planner.plan(state, 1, 1, max_starts=8).starts) == 8
    starts = planner.plan(state, 1, 1, max_starts=13).starts
    assert sum(start.task.job_id == "c" for start in starts) == 6


# Of services that were down, the one with the first objective came first.
def test_the_service_that_was_down_longest_comes_first() -> None:
    state = make_state(1)
    service = StepSpec(1, Resources(1_000, 1_000), is_long_running=True)
    for name, lost_ms, priority in (("a", 300, 0), ("b", 100, 5)):
        add_job(state, service, name=name, priority=priority)
        run = state.add_ordered_run(TaskKey(name, 0, 0, 0), 1, "w0", 0)
        state.confirm_run(run, lost_ms)
    state.lose_runs("w0")
    starts = Planner().plan(state, 400, 400).starts
    assert [start.task.job_id for start in starts] == ["b", "a"]
