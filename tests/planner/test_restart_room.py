"""Room for tasks of services that are down and fit nowhere."""

from __future__ import annotations

import sys

import pytest

from magnoliapitch.planner.expected_starts import ROOM_AHEAD_MS
from magnoliapitch.planner.preemption_pass import MAX_EXAMINED_STEPS
from magnoliapitch.planner.preemption_pass import MAX_PREEMPTIONS_PER_TASK
from magnoliapitch.planner.preemption_pass import MIN_RUN_MS
from magnoliapitch.planner.restart_room import MAX_RESTARTING_STEPS
from magnoliapitch.planner.restart_room import MIN_DOWN_MS
from magnoliapitch.resource import Resources
from magnoliapitch.workload.configuration import PermitTiming
from magnoliapitch.workload.job import StepKey
from magnoliapitch.workload.job import StepSpec
from magnoliapitch.workload.job import TaskKey
from magnoliapitch.workload.run import EndKind
from magnoliapitch.workload.run import Permit
from tests.planner.running_work import BATCH
from tests.planner.running_work import PLANS
from tests.planner.running_work import URGENT
from tests.planner.running_work import RunningWork


SIZE = Resources(2_000, 4_000)
SERVICE = StepSpec(1, SIZE, is_long_running=True)
FULL = StepSpec(4, SIZE, 20_000)
SAVING = FULL._replace(saves_progress=True)
TASK = TaskKey("service", 0, 0, 0)
TIMING = PermitTiming(5, 1, 2_500)
# A pass, and the time for which a step has to be short of room.
SHORT_MS = 200
LOST_AT_MS = 8_000


class Outage:
    """A service on ``w0``, which is gone, and work that fills ``w1``."""

    def __init__(
        self,
        service: StepSpec = SERVICE,
        permit_timing: PermitTiming | None = None,
    ) -> None:
        self.work = work = RunningWork(0)
        work.list_worker("w0")
        job = work.add_job("service", service, PLANS, permit_timing)
        [self.step] = job.all_steps()
        run = work.state.add_ordered_run(TASK, 1, "w0", 0)
        work.state.confirm_run(run, 0)
        worker = work.state.workers_by_id["w0"]
        worker.is_usable = False
        worker.runs_lost_at_ms = LOST_AT_MS
        work.list_worker("w1")

    def fill(self, *steps: StepSpec, priority: int = BATCH) -> None:
        """Begin jobs ``a``, ``b`` and so on, one after the other."""
        for name, step in zip("abcd", steps, strict=False):
            self.work.add_job(name, step, priority)
            self.work.advance(MIN_RUN_MS)

    def give_up(self) -> None:
        self.work.now_ms = LOST_AT_MS
        self.work.state.lose_runs("w0")

    def displaced(self) -> list[str]:
        """Return the jobs of the runs that are stopped, after a while."""
        self.work.advance(SHORT_MS)
        assert set(self.work.stopping().values()) <= {"preempted"}
        return sorted(key.job_id for key in self.work.stopping())

    def end_stopped(self) -> None:
        for run in list(self.work.state.runs_to_stop.values()):
            self.work.end(run, EndKind.STOPPED)


# A task of a service whose permitted workers were full never started again.
@pytest.mark.parametrize("step", [FULL, SAVING], ids=("unsaved", "saved"))
def test_a_service_that_is_down_displaces_one_run(step: StepSpec) -> None:
    outage = Outage()
    outage.fill(step)
    outage.give_up()
    assert outage.displaced() == ["a"]
    outage.end_stopped()
    [start] = outage.work.plan().starts
    assert (start.task, start.run) == (TASK, 2)


# Services whose kind of worker was gone were down longest, and for ever: no
# room was made any more for another one (review/14).
@pytest.mark.parametrize("permit_timing", [None, TIMING])
def test_services_that_no_worker_suits_keep_no_other_from_room(
    permit_timing: PermitTiming | None,
) -> None:
    outage = Outage(permit_timing=permit_timing)
    if permit_timing is not None:
        outage.step.record_permits(
            ["w1"], [Permit("w1", "ticket")], 2 * LOST_AT_MS
        )
    gone = SERVICE._replace(label="gone")
    for number in range(MAX_EXAMINED_STEPS + 1):
        job = outage.work.add_job(f"gone{number}", gone, PLANS, permit_timing)
        [task] = job.steps[0][0].tasks
        # Its run was lost with the last worker of its kind.
        task.runs = 1
        job.steps[0][0].record_permits([], [Permit("x", "t")], 2 * LOST_AT_MS)
    outage.fill(FULL)
    outage.give_up()
    assert outage.displaced() == ["a"]


