"""Preemption of less urgent runs.

Load: batches that save progress fill every worker, and urgent steps arrive
that would miss their objective behind them.
"""

from __future__ import annotations

import pytest

from magnoliapitch.planner.preemption import HOLD_ROOM_MS
from magnoliapitch.planner.preemption import MAX_PREEMPTING_STEPS
from magnoliapitch.planner.preemption_pass import MAX_EXAMINED_STEPS
from magnoliapitch.planner.preemption_pass import MAX_PREEMPTIONS_PER_TASK
from magnoliapitch.planner.preemption_pass import MIN_RUN_MS
from magnoliapitch.resource import Resources
from magnoliapitch.workload.configuration import PermitTiming
from magnoliapitch.workload.job import StepKey
from magnoliapitch.workload.job import StepSpec
from magnoliapitch.workload.run import EndKind
from magnoliapitch.workload.run import Permit
from tests.planner.running_work import PLANS
from tests.planner.running_work import URGENT
from tests.planner.running_work import RunningWork


SIZE = Resources(2_000, 4_000)
BATCH = StepSpec(8, SIZE, 20_000, saves_progress=True)
URGENT_STEP = StepSpec(1, SIZE, 2_000)
# Longer than a step waits before it preempts, less than its slack.
WAIT_MS = 200


def full_work(
    batch: StepSpec = BATCH, worker_count: int = 2, *, preemption: bool = True
) -> RunningWork:
    """Return work whose workers have been full of batches for a while."""
    work = RunningWork(worker_count, preemption=preemption)
    work.add_job("batch", batch)
    work.plan()
    work.advance(MIN_RUN_MS)
    return work


def preempted(work: RunningWork) -> int:
    return list(work.stopping().values()).count("preempted")


def test_an_urgent_step_preempts_one_run_and_gets_its_room() -> None:
    work = full_work()
    work.add_job("more", BATCH)
    work.add_job("urgent", URGENT_STEP, URGENT)
    work.advance(WAIT_MS)
    assert preempted(work) == 1
    [run] = [run for run in work.runs("batch") if run.is_stopping]
    work.advance(WAIT_MS)
    assert work.runs("urgent") == []
    work.end(run, EndKind.STOPPED, "saved")
    [start] = work.plan().starts
    assert (start.task.job_id, start.worker_id) == ("urgent", run.worker_id)
    assert run.task.checkpoint == "saved"
    assert run.task.failures == 0


# A stop takes up to 400 ms, during which there are 40 rounds.
def test_a_stop_that_is_under_way_is_not_counted_twice() -> None:
    work = full_work()
    work.add_job("urgent", URGENT_STEP._replace(task_count=2), URGENT)
    work.advance(400)
    assert preempted(work) == 2
    work.add_job("later", URGENT_STEP, URGENT)
    work.advance(400)
    assert preempted(work) == 3


# The leader's rounds would otherwise stop runs for tasks that may not start.
def test_tasks_beyond_a_quota_preempt_nothing() -> None:
    work = full_work()
    urgent = work.add_job("urgent", URGENT_STEP._replace(task_count=4), URGENT)
    urgent.all_steps()[0].start_limit = 1
    work.advance(WAIT_MS)
    assert preempted(work) == 0


def test_a_step_beyond_its_share_preempts_nothing() -> None:
    work = full_work()
    urgent = work.add_job("urgent", URGENT_STEP, URGENT)
    urgent.all_steps()[0].is_beyond_share = True
    work.advance(WAIT_MS)
    assert preempted(work) == 0


def test_nothing_is_preempted_without_the_option() -> None:
    work = full_work(preemption=False)
    work.add_job("urgent", URGENT_STEP, URGENT)
    work.advance(WAIT_MS)
    assert work.stopping() == {}


@pytest.mark.parametrize(
    "batch",
    [
        BATCH._replace(saves_progress=False),
        BATCH._replace(is_gang=True),
        BATCH._replace(is_long_running=True),
        BATCH._replace(estimate_ms=50),
    ],
    ids=("saves nothing", "gang", "service", "ends soon"),
)
def test_some_runs_are_never_preempted(batch: StepSpec) -> None:
    work = full_work(batch)
    work.add_job("urgent", URGENT_STEP, URGENT)
    work.advance(WAIT_MS)
    assert work.stopping() == {}


def test_runs_of_the_same_priority_are_not_preempted() -> None:
    work = RunningWork()
    work.add_job("running", BATCH, URGENT)
    work.plan()
    work.advance(MIN_RUN_MS)
    work.add_job("urgent", URGENT_STEP, URGENT)
    work.advance(WAIT_MS)
    assert work.stopping() == {}


