"""Copies of runs that take unusually long, and tasks with two active runs.

Load: uneven workers, on which 3 in 100 tasks take 7 times as long.
"""

from __future__ import annotations

from magnoliapitch.planner import SchedulerState
from magnoliapitch.planner.worker_loss import count_crash
from magnoliapitch.planner.worker_loss import suspect_runs
from magnoliapitch.resource import Resources
from magnoliapitch.workload.configuration import PermitTiming
from magnoliapitch.workload.job import StepKey
from magnoliapitch.workload.job import StepSpec
from magnoliapitch.workload.job import TaskKey
from magnoliapitch.workload.progress import JobOutcome
from magnoliapitch.workload.run import EndKind
from magnoliapitch.workload.run import Permit
from tests.planner.running_work import BATCH
from tests.planner.running_work import URGENT
from tests.planner.running_work import RunningWork


SIZE = Resources(2_000, 4_000)
STEP = StepSpec(1, SIZE, 1_000, is_speculative=True)
TASK = TaskKey("a", 0, 0, 0)
# Beyond the quantile after which a run counts as a straggler.
LATE_MS = 6_000


def late_work(step: StepSpec = STEP, attempts: int = 1) -> RunningWork:
    """Return work in which every run of a step takes unusually long."""
    work = RunningWork()
    work.add_job("a", step, attempts=attempts)
    work.plan()
    work.advance(LATE_MS)
    return work


def test_a_late_run_gets_one_copy_on_another_worker() -> None:
    work = late_work()
    first, copy = work.runs("a")
    assert first.worker_id != copy.worker_id
    assert (first.number, copy.number) == (1, 2)
    work.advance(60_000)
    assert len(work.runs("a")) == 2


def test_only_speculative_steps_have_copies() -> None:
    assert len(late_work(STEP._replace(is_speculative=False)).runs("a")) == 1
    gang = STEP._replace(task_count=2, is_gang=True)
    assert len(late_work(gang).runs("a")) == 2
    service = STEP._replace(is_long_running=True)
    assert len(late_work(service).runs("a")) == 1


def test_a_run_that_is_not_late_has_no_copy() -> None:
    work = RunningWork()
    work.add_job("a", STEP)
    work.plan()
    work.advance(3_000)
    assert len(work.runs("a")) == 1


def test_no_copy_takes_capacity_that_a_waiting_step_can_use() -> None:
    """There is room for one more task, which waits for its permit."""
    work = RunningWork()
    work.add_job("a", STEP)
    work.add_job("b", StepSpec(6, SIZE, 60_000))
    work.plan()
    timing = PermitTiming(5, 1, 2_500)
    work.add_job("waiting", StepSpec(1, SIZE, 1_000), BATCH, timing)
    work.advance(LATE_MS)
    assert len(work.runs("a")) == 1
    work.state.cancel_job("waiting")
    work.advance(200)
    assert len(work.runs("a")) == 2


def test_a_copy_is_planned_while_others_wait_for_a_permit_elsewhere() -> None:
    work = RunningWork()
    work.add_job("a", STEP)
    work.plan()
    timing = PermitTiming(5, 1, 2_500)
    work.add_job("waiting", StepSpec(1, SIZE, 1_000), URGENT, timing)
    work.advance(LATE_MS)
    assert len(work.runs("a")) == 2


def test_a_copy_needs_a_ticket() -> None:
    work = RunningWork()
    key = StepKey("a", 0, 0)
    work.add_job("a", STEP, URGENT, PermitTiming(5, 1, 2_500))
    permits = [Permit("w0", "t"), Permit("w1", "t")]
    work.state.record_permits(key, ["w0", "w1"], permits, 2_500)
    work.plan()
    requests = [
        request
        for plan in work.advance(LATE_MS)
        for request in plan.permit_requests
    ]
    [run] = work.runs("a")
    assert set(requests[0].worker_ids) == {"w0", "w1"} - {run.worker_id}
    work.state.record_permits(key, ["w0", "w1"], permits, work.now_ms + 2_500)
    work.advance(200)
    assert len(work.runs("a")) == 2


