"""Seeded generators of traces.

Declared sizes are off by a factor of 0.3 to 3 that belongs to the catalogue
entry, and by a little more for each task.
"""

from __future__ import annotations

import itertools
import math

from typing import TYPE_CHECKING
from typing import NamedTuple

import numpy as np

from magnoliapitch.bench.decisions.trace import Cancellation
from magnoliapitch.bench.decisions.trace import Outage
from magnoliapitch.bench.decisions.trace import Trace
from magnoliapitch.bench.decisions.trace import TracedJob
from magnoliapitch.bench.decisions.trace import TracedTask
from magnoliapitch.catalogue.entry import CatalogueEntry
from magnoliapitch.catalogue.entry import Limits
from magnoliapitch.catalogue.entry import WorkClass
from magnoliapitch.resource import Resources


if TYPE_CHECKING:
    from magnoliapitch.bench.decisions.deployment import BenchFleet


PEAK_MS = 3_600_000
STEP_MS = 50
REPORT_LAG_MS = 10_000
FACTORS = (0.3, 3.0)
NOISE_SIGMA = 0.1
BULK_LOAD = 0.95
GANG_LOAD = 0.1
SERVICE_LOAD = 0.15
URGENT_PER_SECOND = 2.0
IMPOSSIBLE_JOBS = 4
FAILING_JOBS = 4
CANCELLED_SHARE = 0.4
DEADLINE_SHARE = 0.25


class _Kind(NamedTuple):
    entry: CatalogueEntry
    size_factor: float
    run_factor: float


