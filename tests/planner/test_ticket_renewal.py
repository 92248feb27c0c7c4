"""Renewal of the tickets of a step whose tasks do not all find room."""

from __future__ import annotations

from magnoliapitch.planner import Planner
from magnoliapitch.planner import SchedulerState
from magnoliapitch.workload.configuration import PermitTiming
from magnoliapitch.workload.job import StepKey
from magnoliapitch.workload.job import StepSpec
from magnoliapitch.workload.run import Permit
from tests.planner.test_planner import SIZE
from tests.planner.test_planner import add_job
from tests.planner.test_planner import make_state


TIMING = PermitTiming(decision_ms=400, per_worker_ms=5, valid_ms=2_500)
STEP = StepKey("a", 0, 0)
FILLER_STEP = StepKey("filler", 0, 0)
WORKERS = ["w0", "w1", "w2", "w3"]


def crowded_state(task_count: int) -> SchedulerState:
    """Return a state with room for one task, on ``w0``.

    The step has had tickets for all workers but ``w3``, which have expired.

    :param task_count: number of tasks that wait.
    """
    state = make_state()
    add_job(state, StepSpec(15, SIZE), name="filler")
    add_job(state, StepSpec(task_count, SIZE), permit_timing=TIMING)
    for number in range(15):
        worker_id = WORKERS[(number + 1) % 4]
        state.add_ordered_run(FILLER_STEP.task(number), 1, worker_id, 0)
    permits = [Permit(worker_id, "t") for worker_id in WORKERS[:3]]
    state.record_permits(STEP, WORKERS, permits, 100)
    return state


def asked_workers(state: SchedulerState, now_ms: int) -> tuple[str, ...]:
    requests = Planner().plan(state, now_ms, now_ms).permit_requests
    return requests[0].worker_ids if requests else ()


# Incident LOST: each call was about the one worker that had room just then, so
# that each place that came free cost a call.
def test_tickets_are_renewed_on_every_worker_for_tasks_without_room() -> None:
    assert asked_workers(crowded_state(4), 1_000) == ("w0", "w1", "w2")


def test_tickets_are_renewed_where_needed_for_tasks_that_all_fit() -> None:
    assert asked_workers(crowded_state(1), 1_000) == ("w0",)


def test_tickets_that_outlast_the_call_are_not_renewed() -> None:
    state = crowded_state(4)
    state.record_permits(STEP, ["w1"], [Permit("w1", "t")], 5_000)
    assert asked_workers(state, 1_000) == ("w0", "w2")
