"""A scheduler that several threads may call."""

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
    """Passes calls on one at a time.

    The job manager's thread decides; listeners' threads ask for refusals
    and explanations.
    """

    def __init__(self, scheduler: Scheduler) -> None:
        self._scheduler = scheduler
        self._lock = threading.Lock()

    def set_catalogue(self, by_name: Mapping[str, CatalogueEntry]) -> None:
        """Use these catalogue entries from now on."""
        with self._lock:
            self._scheduler.set_catalogue(by_name)

    def add_worker(self, worker: WorkerShape) -> None:
        """Add a worker, or replace its capacity."""
        with self._lock:
            self._scheduler.add_worker(worker)

    def remove_worker(self, worker_id: str) -> None:
        """Forget a worker; its reservations are dropped."""
        with self._lock:
            self._scheduler.remove_worker(worker_id)

    def set_withheld(self, worker_id: str, withheld: Resources) -> None:
        """Withhold capacity that an earlier owner may have granted."""
        with self._lock:
            self._scheduler.set_withheld(worker_id, withheld)

    def adopt(
        self, task: TaskRequest, worker_id: str, reserved: Resources
    ) -> None:
        """Count a task that already runs on a worker."""
        with self._lock:
            self._scheduler.adopt(task, worker_id, reserved)

    def submit(self, tasks: tuple[TaskRequest, ...]) -> None:
        """Queue tasks; a known task id is ignored."""
        with self._lock:
            self._scheduler.submit(tasks)

    def cancel(self, job_id: str) -> tuple[str, ...]:
        """Drop a job's queued tasks; return its running task ids."""
        with self._lock:
            return self._scheduler.cancel(job_id)

    def ended(self, task_id: str, outcome: TaskOutcome, now_ms: int) -> None:
        """Free the reservation of a task that surely runs no more."""
        with self._lock:
            self._scheduler.ended(task_id, outcome, now_ms)

    def report_usage(
        self, task_id: str, usage: Resources, now_ms: int
    ) -> None:
        """Note a usage report of a running task."""
        with self._lock:
            self._scheduler.report_usage(task_id, usage, now_ms)

    def resized(self, task_id: str, reserved: Resources) -> None:
        """Note that a worker confirmed a new bound on a running task."""
        with self._lock:
            self._scheduler.resized(task_id, reserved)

    def decide(self, now_ms: int) -> Decision:
        """Return the next decision, bounded in work."""
        with self._lock:
            return self._scheduler.decide(now_ms)

    def explain(self, job_id: str, now_ms: int) -> Explanation | None:
        """Tell why a queued job waits."""
        with self._lock:
            return self._scheduler.explain(job_id, now_ms)

    def refusal(
        self, task: TaskRequest, fleet: tuple[WorkerShape, ...]
    ) -> str:
        """Tell why a task can never run on the fleet, or return ''."""
        with self._lock:
            return self._scheduler.refusal(task, fleet)

    def free(self) -> Resources:
        """Return the unreserved capacity."""
        with self._lock:
            return self._scheduler.free()

    def queued(self) -> int:
        """Return the number of waiting tasks."""
        with self._lock:
            return self._scheduler.queued()
