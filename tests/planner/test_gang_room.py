"""Room that is kept for gangs, beside work that could use it."""

from __future__ import annotations

import pytest

from magnoliapitch.planner.gang_room import MAX_WAIT_BESIDE_IDLE_MS
from magnoliapitch.resource import Resources
from magnoliapitch.workload.job import StepSpec
from magnoliapitch.workload.run import EndKind
from tests.planner.running_work import BATCH
from tests.planner.running_work import PLANS
from tests.planner.running_work import URGENT
from tests.planner.running_work import RunningWork


ROUND_MS = 20
# Longest time without a run that a job has to bear beside idle workers.
MAX_WAIT_MS = 3_000


def one(cpu_millis: int) -> StepSpec:
    return StepSpec(1, Resources(cpu_millis, 100), 60_000)


def gang(count: int, cpu_millis: int) -> StepSpec:
    size = Resources(cpu_millis, 100)
    return StepSpec(count, size, 60_000, is_gang=True)


def work_with_long_runs(cpu_millis: int) -> RunningWork:
    """Return two workers of 8 cores, each with one long run."""
    work = RunningWork(preemption=False)
    size = Resources(cpu_millis, 100)
    work.add_job("long", StepSpec(2, size, 60_000, max_per_worker=1), URGENT)
    work.plan()
    assert len(work.runs("long")) == 2
    work.advance(ROUND_MS)
    return work


def end_runs(work: RunningWork, job_id: str) -> None:
    for run in work.runs(job_id):
        work.end(run, EndKind.DONE)


def waited_ms(work: RunningWork, job_id: str, limit_ms: int) -> int:
    """Return how long a job has nothing running, at most a limit."""
    added_ms = work.now_ms
    while not work.runs(job_id) and work.now_ms - added_ms < limit_ms:
        work.advance(ROUND_MS)
    return work.now_ms - added_ms


# All that was free on any worker was kept for up to 20 s a gang, one gang
# after the other, so that no less urgent job ran as long as gangs came.
@pytest.mark.parametrize("gang_interval_ms", [500, 4_000, 60_000])
def test_gangs_that_cannot_start_do_not_keep_others_from_idle_workers(
    gang_interval_ms: int,
) -> None:
    work = work_with_long_runs(1_000)
    next_gang_ms = 0
    for number in range(60):
        if work.now_ms >= next_gang_ms:
            next_gang_ms += gang_interval_ms
            work.add_job(f"gang{number}", gang(4, 4_000), PLANS)
        job_id = f"small{number}"
        work.add_job(job_id, one(3_500))
        assert waited_ms(work, job_id, MAX_WAIT_MS) < MAX_WAIT_MS
        end_runs(work, job_id)
        work.advance(200)
    assert not work.runs("gang0")


def test_a_gang_keeps_no_more_of_a_worker_than_its_tasks_take() -> None:
    work = RunningWork(preemption=False)
    work.add_job("long", one(4_000), URGENT)
    work.plan()
    work.advance(ROUND_MS)
    work.add_job("gang", gang(2, 5_000), PLANS)
    work.advance(ROUND_MS)
    assert not work.runs("gang")
    work.add_job("small", one(3_000))
    assert waited_ms(work, "small", MAX_WAIT_MS) == ROUND_MS
    assert work.runs("small")[0].worker_id != work.runs("long")[0].worker_id


def test_a_gang_starts_in_the_room_that_was_kept_for_it() -> None:
    work = work_with_long_runs(1_000)
    work.add_job("gang", gang(4, 4_000), PLANS)
    work.add_job("small", one(3_500))
    work.advance(MAX_WAIT_BESIDE_IDLE_MS - ROUND_MS)
    assert not work.runs("small")
    end_runs(work, "long")
    work.advance(ROUND_MS)
    assert len(work.runs("gang")) == 4


def test_room_is_kept_for_a_gang_while_the_workers_are_well_used() -> None:
    work = work_with_long_runs(5_000)
    work.add_job("gang", gang(2, 4_000), PLANS)
    work.add_job("small", one(500))
    work.advance(10 * MAX_WAIT_BESIDE_IDLE_MS)
    assert not work.runs("small")
    end_runs(work, "long")
    work.advance(ROUND_MS)
    assert len(work.runs("gang")) == 2


# The 20 s began anew with each leader.
def test_what_a_new_leader_finds_waiting_does_not_wait_for_gangs() -> None:
    work = work_with_long_runs(1_000)
    for number in range(5):
        work.add_job(f"gang{number}", gang(4, 4_000), PLANS)
    work.add_job("small", one(3_500), BATCH)
    successor = RunningWork(preemption=False)
    successor.state = work.state
    successor.advance(ROUND_MS)
    assert successor.runs("small")


def test_room_that_is_given_to_one_step_is_kept_from_the_next() -> None:
    work = work_with_long_runs(1_000)
    work.add_job("gang", gang(4, 4_000), PLANS)
    work.advance(ROUND_MS)
    work.add_job("first", one(6_500))
    work.advance(MAX_WAIT_BESIDE_IDLE_MS - ROUND_MS)
    assert not work.runs("first")
    work.add_job("second", one(6_500))
    work.advance(ROUND_MS)
    assert work.runs("first")
    assert not work.runs("second")
