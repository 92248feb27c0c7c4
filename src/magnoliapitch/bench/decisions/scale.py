"""Cost of decisions by number of workers and of queued tasks.

The scheduler is saturated: it can start a task only when another one ends.
"""

from __future__ import annotations

import resource
import time

from pathlib import Path
from typing import TYPE_CHECKING
from typing import NamedTuple

import numpy as np

from hdrh.histogram import HdrHistogram

from magnoliapitch.catalogue.entry import CatalogueEntry
from magnoliapitch.catalogue.entry import WorkClass
from magnoliapitch.decision.interface import TaskRequest
from magnoliapitch.decision.interface import WorkerShape
from magnoliapitch.decision.registry import make_scheduler
from magnoliapitch.job.spec import TaskOutcome
from magnoliapitch.resource import Resources


if TYPE_CHECKING:
    from magnoliapitch.decision.interface import Placement
    from magnoliapitch.decision.interface import Scheduler


WORKER_COUNTS = (24, 240, 2_400, 18_000)
QUEUE_LENGTHS = (1_000, 10_000, 100_000, 1_000_000)
BASE_QUEUE_LENGTH = 10_000
BASE_WORKER_COUNT = 24
WORKERS_PER_RACK = 8
RACKS_PER_ZONE = 100
TASKS_PER_JOB = 10
OWNER_COUNT = 140
TASK_CORES = (4, 6, 8, 12)
WORKER_CAPACITY = Resources(32_000, 131_072, 0)
DECLARED_RUN_MS = 60_000
STEP_MS = 10
ENDS_PER_STEP = 20
MEASURED_STARTS = 4_000
MAX_DECISION_NS = 60_000_000_000


class DecisionCost(NamedTuple):
    """Cost of a saturated scheduler.

    :param workers: number of workers.
    :param queued: number of waiting tasks.
    :param starts: number of measured starts.
    :param starts_per_second: starts divided by the scheduler's processor
        time, including that for task ends and submissions.
    :param decision_p50_us: median processor time of a call of ``decide``.
    :param decision_p99_us: 99th percentile of the same.
    :param examined_per_start: workers examined for each start; it doesn't
        depend on the machine.
    :param resident_mb: growth of the resident memory of the process.
    """

    workers: int
    queued: int
    starts: int
    starts_per_second: float
    decision_p50_us: float
    decision_p99_us: float
    examined_per_start: float
    resident_mb: float