# The same with workers that suit them, and that other services fill.
def test_services_without_any_room_keep_no_other_from_it() -> None:
    outage = Outage()
    outage.work.list_worker("w2", labels=frozenset(("full",)))
    full = StepSpec(4, SIZE, is_long_running=True, label="full")
    outage.work.add_job("full", full, PLANS)
    outage.work.advance(MIN_RUN_MS)
    lost = SERVICE._replace(label="full")
    for number in range(MAX_RESTARTING_STEPS):
        job = outage.work.add_job(f"lost{number}", lost, PLANS)
        job.steps[0][0].tasks[0].runs = 1
    outage.fill(FULL)
    outage.give_up()
    assert outage.displaced() == ["a"]


# A stop takes longer than is left once the runs are given up.
def test_room_is_made_shortly_before_the_runs_are_given_up() -> None:
    outage = Outage()
    outage.fill(FULL)
    outage.work.now_ms = LOST_AT_MS - ROOM_AHEAD_MS - SHORT_MS - 20
    assert outage.displaced() == []
    outage.work.advance(40)
    assert outage.displaced() == ["a"]
    outage.end_stopped()
    assert outage.work.plan().starts == ()
    outage.give_up()
    [start] = outage.work.plan().starts
    assert start.task == TASK


def test_a_service_waits_for_a_moment_before_it_displaces_work() -> None:
    outage = Outage()
    outage.fill(FULL)
    outage.give_up()
    outage.step.tasks[0].last_active_ms = outage.work.now_ms
    outage.work.advance(MIN_DOWN_MS - 2 * SHORT_MS)
    assert outage.displaced() == []
    outage.work.advance(SHORT_MS)
    assert outage.displaced() == ["a"]


def test_the_first_start_of_a_service_displaces_nothing() -> None:
    work = RunningWork(1)
    work.add_job("a", SAVING)
    work.advance(MIN_RUN_MS)
    work.add_job("service", SERVICE, URGENT)
    work.advance(MIN_DOWN_MS + SHORT_MS)
    assert work.stopping() == {}


def test_only_the_tasks_that_ran_displace_work_and_get_its_room() -> None:
    outage = Outage(SERVICE._replace(task_count=3))
    outage.step.start_limit = 0
    outage.fill(FULL)
    outage.step.start_limit = sys.maxsize
    outage.give_up()
    tasks = outage.step.tasks
    tasks[0].runs, tasks[2].runs = 0, 1
    assert outage.displaced() == ["a"]
    outage.end_stopped()
    [start] = outage.work.plan().starts
    assert start.task == tasks[2].key


@pytest.mark.parametrize(
    "step",
    [
        SERVICE._replace(task_count=4),
        SAVING._replace(is_gang=True),
    ],
    ids=("service", "gang"),
)
def test_some_work_is_never_displaced(step: StepSpec) -> None:
    outage = Outage()
    outage.fill(step)
    outage.give_up()
    assert outage.displaced() == []


def test_work_of_a_more_urgent_queue_is_not_displaced() -> None:
    outage = Outage()
    outage.fill(SAVING, priority=URGENT)
    outage.give_up()
    assert outage.displaced() == []


def test_work_of_the_same_queue_is_displaced() -> None:
    outage = Outage()
    outage.fill(SAVING, priority=PLANS)
    outage.give_up()
    assert outage.displaced() == ["a"]


# Small urgent tasks, one after the other, took each part that became free.
def test_what_becomes_free_is_kept_for_a_service_that_fits_nowhere() -> None:
    outage = Outage(SERVICE._replace(resources=SIZE.times(2)))
    outage.fill(FULL, FULL._replace(task_count=40), priority=URGENT)
    outage.give_up()
    assert outage.displaced() == []
    for run in outage.work.runs("a")[:2]:
        assert outage.work.plan().starts == ()
        outage.work.end(run, EndKind.DONE)
    [start] = outage.work.plan().starts
    assert start.task == TASK


def test_work_that_saves_its_progress_is_displaced_first() -> None:
    outage = Outage()
    outage.fill(SAVING._replace(task_count=1), FULL._replace(task_count=3))
    outage.give_up()
    assert outage.displaced() == ["a"]