class WorkloadGenerator:
    """Builds the trace of a month-end peak.

    :param scale: duration, as a share of one hour.
    """

    def __init__(self, fleet: BenchFleet, seed: int, scale: float) -> None:
        self._fleet = fleet
        self._random = np.random.default_rng(seed)
        self._arrivals_ms = int(PEAK_MS * scale)
        self._numbers = itertools.count()
        self._bulk = (
            self._kind("term-roster", "clubs", WorkClass.BATCH, 2),
            self._kind("fee-reconcile", "finance", WorkClass.BATCH, 1),
            self._kind("round-plan", "planning", WorkClass.BATCH, 1),
        )
        self._gang = self._kind("year-model", "planning", WorkClass.GANG, 1)
        self._service = self._kind("portal", "clubs", WorkClass.SERVICE, 1)
        self._urgent = self._kind("gate-code", "field", WorkClass.URGENT, 1)

    def month_end(self) -> Trace:
        """Return a peak of all classes with wrong sizes."""
        jobs = [
            *self._services(),
            *self._urgents(),
            *self._bulk_jobs(),
            *self._gangs(),
            *self._impossible(),
        ]
        jobs.sort(key=lambda job: (job.arrives_ms, job.job_id))
        return Trace(
            "month-end",
            self._fleet,
            tuple(jobs),
            self._arrivals_ms,
            REPORT_LAG_MS,
        )

    def faults(self) -> Trace:
        """Return the peak with cancellations and failing workers."""
        trace = self.month_end()
        at_ms = int(self._arrivals_ms * 0.4)
        early = [
            job
            for job in trace.jobs
            if job.is_bulk and job.arrives_ms <= at_ms
        ]
        chosen = self._random.random(len(early)) < CANCELLED_SHARE
        cancellations = tuple(
            Cancellation(at_ms, job.job_id)
            for job, cancel in zip(early, chosen, strict=True)
            if cancel
        )
        lost_zone = self._fleet.zones[0]
        lost = Outage(
            int(self._arrivals_ms * 0.5),
            int(self._arrivals_ms * 0.6),
            tuple(
                worker.worker_id
                for worker in self._fleet.workers
                if worker.zone == lost_zone
            ),
        )
        others = [
            worker.worker_id
            for worker in self._fleet.workers
            if worker.zone != lost_zone
        ]
        failing = frozenset((others[3], others[12]))
        return trace._replace(
            name="faults",
            jobs=tuple(
                sorted(
                    (*trace.jobs, *self._failing()),
                    key=lambda job: (job.arrives_ms, job.job_id),
                )
            ),
            cancellations=cancellations,
            outages=(lost,),
            failing=failing,
            failing_from_ms=int(self._arrivals_ms * 0.1),
        )

    def _kind(
        self, name: str, owner: str, work_class: WorkClass, share: int
    ) -> _Kind:
        low, high = math.log(FACTORS[0]), math.log(FACTORS[1])
        size, run = np.exp(self._random.uniform(low, high, 2))
        entry = CatalogueEntry(
            name, owner, work_class, limits=Limits(share=share)
        )
        return _Kind(entry, float(size), float(run))

    def _task(
        self, cores: float, memory_mb: float, run_ms: float
    ) -> TracedTask:
        noise = np.exp(self._random.normal(0, NOISE_SIGMA, 3))
        capacity = self._fleet.workers[0].capacity
        return TracedTask(
            Resources(
                min(int(cores * noise[0] * 1_000), capacity.cpu_millis),
                min(int(memory_mb * noise[1]), capacity.memory_mb // 2),
            ),
            max(1, int(run_ms * noise[2])),
        )

    def _job(
        self,
        kind: _Kind,
        arrives_ms: float,
        shape: tuple[float, float, float],
        tasks: int,
    ) -> TracedJob:
        cores, memory_mb, run_ms = shape
        capacity = self._fleet.workers[0].capacity
        declared = Resources(
            min(int(cores * 1_000 / kind.size_factor), capacity.cpu_millis),
            min(int(memory_mb / kind.size_factor), capacity.memory_mb),
        )
        return TracedJob(
            f"{kind.entry.name}-{next(self._numbers)}",
            kind.entry,
            int(arrives_ms) // STEP_MS * STEP_MS,
            declared,
            max(1, int(run_ms / kind.run_factor)),
            tuple(self._task(*shape) for _ in range(tasks)),
        )

    def _services(self) -> list[TracedJob]:
        cores = self._fleet.capacity.cpu_millis / 1_000
        count = max(1, int(cores * SERVICE_LOAD / 2 / 3))
        shape = (2.0, float(self._fleet.memory_per_core_mb), 10.0 * PEAK_MS)
        return [
            self._job(
                self._service,
                self._random.uniform(0, self._arrivals_ms * 0.3),
                shape,
                3,
            )
            for _ in range(count)
        ]

    def _urgents(self) -> list[TracedJob]:
        count = int(self._arrivals_ms / 1_000 * URGENT_PER_SECOND)
        return [
            self._job(
                self._urgent,
                self._random.uniform(0, self._arrivals_ms),
                (
                    self._random.choice((0.5, 1.0)),
                    self._fleet.memory_per_core_mb / 4,
                    self._random.uniform(1_000, 5_000),
                ),
                1,
            )
            for _ in range(count)
        ]

    def _bulk_shape(self) -> tuple[float, float, float]:
        sizes = [
            size for size in (1, 2, 4, 8) if size <= self._fleet.core_limit
        ]
        cores = float(self._random.choice(sizes))
        memory_mb = (
            cores
            * self._fleet.memory_per_core_mb
            * self._random.uniform(0.2, 0.9)
        )
        run_ms = 60_000 * math.exp(self._random.normal(0, 0.8))
        return cores, memory_mb, min(max(run_ms, 10_000.0), 600_000.0)

    def _bulk_jobs(self) -> list[TracedJob]:
        volume = self._volume(BULK_LOAD)
        jobs = []
        while volume > 0:
            kind = self._bulk[int(self._random.integers(len(self._bulk)))]
            shape = self._bulk_shape()
            tasks = int(self._random.integers(1, 9))
            job = self._job(kind, self._surge_ms(), shape, tasks)
            if self._random.random() < DEADLINE_SHARE:
                patience = shape[2] * self._random.uniform(4, 10)
                deadline_ms = job.arrives_ms + int(patience) + 60_000
                job = job._replace(deadline_ms=deadline_ms)
            jobs.append(job)
            volume -= shape[0] * shape[2] * tasks
        return jobs

    def _gangs(self) -> list[TracedJob]:
        volume = self._volume(GANG_LOAD)
        jobs = []
        while volume > 0:
            tasks = int(self._random.integers(4, 13))
            cores, memory_mb, run_ms = self._bulk_shape()
            job = self._job(
                self._gang, self._surge_ms(), (cores, memory_mb, run_ms), tasks
            )
            jobs.append(job._replace(is_gang=True))
            volume -= cores * run_ms * tasks
        return jobs

    def _impossible(self) -> list[TracedJob]:
        largest = max(
            worker.capacity.cpu_millis for worker in self._fleet.workers
        )
        jobs = []
        for number in range(IMPOSSIBLE_JOBS):
            job = self._job(
                self._bulk[0],
                self._arrivals_ms * (0.1 + 0.1 * number),
                self._bulk_shape(),
                2,
            )
            declared = job.declared._replace(cpu_millis=largest + 1_000)
            jobs.append(job._replace(declared=declared))
        return jobs

    def _failing(self) -> list[TracedJob]:
        return [
            self._job(
                self._bulk[number % len(self._bulk)],
                self._arrivals_ms * (0.1 + 0.1 * number),
                self._bulk_shape(),
                4,
            )._replace(always_fails=True)
            for number in range(FAILING_JOBS)
        ]

    def _volume(self, load: float) -> float:
        cores = self._fleet.capacity.cpu_millis / 1_000
        return cores * self._arrivals_ms * load

    def _surge_ms(self) -> float:
        if self._random.random() < 0.6:
            return float(self._random.uniform(0, self._arrivals_ms * 0.2))
        return float(self._random.uniform(0, self._arrivals_ms * 0.8))


def make_traces(
    fleets: tuple[BenchFleet, ...], seed: int, scale: float
) -> tuple[Trace, ...]:
    """Return all traces of the deployments."""
    traces = []
    for fleet in fleets:
        traces.append(WorkloadGenerator(fleet, seed, scale).month_end())
        traces.append(WorkloadGenerator(fleet, seed, scale).faults())
    return tuple(traces)