def test_a_suspect_is_not_preempted() -> None:
    work = full_work()
    for run in work.runs("batch"):
        run.task.worker_losses = 2
    work.add_job("urgent", URGENT_STEP, URGENT)
    work.advance(WAIT_MS)
    assert work.stopping() == {}


# A copy of the order could begin the run after its stop.
def test_a_run_whose_order_may_be_under_way_is_not_preempted() -> None:
    work = full_work()
    for run in work.runs("batch"):
        run.is_order_settled = False
    work.add_job("urgent", URGENT_STEP, URGENT)
    work.advance(WAIT_MS)
    assert work.stopping() == {}


def test_a_run_that_began_lately_is_not_preempted() -> None:
    work = RunningWork()
    work.add_job("batch", BATCH)
    work.plan()
    work.add_job("urgent", URGENT_STEP, URGENT)
    work.advance(WAIT_MS)
    assert work.stopping() == {}


# Urgent steps that keep coming would otherwise stop a batch for ever.
def test_a_task_is_preempted_twice_at_most() -> None:
    work = full_work(BATCH._replace(task_count=1), worker_count=1)
    work.add_job("other", BATCH._replace(task_count=3, saves_progress=False))
    work.plan()
    for number in range(MAX_PREEMPTIONS_PER_TASK + 1):
        work.advance(MIN_RUN_MS)
        name = f"urgent{number}"
        work.add_job(name, URGENT_STEP, URGENT)
        work.advance(WAIT_MS)
        assert preempted(work) == (number < MAX_PREEMPTIONS_PER_TASK)
        for run in work.runs("batch"):
            if run.is_stopping:
                work.end(run, EndKind.STOPPED)
                work.plan()
                [urgent] = work.runs(name)
                work.end(urgent, EndKind.DONE)
                work.plan()


def test_a_step_that_cannot_meet_its_objective_does_not_preempt() -> None:
    work = full_work()
    work.add_job("urgent", URGENT_STEP._replace(estimate_ms=100), URGENT)
    work.advance(WAIT_MS)
    assert work.stopping() == {}


def test_a_step_that_would_not_fit_as_a_whole_preempts_nothing() -> None:
    work = full_work()
    work.add_job("urgent", URGENT_STEP._replace(task_count=9), URGENT)
    work.advance(WAIT_MS)
    assert work.stopping() == {}


