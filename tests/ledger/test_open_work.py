"""The limit of what all open jobs together take of the leader."""

from __future__ import annotations

import random

from result import Err
from result import Ok

from magnoliapitch.clock import ManualClock
from magnoliapitch.ledger.open_work import LARGE_JOBS_SHARE
from magnoliapitch.ledger.open_work import MAX_OPEN_BYTES
from magnoliapitch.ledger.open_work import MAX_UNPUBLISHED_MS
from magnoliapitch.ledger.open_work import OpenWork
from magnoliapitch.ledger.records import LeaderRecord
from magnoliapitch.ledger.state_table import JobState
from magnoliapitch.ledger.state_table import PublishedJob
from magnoliapitch.ledger.state_table import StateTable
from magnoliapitch.planner import SchedulerState
from magnoliapitch.verdict import FailureCode
from magnoliapitch.verdict import Verdict
from magnoliapitch.verdict import may_have_run
from magnoliapitch.verdict import not_run
from magnoliapitch.workload.configuration import Queue
from magnoliapitch.workload.footprint import footprint_bytes
from magnoliapitch.workload.job import JobSpec
from magnoliapitch.workload.job import StepSpec
from magnoliapitch.workload.job_check import MAX_TASKS_PER_JOB
from magnoliapitch.workload.job_limits import MAX_STEPS_PER_JOB


INSTANCES = 7
QUEUE = Queue("q", "h", "/", "app")
PENDING = PublishedJob(JobState.PENDING, "q")


class Deployment:
    """Several instances with one leader, whose figure all see at once."""

    def __init__(self) -> None:
        self.clock = ManualClock(0)
        self.states = StateTable()
        self.state = SchedulerState()
        self.instances = [
            OpenWork(
                self.states,
                lambda: INSTANCES,
                lambda number=number: number == 0,  # type: ignore[misc]
                self.clock,
                random.Random(number),
            )
            for number in range(INSTANCES)
        ]
        self.admitted: list[JobSpec] = []
        self.publish()

    def submit(self, job: JobSpec, instance: int = 0) -> bool:
        """Hand a job in; the leader does not know it yet."""
        if self.instances[instance].admit(job) is not None:
            return False
        self.instances[instance].settle(job.job_id, Ok(None))
        self.admitted.append(job)
        return True

    def publish(self) -> None:
        """Let the leader add all jobs, then publish states and its figure."""
        for job in self.admitted:
            if job.job_id not in self.state.jobs_by_id:
                self.state.add_job(job, QUEUE, 0)
                self.states.put(job.job_id, PENDING)
        self.publish_figure()

    def publish_figure(self) -> None:
        self.states.leader = LeaderRecord(
            1, "a", open_bytes=self.state.open_bytes
        )

    @property
    def admitted_bytes(self) -> int:
        return sum(footprint_bytes(job) for job in self.admitted)


def wide(number: int, tasks: int = MAX_TASKS_PER_JOB) -> JobSpec:
    return JobSpec(f"wide{number}", "q", "", (StepSpec(tasks),))


def small(number: int) -> JobSpec:
    return JobSpec(f"small{number}", "q", "", (StepSpec(2),))


# Each job was within all limits; some tens of them, from one client, exceeded
# the memory of each leader in turn.
def test_all_instances_together_admit_no_more_than_fits() -> None:
    deployment = Deployment()
    for number in range(10_000):
        deployment.submit(wide(number, 2_000), number % INSTANCES)
        if not number % 50:
            deployment.publish()
    assert deployment.admitted_bytes <= LARGE_JOBS_SHARE * MAX_OPEN_BYTES
    assert deployment.admitted_bytes > 0.65 * MAX_OPEN_BYTES


def test_no_more_is_admitted_while_nobody_leads() -> None:
    deployment = Deployment()
    for number in range(10_000):
        deployment.submit(wide(number, 2_000), number % INSTANCES)
    assert deployment.admitted_bytes <= LARGE_JOBS_SHARE * MAX_OPEN_BYTES
    assert deployment.admitted_bytes > 0.65 * MAX_OPEN_BYTES


