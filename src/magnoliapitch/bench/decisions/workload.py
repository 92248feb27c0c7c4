"""Seeded generators of traces.

The actual size and run time of a task differ from the declared ones: by
factors of 0.3 to 3 that all jobs of a catalogue entry share, and by a small
random factor for each task.
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
    from magnoliapitch.bench.decisions.deployment import BenchDeployment


FULL_WINDOW_MS = 3_600_000
ARRIVAL_STEP_MS = 50
REPORT_LAG_MS = 10_000
DECLARATION_ERROR_RANGE = (0.3, 3.0)
TASK_NOISE_SIGMA = 0.1
BULK_LOAD_SHARE = 0.95
GANG_LOAD_SHARE = 0.1
SERVICE_LOAD_SHARE = 0.15
URGENT_JOBS_PER_S = 2.0
OVERSIZED_JOB_COUNT = 4
FAILING_JOB_COUNT = 4
CANCELLED_SHARE = 0.4
DEADLINE_SHARE = 0.25


class _EntryProfile(NamedTuple):
    """Catalogue entry with the errors of its declarations.

    :param size_factor: actual divided by declared resources.
    :param run_time_factor: actual divided by declared run time.
    """

    entry: CatalogueEntry
    size_factor: float
    run_time_factor: float


class WorkloadGenerator:
    """Generates traces of a month-end peak.

    :param scale: length of the time in which jobs arrive, as a share of
        one hour.
    """

    def __init__(
        self, deployment: BenchDeployment, seed: int, scale: float
    ) -> None:
        self._deployment = deployment
        self._random = np.random.default_rng(seed)
        self._arrival_window_ms = int(FULL_WINDOW_MS * scale)
        self._job_numbers = itertools.count()
        self._bulk_profiles = (
            self._entry_profile("term-roster", "clubs", WorkClass.BATCH, 2),
            self._entry_profile(
                "fee-reconcile", "finance", WorkClass.BATCH, 1
            ),
            self._entry_profile("round-plan", "planning", WorkClass.BATCH, 1),
        )
        self._gang_profile = self._entry_profile(
            "year-model", "planning", WorkClass.GANG, 1
        )
        self._service_profile = self._entry_profile(
            "portal", "clubs", WorkClass.SERVICE, 1
        )
        self._urgent_profile = self._entry_profile(
            "gate-code", "field", WorkClass.URGENT, 1
        )

    def month_end(self) -> Trace:
        """Return a trace with jobs of all classes and wrong declarations."""
        jobs = [
            *self._service_jobs(),
            *self._urgent_jobs(),
            *self._bulk_jobs(),
            *self._gang_jobs(),
            *self._oversized_jobs(),
        ]
        jobs.sort(key=lambda job: (job.arrives_ms, job.job_id))
        return Trace(
            "month-end",
            self._deployment,
            tuple(jobs),
            self._arrival_window_ms,
            REPORT_LAG_MS,
        )

    def faults(self) -> Trace:
        """Return the month-end trace with faults.

        Some bulk jobs are cancelled, one zone is lost for a while, all tasks
        fail on two other workers, and some jobs always fail.
        """
        trace = self.month_end()
        at_ms = int(self._arrival_window_ms * 0.4)
        candidates = [
            job
            for job in trace.jobs
            if job.is_bulk and job.arrives_ms <= at_ms
        ]
        is_cancelled = self._random.random(len(candidates)) < CANCELLED_SHARE
        cancellations = tuple(
            Cancellation(at_ms, job.job_id)
            for job, cancel in zip(candidates, is_cancelled, strict=True)
            if cancel
        )
        lost_zone = self._deployment.zones[0]
        outage = Outage(
            int(self._arrival_window_ms * 0.5),
            int(self._arrival_window_ms * 0.6),
            tuple(
                worker.worker_id
                for worker in self._deployment.workers
                if worker.zone == lost_zone
            ),
        )
        surviving_worker_ids = [
            worker.worker_id
            for worker in self._deployment.workers
            if worker.zone != lost_zone
        ]
        failing_worker_ids = frozenset(
            (surviving_worker_ids[3], surviving_worker_ids[12])
        )
        return trace._replace(
            name="faults",
            jobs=tuple(
                sorted(
                    (*trace.jobs, *self._failing_jobs()),
                    key=lambda job: (job.arrives_ms, job.job_id),
                )
            ),
            cancellations=cancellations,
            outages=(outage,),
            failing_worker_ids=failing_worker_ids,
            failing_from_ms=int(self._arrival_window_ms * 0.1),
        )

    def _entry_profile(
        self, name: str, owner: str, work_class: WorkClass, share: int
    ) -> _EntryProfile:
        low, high = (
            math.log(DECLARATION_ERROR_RANGE[0]),
            math.log(DECLARATION_ERROR_RANGE[1]),
        )
        size_factor, run_time_factor = np.exp(
            self._random.uniform(low, high, 2)
        )
        entry = CatalogueEntry(
            name, owner, work_class, limits=Limits(share=share)
        )
        return _EntryProfile(entry, float(size_factor), float(run_time_factor))

    def _task(
        self, cores: float, memory_mb: float, run_ms: float
    ) -> TracedTask:
        noise = np.exp(self._random.normal(0, TASK_NOISE_SIGMA, 3))
        capacity = self._deployment.workers[0].capacity
        return TracedTask(
            Resources(
                min(int(cores * noise[0] * 1_000), capacity.cpu_millis),
                min(int(memory_mb * noise[1]), capacity.memory_mb // 2),
            ),
            max(1, int(run_ms * noise[2])),
        )

    def _job(
        self,
        profile: _EntryProfile,
        arrives_ms: float,
        shape: tuple[float, float, float],
        tasks: int,
    ) -> TracedJob:
        cores, memory_mb, run_ms = shape
        capacity = self._deployment.workers[0].capacity
        declared = Resources(
            min(int(cores * 1_000 / profile.size_factor), capacity.cpu_millis),
            min(int(memory_mb / profile.size_factor), capacity.memory_mb),
        )
        return TracedJob(
            f"{profile.entry.name}-{next(self._job_numbers)}",
            profile.entry,
            int(arrives_ms) // ARRIVAL_STEP_MS * ARRIVAL_STEP_MS,
            declared,
            max(1, int(run_ms / profile.run_time_factor)),
            tuple(self._task(*shape) for _ in range(tasks)),
        )

    def _service_jobs(self) -> list[TracedJob]:
        cores = self._deployment.capacity.cpu_millis / 1_000
        count = max(1, int(cores * SERVICE_LOAD_SHARE / 2 / 3))
        shape = (
            2.0,
            float(self._deployment.memory_per_core_mb),
            10.0 * FULL_WINDOW_MS,
        )
        return [
            self._job(
                self._service_profile,
                self._random.uniform(0, self._arrival_window_ms * 0.3),
                shape,
                3,
            )
            for _ in range(count)
        ]

    def _urgent_jobs(self) -> list[TracedJob]:
        count = int(self._arrival_window_ms / 1_000 * URGENT_JOBS_PER_S)
        return [
            self._job(
                self._urgent_profile,
                self._random.uniform(0, self._arrival_window_ms),
                (
                    self._random.choice((0.5, 1.0)),
                    self._deployment.memory_per_core_mb / 4,
                    self._random.uniform(1_000, 5_000),
                ),
                1,
            )
            for _ in range(count)
        ]

    def _random_bulk_shape(self) -> tuple[float, float, float]:
        sizes = [
            size
            for size in (1, 2, 4, 8)
            if size <= self._deployment.max_task_cores
        ]
        cores = float(self._random.choice(sizes))
        memory_mb = (
            cores
            * self._deployment.memory_per_core_mb
            * self._random.uniform(0.2, 0.9)
        )
        run_ms = 60_000 * math.exp(self._random.normal(0, 0.8))
        return cores, memory_mb, min(max(run_ms, 10_000.0), 600_000.0)

    def _bulk_jobs(self) -> list[TracedJob]:
        remaining_core_ms = self._core_ms_of_share(BULK_LOAD_SHARE)
        jobs = []
        while remaining_core_ms > 0:
            profile = self._bulk_profiles[
                int(self._random.integers(len(self._bulk_profiles)))
            ]
            shape = self._random_bulk_shape()
            tasks = int(self._random.integers(1, 9))
            job = self._job(profile, self._arrival_ms(), shape, tasks)
            if self._random.random() < DEADLINE_SHARE:
                time_to_deadline_ms = shape[2] * self._random.uniform(4, 10)
                deadline_ms = (
                    job.arrives_ms + int(time_to_deadline_ms) + 60_000
                )
                job = job._replace(deadline_ms=deadline_ms)
            jobs.append(job)
            remaining_core_ms -= shape[0] * shape[2] * tasks
        return jobs

    def _gang_jobs(self) -> list[TracedJob]:
        remaining_core_ms = self._core_ms_of_share(GANG_LOAD_SHARE)
        jobs = []
        while remaining_core_ms > 0:
            tasks = int(self._random.integers(4, 13))
            cores, memory_mb, run_ms = self._random_bulk_shape()
            job = self._job(
                self._gang_profile,
                self._arrival_ms(),
                (cores, memory_mb, run_ms),
                tasks,
            )
            jobs.append(job._replace(is_gang=True))
            remaining_core_ms -= cores * run_ms * tasks
        return jobs

    def _oversized_jobs(self) -> list[TracedJob]:
        largest_cpu_millis = max(
            worker.capacity.cpu_millis for worker in self._deployment.workers
        )
        jobs = []
        for number in range(OVERSIZED_JOB_COUNT):
            job = self._job(
                self._bulk_profiles[0],
                self._arrival_window_ms * (0.1 + 0.1 * number),
                self._random_bulk_shape(),
                2,
            )
            declared = job.declared_resources._replace(
                cpu_millis=largest_cpu_millis + 1_000
            )
            jobs.append(job._replace(declared_resources=declared))
        return jobs

    def _failing_jobs(self) -> list[TracedJob]:
        return [
            self._job(
                self._bulk_profiles[number % len(self._bulk_profiles)],
                self._arrival_window_ms * (0.1 + 0.1 * number),
                self._random_bulk_shape(),
                4,
            )._replace(always_fails=True)
            for number in range(FAILING_JOB_COUNT)
        ]

    def _core_ms_of_share(self, share: float) -> float:
        cores = self._deployment.capacity.cpu_millis / 1_000
        return cores * self._arrival_window_ms * share

    def _arrival_ms(self) -> float:
        if self._random.random() < 0.6:
            return float(
                self._random.uniform(0, self._arrival_window_ms * 0.2)
            )
        return float(self._random.uniform(0, self._arrival_window_ms * 0.8))


def make_traces(
    deployments: tuple[BenchDeployment, ...], seed: int, scale: float
) -> tuple[Trace, ...]:
    """Return the traces with and without faults of each deployment.

    :param scale: length of the time in which jobs arrive, as a share of one
        hour.
    """
    traces = []
    for deployment in deployments:
        traces.append(WorkloadGenerator(deployment, seed, scale).month_end())
        traces.append(WorkloadGenerator(deployment, seed, scale).faults())
    return tuple(traces)
