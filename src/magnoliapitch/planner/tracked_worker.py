"""Workers as the scheduler tracks them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from magnoliapitch.resource import NO_RESOURCES


if TYPE_CHECKING:
    from magnoliapitch.planner.tracked import TrackedRun
    from magnoliapitch.planner.tracked_job import TrackedJob
    from magnoliapitch.workload.worker import WorkerInfo


class TrackedWorker:
    """A worker and the runs that may be active on it.

    :ivar info: newest entry in the platform's list; None before the first.
    :ivar address: its address, which a former leader may have stored; or "".
    :ivar is_usable: whether it is listed, answered lately and is not avoided
        after failures.
    :ivar silent_since_ms: when it answered last, if its runs wait for the end
        of its leases; None otherwise.
    :ivar free: capacity that no run in ``runs`` reserves.
    :ivar runs_lost_at_ms: when its runs are given up unless it answers
        before, for a worker that does not answer; None for one that does.
    :ivar unknown_run_count: number of runs in the worker's newest report that
        are not in ``runs``. They use capacity too, but how much is not known.
    """

    __slots__ = (
        "address",
        "free",
        "info",
        "is_usable",
        "runs",
        "runs_lost_at_ms",
        "silent_since_ms",
        "unknown_run_count",
        "worker_id",
    )

    def __init__(self, worker_id: str) -> None:
        self.worker_id = worker_id
        self.info: WorkerInfo | None = None
        self.address = ""
        self.is_usable = False
        self.silent_since_ms: int | None = None
        self.free = NO_RESOURCES
        self.runs: list[TrackedRun] = []
        self.runs_lost_at_ms: int | None = None
        self.unknown_run_count = 0

    @property
    def is_leaving(self) -> bool:
        """Return whether the worker has said that it leaves."""
        return self.info is not None and self.info.is_draining

    @property
    def takes_new_runs(self) -> bool:
        """Return whether new runs may be placed on the worker."""
        return (
            self.is_usable
            and self.info is not None
            and not self.is_leaving
            and not self.unknown_run_count
        )

    def runs_only(self, job: TrackedJob) -> bool:
        """Return whether no run of another job may be active here."""
        return not self.unknown_run_count and all(
            run.task.step.job is job for run in self.runs
        )

    def update(self, info: WorkerInfo) -> None:
        """Update the worker from the platform's list."""
        self.info = info
        self.address = info.address
        used = NO_RESOURCES
        for run in self.runs:
            used = used.plus(run.resources)
        self.free = info.capacity.minus(used)

    def add(self, run: TrackedRun) -> None:
        """Add a run and reserve its capacity."""
        self.runs.append(run)
        if self.info is not None:
            run.worker_rack = self.info.rack
            run.worker_zone = self.info.zone
        self.free = self.free.minus(run.resources)

    def remove(self, run: TrackedRun) -> None:
        """Remove a run and free its capacity."""
        self.runs.remove(run)
        self.free = self.free.plus(run.resources)


__all__ = ["TrackedWorker"]
