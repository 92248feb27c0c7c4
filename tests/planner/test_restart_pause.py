"""Tasks of long-running steps, which start again however they end."""

from __future__ import annotations

import pytest

from magnoliapitch.planner import SchedulerState
from magnoliapitch.planner.restart_pause import MAX_PAUSE_MS
from magnoliapitch.resource import Resources
from magnoliapitch.workload.configuration import Queue
from magnoliapitch.workload.job import JobSpec
from magnoliapitch.workload.job import StepSpec
from magnoliapitch.workload.job import TaskKey
from magnoliapitch.workload.progress import JobOutcome
from magnoliapitch.workload.progress import JobProgress
from magnoliapitch.workload.progress import TaskProgress
from magnoliapitch.workload.run import EndKind
from tests.planner.running_work import RunningWork


SERVICE = StepSpec(1, Resources(2_000, 4_000), is_long_running=True)
TASK = TaskKey("a", 0, 0, 0)
ROUND_MS = 20


def service_work(step: StepSpec = SERVICE) -> RunningWork:
    work = RunningWork()
    work.add_job("a", step)
    work.plan()
    return work


def down_ms(work: RunningWork, kind: EndKind, after_ms: int) -> int:
    """End the run after a time; return how long the task is down then."""
    work.now_ms += after_ms
    [run] = work.runs("a")
    work.end(run, kind)
    ended_ms = work.now_ms
    while not work.runs("a") and work.now_ms < ended_ms + 10_000:
        work.advance(ROUND_MS)
    return work.now_ms - ended_ms


# An end as done was taken for the end of the task, and its job as completed.
@pytest.mark.parametrize("kind", EndKind)
def test_a_service_starts_again_at_once_however_it_ends(kind: EndKind) -> None:
    work = service_work()
    assert down_ms(work, kind, 1_000) == ROUND_MS
    [run] = work.runs("a")
    assert (run.number, run.task.is_done) == (2, False)
    assert work.state.jobs_by_id["a"].outcome is JobOutcome.OPEN


def test_pauses_grow_only_while_a_service_ends_early() -> None:
    work = service_work()
    kinds = (EndKind.DONE, EndKind.FAILED)
    pauses_ms = [down_ms(work, kinds[n % 2], 1_000) for n in range(8)]
    assert pauses_ms[:3] == [ROUND_MS, 260, 500]
    assert pauses_ms == sorted(pauses_ms)
    assert pauses_ms[-1] == MAX_PAUSE_MS
    assert down_ms(work, EndKind.DONE, 6_000) == ROUND_MS
    assert down_ms(work, EndKind.FAILED, 100) == ROUND_MS
    assert down_ms(work, EndKind.FAILED, 100) == 260


# Otherwise each of its stops would count against a service that is moved.
def test_ends_that_the_service_does_not_cause_bring_no_pause() -> None:
    work = service_work()
    for kind in (EndKind.STOPPED, EndKind.LEASE_EXPIRED) * 4:
        assert down_ms(work, kind, 100) == ROUND_MS


def test_a_new_leader_starts_at_once_and_goes_on_with_the_series() -> None:
    work = service_work()
    for _ in range(6):
        down_ms(work, EndKind.FAILED, 100)
    work.end(work.runs("a")[0], EndKind.FAILED)
    work.advance(ROUND_MS)
    assert work.runs("a") == []
    job, progress = work.state.jobs_by_id["a"], work.state.progress("a")
    successor = RunningWork()
    successor.state.add_job(job.spec, job.queue, 0, progress)
    successor.plan()
    assert len(successor.runs("a")) == 1
    assert down_ms(successor, EndKind.FAILED, 100) == MAX_PAUSE_MS


# Earlier releases stored that a task of a service was done.
def test_a_service_that_was_stored_as_done_starts_again() -> None:
    work = RunningWork()
    progress = JobProgress(
        "a", JobOutcome.OPEN, {TASK: TaskProgress(1, is_done=True)}
    )
    spec = JobSpec("a", "q", "", (SERVICE,))
    queue = Queue("q", "h", "/", "app")
    job = work.state.add_job(spec, queue, 0, progress)
    work.plan()
    assert [run.number for run in work.runs("a")] == [2]
    assert job.outcome is JobOutcome.OPEN


def test_a_gang_of_a_service_starts_again_as_a_whole() -> None:
    work = service_work(SERVICE._replace(task_count=3, is_gang=True))
    for number in range(2, 6):
        first, *others = work.runs("a")
        for run in (first, *others):
            assert not run.is_stopping
            work.end(run, EndKind.DONE)
        work.advance(MAX_PAUSE_MS)
        assert [run.number for run in work.runs("a")] == [number] * 3
    tasks = work.state.jobs_by_id["a"].all_steps()[0].tasks
    assert sum(task.failures for task in tasks) == 4


def test_a_service_that_pauses_can_be_cancelled() -> None:
    work = service_work()
    down_ms(work, EndKind.DONE, 100)
    work.end(work.runs("a")[0], EndKind.DONE)
    work.state.cancel_job("a")
    work.advance(MAX_PAUSE_MS + ROUND_MS)
    assert work.runs("a") == []
    assert work.state.jobs_by_id["a"].outcome is JobOutcome.CANCELLED


def test_a_step_that_depends_on_a_service_never_starts() -> None:
    work = RunningWork()
    dependent = SERVICE._replace(depends_on=(0,), is_long_running=False)
    spec = JobSpec("a", "q", "", (SERVICE, dependent))
    job = work.state.add_job(spec, Queue("q", "h", "/", "app"), 0)
    work.plan()
    down_ms(work, EndKind.DONE, 100)
    assert [run.task.key for run in work.runs("a")] == [TASK]
    assert job.outcome is JobOutcome.OPEN


# Only tasks with copies may have two runs after a change of leader.
def test_a_new_leader_stops_the_older_run_of_a_speculative_service() -> None:
    work = service_work(SERVICE._replace(is_speculative=True))
    [first] = work.runs("a")
    work.state.lose_run(first)
    work.plan()
    state, successor = work.state, SchedulerState()
    assert state.stop_unexpected_run(TASK, 1, first.worker_id, work.now_ms)
    job = state.jobs_by_id["a"]
    successor.add_job(job.spec, job.queue, 0, state.progress("a"))
    assert [run.number for run in successor.runs_to_stop.values()] == [1]
