from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from magnoliapitch.ledger.records import decode_progress
from magnoliapitch.ledger.records import encode_progress
from magnoliapitch.resource import Resources
from magnoliapitch.workload.job import StepSpec
from magnoliapitch.workload.progress import JobOutcome
from magnoliapitch.workload.run import EndedRun
from magnoliapitch.workload.run import EndKind
from tests.planner.running_work import RunningWork


if TYPE_CHECKING:
    from magnoliapitch.planner.tracked import TrackedRun


SIZE = Resources(2_000, 4_000)
STEP = StepSpec(1, SIZE)
GANG = StepSpec(3, SIZE, is_gang=True)


class AttemptWork(RunningWork):
    """Running work whose runs are given up and reported again."""

    def next_runs(self) -> list[TrackedRun]:
        self.plan()
        return sorted(self.runs("a"), key=lambda run: run.task.key)

    def give_up(self, run: TrackedRun) -> None:
        self.state.lose_run(run)

    def report_failed(self, run: TrackedRun, number: int = 0) -> bool:
        end = EndedRun(9, run.task.key, number or run.number, EndKind.FAILED)
        return self.state.record_end(run.worker_id, end, self.now_ms)

    def outcome(self) -> JobOutcome:
        return self.state.jobs_by_id["a"].outcome

    def failures(self) -> list[int]:
        step = self.state.jobs_by_id["a"].all_steps()[0]
        return [task.failures for task in step.tasks]

    def change_leader(self, stored: bytes = b"") -> AttemptWork:
        """Return the next leader's work, restored from what is stored."""
        job = self.state.jobs_by_id["a"]
        stored = stored or encode_progress(self.state.progress("a"))
        progress = decode_progress("a", stored)
        work = AttemptWork()
        work.state.add_job(job.spec, job.queue, self.now_ms, progress)
        return work


# A task was started once more than its queue allows, since a run that had
# been given up was reported as failed later and was not counted.
def test_a_failure_of_a_run_that_was_given_up_counts() -> None:
    work = AttemptWork()
    work.add_job("a", STEP, attempts=2)
    (lost,) = work.next_runs()
    work.give_up(lost)
    (later,) = work.next_runs()
    assert work.report_failed(lost)
    assert "a" in work.state.unsaved_job_ids
    assert work.outcome() is JobOutcome.OPEN
    work.end(later, EndKind.FAILED)
    assert work.outcome() is JobOutcome.FAILED


def test_a_last_failure_of_a_run_that_was_given_up_fails_a_waiting_job() -> (
    None
):
    work = AttemptWork()
    work.add_job("a", STEP)
    (lost,) = work.next_runs()
    work.give_up(lost)
    work.report_failed(lost)
    assert work.outcome() is JobOutcome.FAILED
    assert not work.next_runs()


def test_a_run_that_goes_on_after_the_last_failure_may_complete_the_job() -> (
    None
):
    for step in (STEP, GANG):
        work = AttemptWork()
        work.add_job("a", step)
        lost, *others = work.next_runs()
        for run in (lost, *others):
            work.give_up(run)
        later = work.next_runs()
        work.report_failed(lost)
        assert work.outcome() is JobOutcome.OPEN
        for run in later:
            work.end(run, EndKind.DONE)
        assert work.outcome() is JobOutcome.COMPLETED


def test_a_gang_that_is_lost_after_the_last_failure_fails_the_job() -> None:
    work = AttemptWork()
    work.add_job("a", GANG)
    lost, *others = work.next_runs()
    for run in (lost, *others):
        work.give_up(run)
    later = work.next_runs()
    work.report_failed(lost)
    for run in later:
        work.give_up(run)
    assert work.outcome() is JobOutcome.FAILED


def test_a_failure_counts_once_however_often_it_is_reported() -> None:
    work = AttemptWork()
    work.add_job("a", STEP, attempts=3)
    (run,) = work.next_runs()
    assert work.report_failed(run)
    assert not work.report_failed(run)
    work = work.change_leader()
    assert not work.report_failed(run)
    assert work.failures() == [1]


# The next leader took a run that a worker went on to list for an active one,
# and its end for a second failure.
def test_a_failure_counts_once_if_its_run_is_taken_as_active_again() -> None:
    work = AttemptWork()
    work.add_job("a", STEP, attempts=2)
    (run,) = work.next_runs()
    work.report_failed(run)
    work.state.stop_unexpected_run(run.task.key, 1, run.worker_id, 0)
    work = work.change_leader()
    assert work.report_failed(run)
    assert work.outcome() is JobOutcome.OPEN


# Two members of a gang failed in one run, with the leader lost between their
# ends: the job was shown as failed after one of two attempts.
def test_failures_of_a_gang_in_one_run_count_once_over_leaders() -> None:
    work = AttemptWork()
    work.add_job("a", GANG, attempts=2)
    first, second, _ = work.next_runs()
    work.report_failed(first)
    work = work.change_leader()
    work.report_failed(second)
    assert work.outcome() is JobOutcome.OPEN
    assert sum(work.failures()) == 1


def test_a_failure_of_a_run_that_was_never_ordered_does_not_count() -> None:
    work = AttemptWork()
    work.add_job("a", STEP)
    (run,) = work.next_runs()
    assert not work.report_failed(run, number=7)
    assert work.outcome() is JobOutcome.OPEN


def test_failures_that_a_former_release_stored_without_numbers_count() -> None:
    work = AttemptWork()
    work.add_job("a", STEP, attempts=2)
    stored = b'["open",true,[[0,0,0,[1,1,false,"",[],0,0]]]]'
    work = work.change_leader(stored)
    (run,) = work.next_runs()
    assert run.number == 2
    work.end(run, EndKind.FAILED)
    assert work.outcome() is JobOutcome.FAILED


# All instances were stopped for an upgrade before a worker was told that the
# end of its failed run is stored; the next release counted it once more.
def test_a_failure_that_a_former_release_counted_does_not_count_again() -> (
    None
):
    work = AttemptWork()
    work.add_job("a", STEP, attempts=2)
    (run,) = work.next_runs()
    stored = b'["open",true,[[0,0,0,[1,1,false,"",[],0,0]]]]'
    work = work.change_leader(stored)
    assert not work.report_failed(run)
    assert work.outcome() is JobOutcome.OPEN
    (later,) = work.next_runs()
    work.end(later, EndKind.FAILED)
    assert work.outcome() is JobOutcome.FAILED


# Of a run that a former release had not seen end, the failure counts.
def test_a_failure_of_a_run_that_a_former_release_began_counts() -> None:
    work = AttemptWork()
    work.add_job("a", STEP, attempts=2)
    stored = b'["open",true,[[0,0,0,[2,1,false,"",[[2,"w0",false]],0,0]]]]'
    work = work.change_leader(stored)
    (run,) = work.runs("a")
    assert work.report_failed(run)
    assert work.outcome() is JobOutcome.FAILED


# With many attempts, the oldest of the failed runs of a gang counted again.
@pytest.mark.parametrize("step", [STEP, GANG])
def test_a_failure_counts_once_however_many_have_followed(
    step: StepSpec,
) -> None:
    work = AttemptWork()
    work.add_job("a", step, attempts=40)
    oldest = work.next_runs()
    runs = oldest
    for _ in range(20):
        first, *others = runs
        work.end(first, EndKind.FAILED)
        for run in others:
            work.end(run, EndKind.MEMBER_ENDED)
        runs = work.next_runs()
    for run in oldest:
        assert not work.report_failed(run)
    assert sum(work.failures()) == 20
