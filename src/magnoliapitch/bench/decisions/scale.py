"""Cost of decisions by number of workers and of queued tasks."""

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
BASE_QUEUE = 10_000
BASE_WORKERS = 24
WORKERS_PER_RACK = 8
RACKS_PER_ZONE = 100
TASKS_PER_JOB = 10
OWNERS = 140
CORES = (4, 6, 8, 12)
CAPACITY = Resources(32_000, 131_072, 0)
RUN_MS = 60_000
STEP_MS = 10
ENDS_PER_STEP = 20
STARTS = 4_000
MAX_DECISION_NS = 60_000_000_000


class DecisionCost(NamedTuple):
    """Cost of a saturated scheduler of a size.

    :param starts: measured starts, each after the end of another task.
    :param starts_per_second: on one core, with ends and submissions.
    :param decision_p50_us: of one decide call.
    :param probes_per_start: workers examined, the same on any machine.
    :param resident_mb: growth of the process's memory.
    """

    workers: int
    queued: int
    starts: int
    starts_per_second: float
    decision_p50_us: float
    decision_p99_us: float
    probes_per_start: float
    resident_mb: float


class _Load:
    """Keeps a scheduler saturated with a queue of constant length."""

    def __init__(self, scheduler: Scheduler, seed: int) -> None:
        self.now_ms = 0
        self.starts = 0
        self.decision_ns = HdrHistogram(1, MAX_DECISION_NS, 3)
        self.spent_ns = 0
        self._scheduler = scheduler
        self._random = np.random.default_rng(seed)
        self._running: list[Placement] = []
        self._jobs = 0

    def submit(self, tasks: int) -> None:
        """Queue about that many tasks, in jobs of ten."""
        for _ in range(max(1, tasks // TASKS_PER_JOB)):
            self._jobs += 1
            owner = int(self._random.integers(OWNERS))
            cores = int(self._random.choice(CORES))
            size = Resources(cores * 1_000, cores * 3_000)
            requests = tuple(
                TaskRequest(
                    f"job-{self._jobs}/{number}/0",
                    f"job-{self._jobs}",
                    f"entry-{owner}",
                    f"owner-{owner}",
                    WorkClass.BATCH,
                    size,
                    RUN_MS,
                    self.now_ms,
                )
                for number in range(TASKS_PER_JOB)
            )
            began_ns = time.process_time_ns()
            self._scheduler.submit(requests)
            self.spent_ns += time.process_time_ns() - began_ns

    def decide(self) -> int:
        """Decide until nothing more can start; return the starts."""
        started = 0
        while True:
            began_ns = time.process_time_ns()
            decision = self._scheduler.decide(self.now_ms)
            spent_ns = time.process_time_ns() - began_ns
            self.spent_ns += spent_ns
            self.decision_ns.record_value(max(1, spent_ns))
            self._running.extend(decision.placements)
            started += len(decision.placements)
            if not decision.has_more:
                break
        self.starts += started
        return started

    def end_some(self) -> None:
        """End some tasks that run, chosen at random."""
        for _ in range(min(ENDS_PER_STEP, len(self._running))):
            index = int(self._random.integers(len(self._running)))
            self._running[index], self._running[-1] = (
                self._running[-1],
                self._running[index],
            )
            ended = self._running.pop()
            began_ns = time.process_time_ns()
            self._scheduler.record_task_end(
                ended.task_id, TaskOutcome.FINISHED, self.now_ms
            )
            self.spent_ns += time.process_time_ns() - began_ns

    def reset(self) -> None:
        """Start to measure."""
        self.starts = 0
        self.spent_ns = 0
        self.decision_ns.reset()


def decision_cost(
    workers: int,
    queued: int,
    policy: str = "weighted",
    seed: int = 1,
    starts: int = STARTS,
) -> DecisionCost:
    """Measure a saturated scheduler with a queue of constant length.

    :param workers: number of workers, eight to a rack.
    :param queued: number of waiting tasks.
    :param starts: number of starts to measure.
    """
    resident_kb = _resident_kb()
    scheduler = make_scheduler(policy)
    scheduler.set_catalogue(_catalogue())
    for number in range(workers):
        scheduler.add_worker(_worker(number))
    load = _Load(scheduler, seed)
    while load.decide() or scheduler.queued_count() < TASKS_PER_JOB:
        load.submit(workers * 2)
    load.submit(queued)
    load.now_ms += STEP_MS
    load.decide()
    load.reset()
    probes = _probes(scheduler)
    while load.starts < starts:
        load.now_ms += STEP_MS
        load.end_some()
        load.decide()
        if scheduler.queued_count() < queued:
            load.submit(ENDS_PER_STEP)
    at = load.decision_ns.get_value_at_percentile
    return DecisionCost(
        workers,
        queued,
        load.starts,
        load.starts * 1e9 / load.spent_ns,
        at(50) / 1_000,
        at(99) / 1_000,
        (_probes(scheduler) - probes) / load.starts,
        (_resident_kb() - resident_kb) / 1_024,
    )


def scaling(starts: int = STARTS) -> list[DecisionCost]:
    """Measure the growth by workers and by queue length."""
    by_workers = [
        decision_cost(workers, BASE_QUEUE, starts=starts)
        for workers in WORKER_COUNTS
    ]
    by_queue = [
        decision_cost(BASE_WORKERS, queued, starts=starts)
        for queued in QUEUE_LENGTHS
    ]
    return by_workers + by_queue


def _catalogue() -> dict[str, CatalogueEntry]:
    return {
        f"entry-{number}": CatalogueEntry(
            f"entry-{number}", f"owner-{number}", WorkClass.BATCH
        )
        for number in range(OWNERS)
    }


def _worker(number: int) -> WorkerShape:
    rack = number // WORKERS_PER_RACK
    return WorkerShape(
        f"worker-{number}",
        f"rack-{rack}",
        f"zone-{rack // RACKS_PER_ZONE}",
        CAPACITY,
    )


def _probes(scheduler: Scheduler) -> int:
    probes = getattr(scheduler, "probes", None)
    return int(probes()) if probes is not None else 0


def _resident_kb() -> int:
    pages = int(Path("/proc/self/statm").read_text().split()[1])
    return pages * resource.getpagesize() // 1_024