def test_the_first_copy_that_is_done_counts() -> None:
    for winner in (0, 1):
        work = late_work()
        runs = work.runs("a")
        work.end(runs[winner], EndKind.DONE)
        job = work.state.jobs_by_id["a"]
        assert job.outcome is JobOutcome.COMPLETED
        [stop] = work.plan().stops
        loser = runs[1 - winner]
        assert (stop.run, stop.worker_id, stop.reason) == (
            loser.number,
            loser.worker_id,
            "copy-lost",
        )
        work.end(loser, EndKind.DONE)
        assert work.state.runs_to_stop == {}
        assert job.steps[0][0].unfinished_count == 0
        assert work.plan().starts == ()


def test_a_task_with_a_copy_does_not_wait() -> None:
    work = late_work()
    [step] = work.state.jobs_by_id["a"].all_steps()
    assert (step.waiting_count, step.startable_tasks()) == (0, [])
    first, copy = work.runs("a")
    work.end(first, EndKind.LEASE_EXPIRED)
    assert (step.waiting_count, step.startable_tasks()) == (0, [])
    work.end(copy, EndKind.LEASE_EXPIRED)
    assert step.waiting_count == 1
    [start] = work.plan().starts
    assert (start.run, start.is_copy) == (3, False)


def outcome(work: RunningWork) -> JobOutcome:
    return work.state.jobs_by_id["a"].outcome


# With a budget of one attempt, the failure of a copy would fail a job whose
# first run goes on.
def test_a_run_goes_on_after_its_copy_has_used_up_the_attempts() -> None:
    work = late_work(attempts=1)
    first, copy = work.runs("a")
    work.end(copy, EndKind.FAILED)
    assert outcome(work) is JobOutcome.OPEN
    work.end(first, EndKind.FAILED)
    assert outcome(work) is JobOutcome.FAILED


def test_a_failure_after_the_other_copy_was_done_is_ignored() -> None:
    work = late_work(attempts=1)
    first, copy = work.runs("a")
    work.end(copy, EndKind.DONE)
    work.end(first, EndKind.FAILED)
    assert outcome(work) is JobOutcome.COMPLETED


def restore(work: RunningWork) -> SchedulerState:
    state = SchedulerState()
    job = work.state.jobs_by_id["a"]
    state.add_job(job.spec, job.queue, 0, work.state.progress("a"))
    return state


def test_a_new_leader_keeps_both_copies() -> None:
    state = restore(late_work())
    task = state.task(TASK)
    assert task is not None
    assert [run.number for run in task.active_runs] == [1, 2]
    assert state.runs_to_stop == {}
    assert state.waiting_steps == {}


# The former leader had marked the older run, which it had taken as ended, but
# marks are not stored. The next one let both execute.
def test_a_new_leader_stops_the_older_run_of_a_task_without_copies() -> None:
    work = RunningWork()
    work.add_job("a", STEP._replace(is_speculative=False))
    work.plan()
    [first] = work.runs("a")
    work.state.lose_run(first)
    work.plan()
    state = work.state
    assert state.stop_unexpected_run(TASK, 1, first.worker_id, work.now_ms)
    stopped = restore(work).runs_to_stop.values()
    assert [(run.number, run.worker_id) for run in stopped] == [
        (1, first.worker_id)
    ]


def test_a_copy_that_is_reported_after_its_loss_is_stopped() -> None:
    work = late_work()
    first, copy = work.runs("a")
    work.state.lose_run(copy)
    run = work.state.stop_unexpected_run(
        TASK, copy.number, copy.worker_id, work.now_ms
    )
    assert run is not None
    assert run.is_stopping
    assert not first.is_stopping
    assert run.task.step.waiting_count == 0


def test_a_worker_that_is_lost_counts_once_for_a_task_with_a_copy() -> None:
    work = late_work()
    first, copy = work.runs("a")
    worker = work.state.workers_by_id[copy.worker_id]
    count_crash(work.state, suspect_runs(worker, work.now_ms))
    work.state.lose_runs(copy.worker_id)
    assert first.task.lost_worker_count == 1
    assert work.runs("a") == [first]
    work.list_worker("w2")
    work.advance(LATE_MS)
    assert work.runs("a") == [first]
