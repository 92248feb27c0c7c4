"""For how long room is kept for a gang that does not fit."""

from __future__ import annotations

import pytest

from magnoliapitch.planner import Planner
from magnoliapitch.planner import SchedulerState
from magnoliapitch.planner.gang_room import MAX_CAPACITY_RESERVATION_MS
from magnoliapitch.planner.gang_room import MAX_IDLE_RESERVATION_MS
from magnoliapitch.resource import Resources
from magnoliapitch.workload.job import StepSpec
from magnoliapitch.workload.job import TaskKey
from tests.planner.test_planner import add_job
from tests.planner.test_planner import make_state


WORKER_COUNT = 4
# Needs all workers of 8,000 each for itself.
GANG = StepSpec(4, Resources(7_500, 1_000), is_gang=True)
TASK = StepSpec(1, Resources(1_000, 1_000))


def state_with_gang(used_cpu_millis: int) -> SchedulerState:
    """Return workers that all run something, and a gang that waits.

    :param used_cpu_millis: what each worker has in use.
    """
    state = make_state(WORKER_COUNT)
    filler = StepSpec(WORKER_COUNT, Resources(used_cpu_millis, 1_000))
    add_job(state, filler, name="filler")
    for number in range(WORKER_COUNT):
        key = TaskKey("filler", 0, 0, number)
        state.add_ordered_run(key, 1, f"w{number}", 0)
    add_job(state, GANG, name="a-gang")
    return state


def starts_beside_gang(state: SchedulerState, now_ms: int) -> bool:
    """Return whether a small task starts while the gang waits."""
    planner = Planner()
    assert not planner.plan(state, 0, 0).starts
    add_job(state, TASK, name="b", priority=1)
    return bool(planner.plan(state, now_ms, now_ms).starts)


# Incident LOST: steps stood still for up to 20 s beside workers more than half
# of which was free, since they were kept for a gang.
@pytest.mark.parametrize(
    ("used_cpu_millis", "now_ms", "starts"),
    [
        (1_000, MAX_IDLE_RESERVATION_MS, False),
        (1_000, MAX_IDLE_RESERVATION_MS + 1, True),
        (5_000, MAX_IDLE_RESERVATION_MS + 1, False),
        (5_000, MAX_CAPACITY_RESERVATION_MS, False),
        (5_000, MAX_CAPACITY_RESERVATION_MS + 1, True),
    ],
)
def test_room_is_kept_for_a_gang_for_longer_while_most_is_in_use(
    used_cpu_millis: int, now_ms: int, starts: bool
) -> None:
    state = state_with_gang(used_cpu_millis)
    assert starts_beside_gang(state, now_ms) is starts
