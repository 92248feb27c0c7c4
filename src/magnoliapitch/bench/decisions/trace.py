"""Traces: work with its true sizes, and faults, in order of time."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

from magnoliapitch.bench.decisions.deployment import BenchFleet
from magnoliapitch.catalogue.entry import CatalogueEntry
from magnoliapitch.catalogue.entry import WorkClass
from magnoliapitch.resource import Resources


if TYPE_CHECKING:
    from collections.abc import Iterator


class TracedTask(NamedTuple):
    """True behaviour of one task.

    :param usage: what it uses when nothing holds it back.
    :param run_ms: run time when nothing holds it back.
    """

    usage: Resources
    run_ms: int


class TracedJob(NamedTuple):
    """A job of a trace.

    :param declared: declared size of each task.
    :param declared_run_ms: declared run time of each task.
    :param deadline_ms: wanted completion, absolute; 0 for none.
    :param always_fails: whether every attempt fails.
    """

    job_id: str
    entry: CatalogueEntry
    arrives_ms: int
    declared: Resources
    declared_run_ms: int
    tasks: tuple[TracedTask, ...]
    deadline_ms: int = 0
    is_gang: bool = False
    always_fails: bool = False

    @property
    def is_bulk(self) -> bool:
        """Whether it counts for packing."""
        return self.entry.work_class in (WorkClass.BATCH, WorkClass.GANG)


class Cancellation(NamedTuple):
    """Cancels a job unless it has ended."""

    at_ms: int
    job_id: str


class Outage(NamedTuple):
    """Workers that are lost and come back."""

    from_ms: int
    until_ms: int
    worker_ids: tuple[str, ...]


class Trace(NamedTuple):
    """Everything that happens to a policy in one run.

    :param arrivals_ms: duration in which jobs arrive.
    :param report_lag_ms: delay of the usage reports.
    :param failing: workers on which every task fails.
    :param failing_from_ms: when they begin to fail.
    """

    name: str
    fleet: BenchFleet
    jobs: tuple[TracedJob, ...]
    arrivals_ms: int
    report_lag_ms: int
    cancellations: tuple[Cancellation, ...] = ()
    outages: tuple[Outage, ...] = ()
    failing: frozenset[str] = frozenset()
    failing_from_ms: int = 0

    def catalogue(self) -> dict[str, CatalogueEntry]:
        """Return the catalogue entries of all jobs."""
        return {job.entry.name: job.entry for job in self.jobs}

    def peak_ms(self) -> tuple[int, int]:
        """Return the interval in which bulk work always waits."""
        return self.arrivals_ms // 5, self.arrivals_ms * 4 // 5

    def runnable(self) -> Iterator[TracedJob]:
        """Iterate over the jobs that can finish."""
        for job in self.jobs:
            fits = any(
                job.declared.fits(worker.capacity)
                for worker in self.fleet.workers
            )
            if fits and not job.always_fails:
                yield job
