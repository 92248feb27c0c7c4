"""Tells workers that fail everything from jobs that fail everywhere.

A failure counts against the worker unless the job has also failed on
other workers, and against the job unless the worker is suspect. A worker is
quarantined when several owners, or several entries of one owner, failed on
it since its last success.
"""

from __future__ import annotations

from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from magnoliapitch.decision.worker_state import RunningTask
    from magnoliapitch.decision.interface import WorkerShape


MIN_FAILURES = 3
MIN_OWNERS = 2
MIN_JOBS = 4
BROKEN_JOB_WORKERS = 3
MAX_QUARANTINED_SHARE = 0.25
PROBE_INTERVAL_MS = 30_000
MAX_PROBE_INTERVAL_MS = 600_000


class WorkerHealth:
    """Evidence about one worker since its last success.

    :ivar quarantined: whether it gets probes only.
    :ivar next_probe_ms: when one task may be tried on it.
    :ivar probing: the task that is tried on it, or empty.
    """

    __slots__ = (
        "failures",
        "interval_ms",
        "jobs",
        "next_probe_ms",
        "owners",
        "probing",
        "quarantined",
        "shape",
    )

    def __init__(self, shape: WorkerShape) -> None:
        self.shape = shape
        self.failures = 0
        self.jobs: set[str] = set()
        self.owners: set[str] = set()
        self.quarantined = False
        self.interval_ms = PROBE_INTERVAL_MS
        self.next_probe_ms = 0
        self.probing = ""

    @property
    def is_suspect(self) -> bool:
        """Whether the evidence is enough for a quarantine."""
        if self.failures < MIN_FAILURES:
            return False
        return len(self.owners) >= MIN_OWNERS or len(self.jobs) >= MIN_JOBS

    def forget(self) -> None:
        """Drop the evidence."""
        self.failures = 0
        self.jobs.clear()
        self.owners.clear()


class HealthBook:
    """Evidence about all workers and jobs.

    :param acts: whether workers are quarantined at all.
    """

    def __init__(self, acts: bool) -> None:
        self._acts = acts
        self._health_by_worker: dict[str, WorkerHealth] = {}
        self._workers_by_zone: dict[str, int] = {}
        self._quarantined_by_zone: dict[str, int] = {}
        self._failed_workers_by_job: dict[str, set[str]] = {}

    def add(self, shape: WorkerShape) -> None:
        """Count a worker."""
        self._health_by_worker[shape.worker_id] = WorkerHealth(shape)
        count = self._workers_by_zone.get(shape.zone, 0)
        self._workers_by_zone[shape.zone] = count + 1

    def remove(self, worker_id: str) -> None:
        """Forget a worker."""
        health = self._health_by_worker.pop(worker_id, None)
        if health is None:
            return
        zone = health.shape.zone
        self._workers_by_zone[zone] -= 1
        if health.quarantined:
            self._quarantined_by_zone[zone] -= 1

    def succeeded(self, task: RunningTask) -> bool:
        """Count a success; return whether it ends a quarantine."""
        self._failed_workers_by_job.pop(task.request.job_id, None)
        health = self._health_by_worker.get(task.worker.shape.worker_id)
        if health is None:
            return False
        health.forget()
        if health.probing == task.request.task_id:
            health.probing = ""
        if not health.quarantined:
            return False
        health.quarantined = False
        health.interval_ms = PROBE_INTERVAL_MS
        self._quarantined_by_zone[health.shape.zone] -= 1
        return True

    def failed(self, task: RunningTask, now_ms: int) -> bool:
        """Count a failure; return whether it begins a quarantine."""
        worker_id = task.worker.shape.worker_id
        health = self._health_by_worker.get(worker_id)
        if health is None:
            return False
        elsewhere = self._count_job(task, health)
        if health.probing == task.request.task_id:
            self._probe_failed(health, now_ms)
        if elsewhere < BROKEN_JOB_WORKERS - 1:
            health.failures += 1
            health.jobs.add(task.request.job_id)
            health.owners.add(task.request.owner)
        if health.quarantined or not self._may_quarantine(health):
            return False
        health.quarantined = True
        health.next_probe_ms = now_ms + health.interval_ms
        zone = health.shape.zone
        count = self._quarantined_by_zone.get(zone, 0)
        self._quarantined_by_zone[zone] = count + 1
        return True

    def lost(self, task: RunningTask) -> None:
        """End a probe without evidence."""
        health = self._health_by_worker.get(task.worker.shape.worker_id)
        if health is not None and health.probing == task.request.task_id:
            health.probing = ""

    def fails_everywhere(self, job_id: str) -> bool:
        """Return whether a job failed on several workers and never else."""
        workers = self._failed_workers_by_job.get(job_id, ())
        return len(workers) >= BROKEN_JOB_WORKERS

    def forget_job(self, job_id: str) -> None:
        """Drop the evidence about a job."""
        self._failed_workers_by_job.pop(job_id, None)

    def due_probe(self, now_ms: int) -> str:
        """Return a quarantined worker that may be probed, or ''."""
        for worker_id, health in self._health_by_worker.items():
            if (
                health.quarantined
                and not health.probing
                and now_ms >= health.next_probe_ms
            ):
                return worker_id
        return ""

    def probe(self, worker_id: str, task_id: str) -> None:
        """Note the task that is tried on a quarantined worker."""
        self._health_by_worker[worker_id].probing = task_id

    def quarantined(self) -> tuple[str, ...]:
        """Return the quarantined workers."""
        return tuple(
            worker_id
            for worker_id, health in self._health_by_worker.items()
            if health.quarantined
        )

    def any_quarantined(self) -> bool:
        """Return whether any worker is quarantined."""
        return any(self._quarantined_by_zone.values())

    def _count_job(self, task: RunningTask, health: WorkerHealth) -> int:
        """Return on how many other workers the job has failed."""
        worker_id = task.worker.shape.worker_id
        job_id = task.request.job_id
        workers = self._failed_workers_by_job.setdefault(job_id, set())
        elsewhere = len(workers - {worker_id})
        if not health.quarantined:
            workers.add(worker_id)
        return elsewhere

    def _probe_failed(self, health: WorkerHealth, now_ms: int) -> None:
        health.probing = ""
        health.interval_ms = min(MAX_PROBE_INTERVAL_MS, health.interval_ms * 2)
        health.next_probe_ms = now_ms + health.interval_ms

    def _may_quarantine(self, health: WorkerHealth) -> bool:
        if not self._acts or not health.is_suspect:
            return False
        zone = health.shape.zone
        allowed = max(1, self._workers_by_zone[zone] * MAX_QUARANTINED_SHARE)
        return self._quarantined_by_zone.get(zone, 0) + 1 <= allowed
