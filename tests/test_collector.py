"""Collections of garbage while a large state is built."""

from __future__ import annotations

import gc

from magnoliapitch.collector import collections_paused
from magnoliapitch.planner import SchedulerState
from magnoliapitch.workload.configuration import Queue
from magnoliapitch.workload.job import JobSpec
from magnoliapitch.workload.job import StepSpec


QUEUE = Queue("q", "h", "/", "app")


def build() -> SchedulerState:
    state = SchedulerState()
    for number in range(200):
        spec = JobSpec(f"j{number}", "q", "", (StepSpec(100),))
        for step in state.add_job(spec, QUEUE, 0).all_steps():
            assert len(step.startable_tasks()) == 100
    return state


# The state of many tasks took three times as long to build, and one job of
# 20,000 tasks stopped all threads for 0.3 s.
def test_no_collection_begins_while_a_state_is_built() -> None:
    begun: list[str] = []

    def record(phase: str, _: object) -> None:
        begun.append(phase)

    gc.callbacks.append(record)
    try:
        with collections_paused():
            state = build()
            assert not begun
        del state
        build()
        assert begun
    finally:
        gc.callbacks.remove(record)


def test_the_collector_goes_on_after_the_last_pause() -> None:
    with collections_paused():
        with collections_paused():
            assert not gc.isenabled()
        assert not gc.isenabled()
    assert gc.isenabled()
