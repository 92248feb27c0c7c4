"""Order of candidates where speeds are learned."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from magnoliapitch.planner import Planner
from magnoliapitch.planner import PlanningOptions
from magnoliapitch.planner import SchedulerState
from magnoliapitch.planner.duration.queue_work import QueueFigures
from magnoliapitch.planner.duration.queue_work import QueueWork
from magnoliapitch.planner.duration.worker_speed import SpeedEstimate
from magnoliapitch.resource import Resources
from magnoliapitch.workload.configuration import PermitTiming
from magnoliapitch.workload.configuration import Queue
from magnoliapitch.workload.job import JobSpec
from magnoliapitch.workload.job import StepKey
from magnoliapitch.workload.job import StepSpec
from magnoliapitch.workload.run import Permit
from magnoliapitch.workload.worker import WorkerInfo


if TYPE_CHECKING:
    from collections.abc import Sequence

LOG_SPEED = {True: 0.6, False: -0.3}
# The queues of the uneven load, with learned work.
URGENT = Queue("urgent", "h", "/u", "app", 0, 3, 1.5, 250)
GANGS = Queue("gangs", "h", "/g", "app", 1, 3, 2.2, 1_000)
BULK = Queue("bulk", "h", "/b", "app", 2, 3, 4.0, 3_000)
LOG_WORK = {"urgent": 6.29, "gangs": 8.13, "bulk": 7.97}
FIGURES = QueueFigures(100, 0, 0, 10, 1, 0.1, 0.03)
URGENT_STEP = StepSpec(3, Resources(2_500, 4_000))
BULK_STEP = StepSpec(25, Resources(1_700, 2_000))
PERMIT_TIMING = PermitTiming(5, 1, 2_500)


class Site:
    """Workers of 16 cores of which every third is fast, in virtual time."""

    def __init__(
        self, count: int = 12, speeds: Sequence[bool] | None = None
    ) -> None:
        self.state = SchedulerState()
        self.planner = Planner(PlanningOptions(worker_speeds=True))
        speeds = speeds or [number % 3 == 0 for number in range(count)]
        self.is_fast = {f"w{n}": fast for n, fast in enumerate(speeds)}
        for worker_id in self.is_fast:
            info = WorkerInfo(worker_id, "app", "10.0.0.1:1", "z", "r1")
            info = info._replace(capacity=Resources(16_000, 64_000))
            self.state.update_worker(info).is_usable = True
        learned = self.planner.learned_durations
        assert learned is not None
        for name, log_work in LOG_WORK.items():
            figures = FIGURES._replace(mean_y=log_work)
            learned.work_by_queue[name] = QueueWork(figures)
        learned.speeds.restore(
            {
                worker_id: SpeedEstimate(LOG_SPEED[fast], 0.003)
                for worker_id, fast in self.is_fast.items()
            }
        )
        learned.speeds.set_workers(dict.fromkeys(self.is_fast, ""), 0)
        learned.speeds.classify()
        learned.refresh(self.state.workers_by_id, 0)

    def submit(self, name: str, queue: Queue, step: StepSpec) -> None:
        """Add a job of one step."""
        self.state.add_job(JobSpec(name, queue.name, "", (step,)), queue, 0)

    def starts(self, now_ms: int = 0) -> list[tuple[str, bool]]:
        """Plan a round; return the job and whether the worker is fast."""
        plan = self.planner.plan(self.state, now_ms, now_ms)
        for start in plan.starts:
            self.state.add_ordered_run(
                start.task, start.run, start.worker_id, now_ms
            )
        return [
            (start.task.job_id, self.is_fast[start.worker_id])
            for start in plan.starts
        ]


def test_urgent_tasks_get_fast_workers_and_bulk_slow_ones() -> None:
    """Uneven load: 3 tasks of 0.54 s, 0.25 s + 1.5 x path; tasks of 2.9 s."""
    site = Site()
    site.submit("bulk", BULK, BULK_STEP)
    site.submit("urgent", URGENT, URGENT_STEP)
    starts = site.starts()
    assert [fast for job, fast in starts if job == "urgent"] == [True] * 3
    assert [fast for job, fast in starts if job == "bulk"] == [False] * 25


def test_fast_workers_do_not_idle_while_bulk_waits() -> None:
    """Uneven load with a burst of bulk and without urgent work."""
    site = Site()
    for number in range(4):
        site.submit(f"bulk{number}", BULK, BULK_STEP)
    starts = site.starts()
    assert sum(not fast for _, fast in starts) == 8 * 9
    assert sum(fast for _, fast in starts) == 100 - 72


def test_urgent_tasks_take_slow_workers_if_fast_ones_are_full() -> None:
    site = Site()
    full = StepSpec(4, Resources(16_000, 4_000))
    site.submit("first", URGENT, full)
    assert site.starts() == [("first", True)] * 4
    site.submit("second", URGENT, URGENT_STEP)
    assert site.starts() == [("second", False)] * 3


def test_work_that_is_late_everywhere_gets_the_fastest_workers() -> None:
    site = Site()
    site.submit("urgent", URGENT, URGENT_STEP)
    assert site.starts(now_ms=1_500) == [("urgent", True)] * 3


def test_bulk_that_has_waited_long_gets_fast_workers() -> None:
    """The slowest that is in time changes as its objective comes nearer."""
    site = Site()
    site.submit("bulk", BULK, BULK_STEP)
    starts = site.starts(now_ms=10_000)
    assert all(fast for _, fast in starts)


def test_a_gang_is_not_spread_over_slow_and_fast_workers() -> None:
    """Its fast members would wait for the slow ones."""
    site = Site()
    small = StepSpec(20, Resources(4_500, 4_000), is_gang=True)
    site.submit("fits-slow", GANGS, small)
    assert {fast for _, fast in site.starts()} == {False}
    site = Site()
    filler = StepSpec(5, Resources(16_000, 4_000))
    site.submit("filler", BULK, filler)
    assert {fast for _, fast in site.starts()} == {False}
    twelve = StepSpec(12, Resources(4_500, 4_000), is_gang=True)
    site.submit("fits-fast", GANGS, twelve)
    assert site.starts() == [("fits-fast", True)] * 12


def test_a_gang_that_fits_no_class_takes_fast_and_slow_workers() -> None:
    site = Site()
    gang = StepSpec(30, Resources(4_500, 4_000), is_gang=True)
    site.submit("gang", GANGS, gang)
    starts = site.starts()
    assert len(starts) == 30
    assert sum(fast for _, fast in starts) == 12


def test_the_advisor_is_asked_about_fast_workers_first() -> None:
    """A permit for a slow worker is of no use to an urgent task."""
    site = Site(count=90)
    queue = URGENT._replace(permit_timing=PERMIT_TIMING)
    site.submit("urgent", queue, URGENT_STEP)
    plan = site.planner.plan(site.state, 0, 0)
    asked = plan.permit_requests[0].worker_ids
    assert len(asked) == 30
    assert all(site.is_fast[worker_id] for worker_id in asked)


def test_a_valid_ticket_is_no_reason_for_a_worker_that_is_late() -> None:
    site = Site()
    queue = URGENT._replace(permit_timing=PERMIT_TIMING)
    site.submit("urgent", queue, URGENT_STEP)
    names = list(site.is_fast)
    key = StepKey("urgent", 0, 0)
    permits = [Permit(name, "t") for name in names]
    site.state.record_permits(key, names, permits, 2_500)
    step = site.state.step(key)
    assert step is not None
    for name, fast in site.is_fast.items():
        if fast:
            del step.tickets_by_worker[name]
    plan = site.planner.plan(site.state, 0, 0)
    assert not plan.starts
    assert site.is_fast[plan.permit_requests[0].worker_ids[0]]


@pytest.mark.parametrize("is_on", [True, False])
def test_equal_workers_keep_the_former_order(is_on: bool) -> None:
    """The least free CPU first, as without learned speeds."""
    site = Site(speeds=[False] * 6)
    site.planner = Planner(PlanningOptions(worker_speeds=is_on))
    site.submit("first", BULK, StepSpec(1, Resources(9_000, 4_000)))
    site.starts()
    site.submit("second", BULK, StepSpec(1, Resources(2_000, 4_000)))
    site.starts()
    used = [len(w.runs) for w in site.state.workers_by_id.values()]
    assert sorted(used) == [0, 0, 0, 0, 0, 2]