class _SaturatedScheduler:
    """Submits, starts and ends tasks and measures the scheduler's time.

    :ivar starts: number of starts since the last reset.
    :ivar decision_ns: processor time of each call of ``decide``.
    :ivar spent_ns: processor time of all calls since the last reset.
    """

    def __init__(self, scheduler: Scheduler, seed: int) -> None:
        self.now_ms = 0
        self.starts = 0
        self.decision_ns = HdrHistogram(1, MAX_DECISION_NS, 3)
        self.spent_ns = 0
        self._scheduler = scheduler
        self._random = np.random.default_rng(seed)
        self._running: list[Placement] = []
        self._job_count = 0

    def submit(self, tasks: int) -> None:
        """Submit about ``tasks`` tasks, in jobs of ``TASKS_PER_JOB``."""
        for _ in range(max(1, tasks // TASKS_PER_JOB)):
            self._job_count += 1
            owner = int(self._random.integers(OWNER_COUNT))
            cores = int(self._random.choice(TASK_CORES))
            size = Resources(cores * 1_000, cores * 3_000)
            requests = tuple(
                TaskRequest(
                    f"job-{self._job_count}/{number}/0",
                    f"job-{self._job_count}",
                    f"entry-{owner}",
                    f"owner-{owner}",
                    WorkClass.BATCH,
                    size,
                    DECLARED_RUN_MS,
                    self.now_ms,
                )
                for number in range(TASKS_PER_JOB)
            )
            started_ns = time.process_time_ns()
            self._scheduler.submit(requests)
            self.spent_ns += time.process_time_ns() - started_ns

    def decide(self) -> int:
        """Decide until no more tasks can start.

        :return: number of starts.
        """
        started = 0
        while True:
            started_ns = time.process_time_ns()
            decision = self._scheduler.decide(self.now_ms)
            spent_ns = time.process_time_ns() - started_ns
            self.spent_ns += spent_ns
            self.decision_ns.record_value(max(1, spent_ns))
            self._running.extend(decision.placements)
            started += len(decision.placements)
            if not decision.has_more:
                break
        self.starts += started
        return started

    def end_some(self) -> None:
        """End some randomly chosen running tasks."""
        for _ in range(min(ENDS_PER_STEP, len(self._running))):
            index = int(self._random.integers(len(self._running)))
            self._running[index], self._running[-1] = (
                self._running[-1],
                self._running[index],
            )
            ended_placement = self._running.pop()
            started_ns = time.process_time_ns()
            self._scheduler.record_task_end(
                ended_placement.attempt_id, TaskOutcome.FINISHED, self.now_ms
            )
            self.spent_ns += time.process_time_ns() - started_ns

    def reset(self) -> None:
        """Set the figures to zero before a measurement."""
        self.starts = 0
        self.spent_ns = 0
        self.decision_ns.reset()


def measure_decision_cost(
    workers: int,
    queued: int,
    policy: str = "weighted",
    seed: int = 1,
    starts: int = MEASURED_STARTS,
) -> DecisionCost:
    """Measure a saturated scheduler with a queue of constant length.

    :param workers: number of workers, eight to a rack.
    :param queued: number of waiting tasks.
    :param starts: number of starts to measure.
    """
    resident_kb_before = _resident_kb()
    scheduler = make_scheduler(policy)
    scheduler.set_catalogue(_catalogue())
    for number in range(workers):
        scheduler.add_worker(_worker(number))
    load = _SaturatedScheduler(scheduler, seed)
    while load.decide() or scheduler.queued_count() < TASKS_PER_JOB:
        load.submit(workers * 2)
    load.submit(queued)
    load.now_ms += STEP_MS
    load.decide()
    load.reset()
    examined_before = _examined_count(scheduler)
    while load.starts < starts:
        load.now_ms += STEP_MS
        load.end_some()
        load.decide()
        if scheduler.queued_count() < queued:
            load.submit(ENDS_PER_STEP)
    percentile = load.decision_ns.get_value_at_percentile
    return DecisionCost(
        workers,
        queued,
        load.starts,
        load.starts * 1e9 / load.spent_ns,
        percentile(50) / 1_000,
        percentile(99) / 1_000,
        (_examined_count(scheduler) - examined_before) / load.starts,
        (_resident_kb() - resident_kb_before) / 1_024,
    )


def measure_scaling(starts: int = MEASURED_STARTS) -> list[DecisionCost]:
    """Measure the cost by number of workers and by queue length.

    :param starts: number of starts to measure for each size.
    """
    by_workers = [
        measure_decision_cost(workers, BASE_QUEUE_LENGTH, starts=starts)
        for workers in WORKER_COUNTS
    ]
    by_queue = [
        measure_decision_cost(BASE_WORKER_COUNT, queued, starts=starts)
        for queued in QUEUE_LENGTHS
    ]
    return by_workers + by_queue


def _catalogue() -> dict[str, CatalogueEntry]:
    return {
        f"entry-{number}": CatalogueEntry(
            f"entry-{number}", f"owner-{number}", WorkClass.BATCH
        )
        for number in range(OWNER_COUNT)
    }


def _worker(number: int) -> WorkerShape:
    rack = number // WORKERS_PER_RACK
    return WorkerShape(
        f"worker-{number}",
        f"rack-{rack}",
        f"zone-{rack // RACKS_PER_ZONE}",
        WORKER_CAPACITY,
    )


def _examined_count(scheduler: Scheduler) -> int:
    examined_count = getattr(scheduler, "examined_count", None)
    return int(examined_count()) if examined_count is not None else 0


def _resident_kb() -> int:
    pages = int(Path("/proc/self/statm").read_text().split()[1])
    return pages * resource.getpagesize() // 1_024
