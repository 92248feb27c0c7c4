"""Attempts of tasks that have copies, in random orders of their ends."""

from __future__ import annotations

import random

import pytest

from magnoliapitch.planner import PlanningOptions
from magnoliapitch.resource import Resources
from magnoliapitch.workload.job import JobSpec
from magnoliapitch.workload.job import StepSpec
from magnoliapitch.workload.job import TaskKey
from magnoliapitch.workload.progress import JobOutcome
from magnoliapitch.workload.run import EndKind
from tests.control.simulation import Simulation
from tests.control.simulation import queue
from tests.control.simulation import workers
from tests.planner.running_work import RunningWork


SIZE = Resources(2_000, 4_000)
STEP = StepSpec(1, SIZE, 1_000, is_speculative=True)
# Long enough for a run to get a copy.
LATE_MS = 6_000
MAX_ENDS = 60


class CopiesRun:
    """One task whose runs end in random order and ways, one at a time.

    :ivar failed_count: number of runs that have ended as failed.
    """

    def __init__(self, seed: int) -> None:
        self._random = random.Random(seed)
        self.attempts = self._random.randrange(1, 5)
        self.failed_count = 0
        self.work = RunningWork(4)
        self.work.add_job("a", STEP, attempts=self.attempts)
        self._advance()

    @property
    def outcome(self) -> JobOutcome:
        """Return the outcome of the job."""
        return self.work.state.jobs_by_id["a"].outcome

    def end_one(self) -> None:
        """End a run; sometimes another leader takes over."""
        run = self._random.choice(self.work.runs("a"))
        match self._random.randrange(12):
            case 0:
                self.work.state.lose_run(run)
            case 1:
                self.work.state.mark_for_stop(run)
                self.work.end(run, EndKind.STOPPED)
            case 2:
                self.work.end(run, EndKind.LEASE_EXPIRED)
            case 3 | 4:
                self._take_over()
            case _:
                self.failed_count += 1
                self.work.end(run, EndKind.FAILED)
        self._advance()

    def _advance(self) -> None:
        """Let time pass, mostly enough for copies to start."""
        before = self._start_count()
        self.work.advance(self._random.choice((20, LATE_MS, LATE_MS)))
        if self.failed_count >= self.attempts:
            assert self._start_count() == before

    def _start_count(self) -> int:
        task = self.work.state.task(TaskKey("a", 0, 0, 0))
        return 0 if task is None else task.runs

    def _take_over(self) -> None:
        former, self.work = self.work, RunningWork(4)
        self.work.now_ms = former.now_ms
        job, progress = (
            former.state.jobs_by_id["a"],
            former.state.progress("a"),
        )
        self.work.state.add_job(job.spec, job.queue, former.now_ms, progress)
        for run in self.work.runs("a"):
            self.work.state.confirm_run(run, former.now_ms)


# BUDGET: the failure of a copy was not counted while another went on, so that
# a task was started after its attempts had failed.
@pytest.mark.parametrize("seed", range(150))
def test_each_failed_copy_is_an_attempt(seed: int) -> None:
    run = CopiesRun(seed)
    for _ in range(MAX_ENDS):
        assert run.outcome is JobOutcome.OPEN
        run.end_one()
        if not run.work.runs("a"):
            break
    assert run.failed_count >= run.attempts
    assert run.outcome is JobOutcome.FAILED


# The run that still goes on may be the first that is done.
def test_a_copy_may_be_done_after_the_attempts_are_used_up() -> None:
    work = RunningWork()
    work.add_job("a", STEP, attempts=1)
    work.plan()
    work.advance(LATE_MS)
    first, copy = work.runs("a")
    work.end(first, EndKind.FAILED)
    work.advance(LATE_MS)
    assert work.runs("a") == [copy]
    work.end(copy, EndKind.DONE)
    assert work.state.jobs_by_id["a"].outcome is JobOutcome.COMPLETED


# A copy that waited for the store was ordered after the last attempt failed.
def test_a_copy_that_is_not_ordered_yet_is_taken_back() -> None:
    options = PlanningOptions(preemption=True)
    simulation = Simulation(
        [queue("q")._replace(attempts=1)], workers(2), options=options
    )
    task = TaskKey("a", 0, 0, 0)
    simulation.actual_duration_ms = lambda _: 60_000.0
    simulation.submit(JobSpec("a", "q", "text", (STEP,)))
    simulation.run(1_000)
    simulation.progress_commit_ms = 3_000
    tracked = simulation.controller.state.task(task)
    assert tracked is not None
    simulation.run_until(lambda: len(tracked.active_runs) == 2)
    [worker] = (w for w in simulation.workers.values() if w.running)
    worker.end(worker.running[task], EndKind.FAILED)
    simulation.run(10_000)
    assert simulation.starts[task] == 1
    assert tracked.step.job.outcome is JobOutcome.FAILED
