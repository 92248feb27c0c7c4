"""Thread-safe wrapper of a scheduler."""

from __future__ import annotations

import threading

from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from collections.abc import Mapping

    from magnoliapitch.catalogue.entry import CatalogueEntry
    from magnoliapitch.decision.interface import Decision
    from magnoliapitch.decision.interface import Explanation
    from magnoliapitch.decision.interface import Scheduler
    from magnoliapitch.decision.interface import TaskRequest
    from magnoliapitch.decision.interface import WorkerShape
    from magnoliapitch.job.spec import TaskOutcome
    from magnoliapitch.resource import Resources


class SynchronizedScheduler:
    """Scheduler that serializes all calls with a lock.

    The job manager's thread asks for decisions, while the threads of the
    HTTP listeners ask for explanations and whether a task can ever run.
    """

    def __init__(self, scheduler: Scheduler) -> None:
        self._scheduler = scheduler
        self._lock = threading.Lock()

    def set_catalogue(self, by_name: Mapping[str, CatalogueEntry]) -> None:
        """Replace the catalogue."""
        with self._lock:
            self._scheduler.set_catalogue(by_name)

    def add_worker(self, worker: WorkerShape) -> None:
        """Add a worker, or update its capacity if it is known."""
        with self._lock:
            self._scheduler.add_worker(worker)

    def remove_worker(self, worker_id: str) -> None:
        """Remove a worker and the reservations of its tasks."""
        with self._lock:
            self._scheduler.remove_worker(worker_id)

    def set_withheld(self, worker_id: str, withheld: Resources) -> None:
        """Set the capacity of a worker that must not be used."""
        with self._lock:
            self._scheduler.set_withheld(worker_id, withheld)

    def adopt(
        self, task: TaskRequest, worker_id: str, reserved: Resources
    ) -> None:
        """Add a task that is already running."""
        with self._lock:
            self._scheduler.adopt(task, worker_id, reserved)

    def submit(self, tasks: tuple[TaskRequest, ...]) -> None:
        """Add tasks to the queue; ignore those whose id is known."""
        with self._lock:
            self._scheduler.submit(tasks)

    def cancel(self, job_id: str) -> tuple[str, ...]:
        """Remove the queued tasks of a job; return its running attempt ids."""
        with self._lock:
            return self._scheduler.cancel(job_id)

    def record_task_end(
        self, attempt_id: str, outcome: TaskOutcome, now_ms: int
    ) -> None:
        """Release the resources of a task that is certain to have ended."""
        with self._lock:
            self._scheduler.record_task_end(attempt_id, outcome, now_ms)

    def report_usage(
        self, attempt_id: str, usage: Resources, now_ms: int
    ) -> None:
        """Record the resource usage that a running task reported."""
        with self._lock:
            self._scheduler.report_usage(attempt_id, usage, now_ms)

    def record_resize(self, attempt_id: str, reserved: Resources) -> None:
        """Record that a worker confirmed the new size of a running task."""
        with self._lock:
            self._scheduler.record_resize(attempt_id, reserved)

    def decide(self, now_ms: int) -> Decision:
        """Return what to start and evict now; each call does bounded work."""
        with self._lock:
            return self._scheduler.decide(now_ms)

    def explain(self, job_id: str, now_ms: int) -> Explanation | None:
        """Return why a job waits, or ``None`` if none of its tasks do."""
        with self._lock:
            return self._scheduler.explain(job_id, now_ms)

    def infeasibility_reason(
        self, task: TaskRequest, workers: tuple[WorkerShape, ...]
    ) -> str:
        """Return why a task can never run on these workers, or ''."""
        with self._lock:
            return self._scheduler.infeasibility_reason(task, workers)

    def free_capacity(self) -> Resources:
        """Return the capacity that is neither reserved nor withheld."""
        with self._lock:
            return self._scheduler.free_capacity()

    def queued_count(self) -> int:
        """Return the number of queued tasks."""
        with self._lock:
            return self._scheduler.queued_count()