def test_a_rejection_is_certain_and_says_what_is_left() -> None:
    deployment = Deployment()
    while deployment.submit(wide(len(deployment.admitted))):
        deployment.publish()
    failure = deployment.instances[0].admit(wide(999))
    assert failure is not None
    assert failure.code is FailureCode.OVERLOADED
    assert failure.verdict is Verdict.NOT_RUN
    assert str(footprint_bytes(wide(999))) in failure.detail
    assert failure.retry_after_ms is not None
    assert 1_000 <= failure.retry_after_ms <= 10_000
    # Small jobs go on.
    assert deployment.submit(small(1), 3)


# Forty jobs of one client left no room for those of all others.
def test_large_jobs_leave_room_for_small_ones() -> None:
    deployment = Deployment()
    for number in range(1_000):
        deployment.submit(wide(number, 2_000))
        deployment.publish()
    for number in range(5_000):
        assert deployment.submit(small(number), number % INSTANCES)
        if not number % 50:
            deployment.publish()
    assert deployment.admitted_bytes <= MAX_OPEN_BYTES


def test_small_jobs_together_have_the_same_limit() -> None:
    deployment = Deployment()
    for number in range(40_000):
        deployment.submit(small(number), number % INSTANCES)
        if not number % 100:
            deployment.publish()
    assert deployment.admitted_bytes <= MAX_OPEN_BYTES
    assert deployment.admitted_bytes > 0.9 * MAX_OPEN_BYTES


def test_the_largest_jobs_are_admitted_by_the_leader_in_calm() -> None:
    deployment = Deployment()
    spec = JobSpec("a", "q", "p" * 4_000, (StepSpec(4),) * MAX_STEPS_PER_JOB)
    assert not deployment.instances[1].has_room(spec)
    assert deployment.instances[0].has_room(spec)
    assert deployment.submit(spec)


def test_room_is_free_again_once_jobs_have_ended() -> None:
    deployment = Deployment()
    while deployment.submit(wide(len(deployment.admitted))):
        deployment.publish()
    for job in deployment.admitted:
        deployment.state.remove_job(job.job_id)
    assert deployment.state.open_bytes == 0
    deployment.publish_figure()
    assert deployment.submit(wide(1_000))


def test_a_job_is_counted_until_the_leaders_figure_has_it() -> None:
    deployment = Deployment()
    work = deployment.instances[1]
    assert deployment.submit(wide(0, 12_000), 1)
    assert not work.has_room(wide(1, 12_000))
    # The state is published before the figure that has the job.
    deployment.states.put("wide0", PENDING)
    assert not work.has_room(wide(1, 12_000))
    deployment.publish()
    assert work.has_room(wide(1, 12_000))
    assert deployment.state.open_bytes == footprint_bytes(wide(0, 12_000))


def test_only_a_job_that_was_certainly_not_stored_takes_no_room() -> None:
    deployment = Deployment()
    work = deployment.instances[1]
    large = wide(0, 12_000)
    again = wide(1, 12_000)
    assert work.admit(large) is None
    assert not work.has_room(again)
    work.settle(large.job_id, Err(may_have_run(FailureCode.TIMEOUT, "late")))
    assert not work.has_room(again)
    work.settle(large.job_id, Err(not_run(FailureCode.UNAVAILABLE, "down")))
    assert work.has_room(again)
    assert work.admit(large) is None
    deployment.clock.advance(MAX_UNPUBLISHED_MS)
    assert work.has_room(again)


def test_a_recurring_job_takes_room_for_what_is_open_at_a_time() -> None:
    steps = (StepSpec(10),)
    once = footprint_bytes(JobSpec("a", "q", "", steps))
    often = footprint_bytes(JobSpec("a", "q", "", steps, run_count=2_000))
    assert once < often < 150 * once
    assert often < MAX_OPEN_BYTES / 100
