"""Runs on workers that are about to leave.

Load: a rolling replacement drains workers while batches of some seconds run.
Without evacuation a run that does not end in time is lost with its worker.
"""

from __future__ import annotations

import pytest

from magnoliapitch.planner.evacuation import STOP_ALLOWANCE_MS
from magnoliapitch.resource import Resources
from magnoliapitch.workload.job import StepSpec
from magnoliapitch.workload.job import TaskKey
from magnoliapitch.workload.run import EndKind
from tests.planner.running_work import RunningWork


SIZE = Resources(4_000, 8_000)
SAVING = StepSpec(1, SIZE, 60_000, saves_progress=True)
TASK = TaskKey("a", 0, 0, 0)


def start_and_drain(
    work: RunningWork, step: StepSpec, drain_remaining_ms: int
) -> str:
    """Start a job and drain the worker of its first task."""
    work.plan()
    work.add_job("a", step)
    work.plan()
    worker_id = work.runs("a")[0].worker_id
    work.list_worker(worker_id, drain_remaining_ms)
    return worker_id


def test_a_long_run_that_saves_progress_stops_in_time() -> None:
    work = RunningWork()
    worker_id = start_and_drain(work, SAVING, 8_000)
    plans = work.advance(8_000 - STOP_ALLOWANCE_MS)
    stopped = [plan.stops[0] for plan in plans if plan.stops]
    assert (stopped[0].task, stopped[0].reason) == (TASK, "evacuated")
    [run] = work.runs("a")
    work.end(run, EndKind.STOPPED, "half")
    [start] = work.plan().starts
    assert start.worker_id != worker_id
    task = work.state.task(TASK)
    assert task is not None
    assert task.checkpoint == "half"


def test_a_run_that_ends_in_time_is_left_alone() -> None:
    work = RunningWork()
    start_and_drain(work, SAVING._replace(estimate_ms=300), 8_000)
    work.advance(2_000)
    assert work.stopping() == {}


def test_a_run_goes_on_while_there_is_time() -> None:
    work = RunningWork()
    start_and_drain(work, SAVING, 8_000)
    work.advance(4_000)
    assert work.stopping() == {}


# The list does not tell the age of an entry. A new leader that counted the
# time from its first look would stop the run after the worker has left.
def test_a_worker_that_drained_before_this_leader_may_leave_at_once() -> None:
    work = RunningWork(worker_count=1)
    work.add_job("a", SAVING)
    work.plan()
    restored = RunningWork(worker_count=1)
    restored.list_worker("w0", 8_000)
    spec = work.state.jobs_by_id["a"].spec
    queue = work.state.jobs_by_id["a"].queue
    restored.state.add_job(spec, queue, 0, work.state.progress("a"))
    [run] = restored.runs("a")
    restored.state.confirm_run(run, 0)
    restored.plan()
    assert restored.stopping() == {TASK: "evacuated"}


def test_a_later_entry_does_not_extend_the_time() -> None:
    work = RunningWork()
    worker_id = start_and_drain(work, SAVING, 8_000)
    work.advance(4_000)
    work.list_worker(worker_id, 7_900)
    work.advance(3_000)
    assert work.stopping() == {TASK: "evacuated"}


def test_a_gang_that_saves_progress_stops_as_a_whole() -> None:
    work = RunningWork(worker_count=4)
    gang = SAVING._replace(task_count=3, is_gang=True, max_per_worker=1)
    start_and_drain(work, gang, 3_000)
    work.advance(2_000)
    assert set(work.stopping().values()) == {"evacuated"}
    assert len(work.stopping()) == 3


def test_a_service_is_not_stopped() -> None:
    work = RunningWork()
    service = StepSpec(1, SIZE, is_long_running=True, saves_progress=True)
    start_and_drain(work, service, 3_000)
    work.advance(2_900)
    assert work.stopping() == {}


@pytest.mark.parametrize(
    ("worker_count", "estimate_ms", "is_stopped"),
    [(2, 60_000, True), (2, 3_000, False), (1, 60_000, False)],
)
def test_a_run_that_saves_nothing_stops_only_if_it_is_lost_anyway(
    worker_count: int, estimate_ms: int, *, is_stopped: bool
) -> None:
    """It must also fit elsewhere."""
    work = RunningWork(worker_count)
    start_and_drain(work, StepSpec(1, SIZE, estimate_ms), 5_000)
    work.advance(4_900)
    assert work.stopping() == ({TASK: "evacuated"} if is_stopped else {})


def test_without_the_option_nothing_is_evacuated() -> None:
    work = RunningWork(preemption=False)
    start_and_drain(work, SAVING, 3_000)
    work.advance(2_900)
    assert work.stopping() == {}