# The order window is full, but there is free capacity.
def test_free_capacity_is_used_before_runs_are_preempted() -> None:
    work = full_work(BATCH._replace(task_count=7))
    work.add_job("urgent", URGENT_STEP, URGENT)
    for _ in range(WAIT_MS // 20):
        work.now_ms += 20
        work.plan(max_starts=0)
    assert work.stopping() == {}


def test_the_fewest_and_least_advanced_runs_are_preempted() -> None:
    work = RunningWork(1)
    small = BATCH._replace(task_count=2, resources=Resources(1_000, 1_000))
    work.add_job("small", small)
    work.add_job("old", BATCH._replace(task_count=1))
    work.plan()
    work.advance(MIN_RUN_MS)
    work.add_job("new", BATCH._replace(task_count=2))
    work.plan()
    work.advance(MIN_RUN_MS)
    work.add_job("urgent", URGENT_STEP, URGENT)
    work.advance(WAIT_MS)
    assert [key.job_id for key in work.stopping()] == ["new"]


def test_few_steps_preempt_at_a_time() -> None:
    work = full_work(BATCH._replace(task_count=80), worker_count=20)
    for number in range(MAX_PREEMPTING_STEPS + 10):
        work.add_job(f"urgent{number}", URGENT_STEP, URGENT)
    work.advance(WAIT_MS)
    assert preempted(work) == MAX_PREEMPTING_STEPS


def test_only_workers_with_a_valid_ticket_are_of_use() -> None:
    work = full_work()
    timing = PermitTiming(5, 1, 2_500)
    work.add_job("urgent", URGENT_STEP, URGENT, timing)
    work.advance(WAIT_MS)
    assert work.stopping() == {}
    key = StepKey("urgent", 0, 0)
    valid_until_ms = work.now_ms + 2_500
    work.state.record_permits(
        key, ["w0", "w1"], [Permit("w1", "t")], valid_until_ms
    )
    work.advance(WAIT_MS)
    assert preempted(work) == 1
    [run] = [run for run in work.runs("batch") if run.is_stopping]
    assert run.worker_id == "w1"


# The first of two runs ends 200 ms before the other. Without the room being
# kept, batches that wait would take it, the preempted one among them.
def test_a_gang_preempts_as_a_whole_and_keeps_its_room() -> None:
    work = full_work()
    gang = URGENT_STEP._replace(
        task_count=4, resources=Resources(4_000, 8_000), is_gang=True
    )
    work.add_job("more", BATCH)
    work.add_job("gang", gang, URGENT)
    work.advance(WAIT_MS)
    stopping = [run for run in work.runs("batch") if run.is_stopping]
    assert len(stopping) == 8
    for run in stopping[:-1]:
        work.end(run, EndKind.STOPPED)
    work.advance(WAIT_MS)
    assert work.runs("gang") == []
    assert work.runs("more") == []
    work.end(stopping[-1], EndKind.STOPPED)
    starts = work.plan().starts
    assert {start.task.job_id for start in starts} == {"gang"}


def test_a_gang_that_does_not_start_gives_its_room_back() -> None:
    work = full_work()
    gang = URGENT_STEP._replace(task_count=2, is_gang=True)
    job = work.add_job("gang", gang, URGENT)
    work.advance(WAIT_MS)
    stopping = [run for run in work.runs("batch") if run.is_stopping]
    assert len(stopping) == 2
    work.end(stopping[0], EndKind.STOPPED)
    work.advance(HOLD_ROOM_MS - WAIT_MS)
    assert job.steps[0][0].waiting_count == 2
    work.advance(30_000)
    assert len(work.runs("batch")) == 8


def test_a_less_urgent_gang_does_not_preempt() -> None:
    work = full_work()
    gang = URGENT_STEP._replace(task_count=2, is_gang=True, estimate_ms=9_000)
    work.add_job("gang", gang, PLANS)
    work.advance(WAIT_MS)
    assert work.stopping() == {}


def test_a_step_that_a_quota_holds_back_does_not_preempt() -> None:
    work = full_work()
    work.planner.may_preempt = lambda _: False
    work.add_job("urgent", URGENT_STEP, URGENT)
    work.advance(WAIT_MS)
    assert work.stopping() == {}


# A new leader knows only the stored runs; it decides afresh.
def test_a_new_leader_preempts_on_its_own() -> None:
    work = full_work()
    work.add_job("urgent", URGENT_STEP, URGENT)
    work.advance(WAIT_MS)
    assert preempted(work) == 1
    later = RunningWork()
    for job_id in ("batch", "urgent"):
        job = work.state.jobs_by_id[job_id]
        progress = work.state.progress(job_id)
        later.state.add_job(job.spec, job.queue, 0, progress)
    for run in later.runs("batch"):
        later.state.confirm_run(run, 0)
    assert later.stopping() == {}
    later.advance(MIN_RUN_MS + WAIT_MS)
    assert preempted(later) == 1


# A worker that is silent for a second would have its run stopped afterwards.
def test_a_stop_that_was_not_sent_to_a_silent_worker_is_withdrawn() -> None:
    work = full_work()
    work.add_job("urgent", URGENT_STEP, URGENT)
    work.advance(WAIT_MS)
    [run] = [run for run in work.runs("batch") if run.is_stopping]
    work.state.workers_by_id[run.worker_id].is_usable = False
    work.advance(100)
    assert not run.is_stopping
    assert run.task.preemptions == 0


def test_a_stop_that_was_sent_is_not_withdrawn() -> None:
    work = full_work()
    work.add_job("urgent", URGENT_STEP, URGENT)
    work.advance(WAIT_MS)
    [run] = [run for run in work.runs("batch") if run.is_stopping]
    run.stop_sent_ms = work.now_ms
    work.state.workers_by_id[run.worker_id].is_usable = False
    work.advance(100)
    assert run.is_stopping


# Incident SHORT, the same cause elsewhere: steps that could not start for want
# of a ticket used up those that a pass examines.
def test_a_step_with_a_ticket_preempts_behind_many_that_have_none() -> None:
    work = full_work()
    timing = PermitTiming(5, 1, 60_000)
    for number in range(2 * MAX_EXAMINED_STEPS):
        work.add_job(f"a{number}", URGENT_STEP, URGENT, timing)
    work.add_job("b", URGENT_STEP, URGENT, timing)
    names = list(work.state.workers_by_id)
    permits = [Permit(name, "text") for name in names]
    work.state.record_permits(StepKey("b", 0, 0), names, permits, 60_000)
    work.advance(WAIT_MS)
    assert preempted(work) == 1
