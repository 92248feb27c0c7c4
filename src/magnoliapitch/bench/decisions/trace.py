"""Traces: jobs with their actual behaviour, and faults."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

from magnoliapitch.bench.decisions.deployment import BenchDeployment
from magnoliapitch.catalogue.entry import CatalogueEntry
from magnoliapitch.catalogue.entry import WorkClass
from magnoliapitch.resource import Resources


if TYPE_CHECKING:
    from collections.abc import Iterator


HORIZON_ARRIVAL_WINDOWS = 4


class TracedTask(NamedTuple):
    """Actual behaviour of one task, which the scheduler isn't told.

    :param actual_usage: resources that the task uses at full speed.
    :param run_ms: run time at full speed.
    """

    actual_usage: Resources
    run_ms: int


class TracedJob(NamedTuple):
    """A job of a trace.

    :param entry: catalogue entry of the job.
    :param arrives_ms: time of the submission.
    :param declared_resources: resources declared for each task.
    :param declared_run_ms: run time declared for each task.
    :param tasks: actual behaviour of each task.
    :param deadline_ms: time by which the job should end; 0 for none.
    :param is_gang: whether the tasks have to start together.
    :param always_fails: whether every attempt fails.
    """

    job_id: str
    entry: CatalogueEntry
    arrives_ms: int
    declared_resources: Resources
    declared_run_ms: int
    tasks: tuple[TracedTask, ...]
    deadline_ms: int = 0
    is_gang: bool = False
    always_fails: bool = False

    @property
    def is_bulk(self) -> bool:
        """Whether it is a batch or gang job, which the packing counts."""
        return self.entry.work_class in (WorkClass.BATCH, WorkClass.GANG)


class Cancellation(NamedTuple):
    """Cancellation of a job, without effect if it has ended."""

    at_ms: int
    job_id: str


class Outage(NamedTuple):
    """Workers that are lost with their tasks and return empty."""

    from_ms: int
    until_ms: int
    worker_ids: tuple[str, ...]


class Trace(NamedTuple):
    """Everything that happens during one replay.

    All times are simulated and count from the beginning of the trace.

    :param arrival_window_ms: length of the time in which jobs arrive.
    :param report_lag_ms: time from the start of an attempt to the first
        report of its resource usage.
    :param failing_worker_ids: workers on which every task fails that starts
        at ``failing_from_ms`` or later.
    """

    name: str
    deployment: BenchDeployment
    jobs: tuple[TracedJob, ...]
    arrival_window_ms: int
    report_lag_ms: int
    cancellations: tuple[Cancellation, ...] = ()
    outages: tuple[Outage, ...] = ()
    failing_worker_ids: frozenset[str] = frozenset()
    failing_from_ms: int = 0

    def catalogue(self) -> dict[str, CatalogueEntry]:
        """Return the catalogue entries of all jobs by name."""
        return {job.entry.name: job.entry for job in self.jobs}

    @property
    def horizon_ms(self) -> int:
        """Time at which a replay and its offline bound end at the latest."""
        return self.arrival_window_ms * HORIZON_ARRIVAL_WINDOWS

    def peak_interval_ms(self) -> tuple[int, int]:
        """Return start and end of the interval in which bulk work waits.

        Packing and fairness are measured in it, since there is always bulk
        work to place.
        """
        return self.arrival_window_ms // 5, self.arrival_window_ms * 4 // 5

    def runnable_jobs(self) -> Iterator[TracedJob]:
        """Iterate over the jobs that fit a worker and can finish."""
        for job in self.jobs:
            fits_a_worker = any(
                job.declared_resources.fits(worker.capacity)
                for worker in self.deployment.workers
            )
            if fits_a_worker and not job.always_fails:
                yield job
