"""Channels to the advisor that take short calls only."""

from __future__ import annotations

from magnoliapitch.planner import Planner
from magnoliapitch.planner import SchedulerState
from magnoliapitch.planner.plan import IdleCalls
from magnoliapitch.resource import Resources
from magnoliapitch.workload.configuration import PermitTiming
from magnoliapitch.workload.configuration import Queue
from magnoliapitch.workload.job import JobSpec
from magnoliapitch.workload.job import StepKey
from magnoliapitch.workload.job import StepSpec
from magnoliapitch.workload.run import Permit
from tests.planner.test_planner import make_state


SIZE = Resources(2_000, 4_000)
LONG_TIMING = PermitTiming(decision_ms=400, per_worker_ms=5, valid_ms=2_500)
SHORT_TIMING = PermitTiming(decision_ms=10, per_worker_ms=0, valid_ms=2_500)
# Ranks first, so that it gets the first call that it can use.
LONG = Queue("long", "h", "/", "app", 0, 3, 2.0, 500, 3_000, LONG_TIMING)
SHORT = LONG._replace(name="short", priority=1, permit_timing=SHORT_TIMING)
ONLY_SHORT_CALLS = IdleCalls(total=1, long=0)


def state_with(*jobs: tuple[str, Queue, int]) -> SchedulerState:
    """Return a state with jobs of one step.

    :param jobs: name, queue and number of tasks of each.
    """
    state = make_state()
    for name, queue, task_count in jobs:
        step = StepSpec(task_count, SIZE)
        state.add_job(JobSpec(name, queue.name, "", (step,)), queue, 0)
    return state


def requested(state: SchedulerState, idle_calls: IdleCalls) -> list[str]:
    plan = Planner().plan(state, 0, 0, idle_calls)
    return [request.step.job_id for request in plan.permit_requests]


# Incident LOST: the only channel left, which takes short calls only, was
# granted to a long call round after round, and nobody called the advisor.
def test_a_channel_for_short_calls_is_granted_to_no_long_call() -> None:
    state = state_with(("a", LONG, 2), ("b", SHORT, 2))
    assert requested(state, ONLY_SHORT_CALLS) == ["b"]
    assert requested(state, IdleCalls(2, 1)) == ["a", "b"]
    assert requested(state, IdleCalls(2, 2)) == ["a", "b"]


def test_no_long_call_is_granted_beyond_the_channels_for_them() -> None:
    state = state_with(("a", LONG, 2), ("b", LONG, 2), ("c", LONG, 2))
    assert requested(state, IdleCalls(3, 1)) == ["a"]
    assert requested(state, IdleCalls(3, 2)) == ["a", "b"]


# Incident LOST: what could not be asked about kept its room from steps that
# had tickets.
def test_a_step_without_a_channel_keeps_no_room() -> None:
    state = state_with(("a", LONG, 16), ("b", LONG, 16))
    workers = list(state.workers_by_id)
    for name, valid_until_ms in (("a", 1), ("b", 5_000)):
        permits = [Permit(worker, "t") for worker in workers]
        key = StepKey(name, 0, 0)
        state.record_permits(key, workers, permits, valid_until_ms)
    plan = Planner().plan(state, 1_000, 1_000, ONLY_SHORT_CALLS)
    assert not plan.permit_requests
    assert len(plan.starts) == 16
    assert {start.task.job_id for start in plan.starts} == {"b"}


# Calls about many workers are long ones in a queue whose calls about few are
# short: with only a channel for short calls left, no such step was asked for.
def test_a_call_is_about_fewer_workers_if_only_short_ones_are_left() -> None:
    timing = PermitTiming(decision_ms=23, per_worker_ms=0.32, valid_ms=2_500)
    queue = SHORT._replace(permit_timing=timing)
    state = make_state(70)
    step = StepSpec(200, SIZE)
    state.add_job(JobSpec("a", queue.name, "", (step,)), queue, 0)
    assert requested(state, IdleCalls(1, 1)) == ["a"]
    assert requested(state, ONLY_SHORT_CALLS) == ["a"]