def test_the_youngest_work_is_displaced_and_no_more_than_needed() -> None:
    outage = Outage()
    old, young = FULL._replace(task_count=2), FULL._replace(task_count=2)
    outage.fill(old, young)
    outage.give_up()
    assert outage.displaced() == ["b"]
    outage.work.advance(1_000)
    assert outage.displaced() == ["b"]


def test_room_beside_a_run_that_ends_soon_is_waited_for() -> None:
    outage = Outage()
    outage.fill(FULL._replace(task_count=3), StepSpec(1, SIZE, 50))
    outage.give_up()
    [run] = outage.work.runs("b")
    run.started_ms = outage.work.now_ms
    assert outage.displaced() == []
    assert outage.work.runs("service") == []


def test_a_task_is_displaced_twice_at_most() -> None:
    outage = Outage(SERVICE._replace(resources=SIZE.times(4)))
    outage.fill(FULL._replace(task_count=1))
    [run] = outage.work.runs("a")
    run.task.preemptions = MAX_PREEMPTIONS_PER_TASK
    outage.give_up()
    assert outage.displaced() == []


def test_a_service_beyond_the_share_of_its_workspace_displaces_nothing() -> (
    None
):
    outage = Outage()
    outage.fill(SAVING)
    outage.give_up()
    outage.step.is_beyond_share = True
    assert outage.displaced() == []


def test_a_service_beyond_a_quota_displaces_nothing() -> None:
    outage = Outage()
    outage.fill(SAVING)
    outage.give_up()
    outage.step.start_limit = 0
    assert outage.displaced() == []


def test_the_limit_of_tasks_on_a_worker_is_kept() -> None:
    outage = Outage(SERVICE._replace(task_count=2, max_per_worker=1))
    run = outage.work.state.add_ordered_run(
        outage.step.tasks[1].key, 1, "w1", 0
    )
    outage.work.state.confirm_run(run, 0)
    outage.fill(SAVING._replace(task_count=3))
    outage.give_up()
    assert outage.displaced() == []


# Permits were requested for workers with room only.
def test_permits_are_requested_for_full_workers_before_work_is_displaced() -> (
    None
):
    outage = Outage(permit_timing=TIMING)
    outage.work.list_worker("w2")
    outage.fill(FULL._replace(task_count=8))
    outage.step.record_permits(["w1", "w2"], [Permit("w1", "old")], 0)
    outage.give_up()
    requests = [
        request
        for plan in outage.work.advance(SHORT_MS)
        for request in plan.permit_requests
    ]
    assert {request.worker_ids for request in requests} == {("w1",)}
    assert outage.displaced() == []
    valid_until_ms = outage.work.now_ms + TIMING.valid_ms
    outage.work.state.record_permits(
        StepKey("service", 0, 0), ["w1"], [Permit("w1", "t")], valid_until_ms
    )
    assert outage.displaced() == ["a"]
    [run] = outage.work.state.runs_to_stop.values()
    assert run.worker_id == "w1"


def test_a_gang_displaces_as_a_whole_or_not_at_all() -> None:
    for count, displaced in ((4, ["a"] * 4), (5, [])):
        outage = Outage(SERVICE._replace(task_count=count, is_gang=True))
        outage.fill(SAVING)
        for task in outage.step.tasks:
            task.runs = 1
        outage.give_up()
        assert outage.displaced() == displaced


# A service that started for the first time took the room for good.
def test_the_first_start_of_a_service_leaves_room_for_one_that_is_lost() -> (
    None
):
    outage = Outage()
    outage.fill(FULL._replace(task_count=3))
    outage.work.add_job("new", SERVICE, URGENT)
    outage.work.advance(SHORT_MS)
    assert len(outage.work.runs("new")) == 1
    outage.work.add_job("newer", SERVICE._replace(task_count=3), URGENT)
    for run in outage.work.runs("a"):
        outage.work.end(run, EndKind.DONE)
    outage.work.advance(SHORT_MS)
    assert outage.work.runs("newer") == []
    outage.give_up()
    outage.work.advance(SHORT_MS)
    assert len(outage.work.runs("service")) == 1
    assert len(outage.work.runs("newer")) == 2


def test_the_advisor_is_asked_early_if_no_permitted_worker_is_left() -> None:
    outage = Outage(permit_timing=TIMING)
    [request] = outage.work.plan().permit_requests
    assert request.worker_ids == ("w1",)
    outage.step.record_permits(["w1"], [Permit("w1", "t")], 0)
    outage.work.advance(SHORT_MS)
    assert outage.work.plan().permit_requests == ()
