"""Detection of workers on which all tasks fail.

A failure counts against the worker, unless the job has already failed on
several other workers. It also counts against the job, unless the worker is
in quarantine. A worker is quarantined when tasks of several owners, or of
several jobs, have failed on it since its last success.
"""

from __future__ import annotations

from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from magnoliapitch.decision.interface import WorkerShape
    from magnoliapitch.decision.worker_state import RunningTask


QUARANTINE_MIN_FAILURES = 3
QUARANTINE_MIN_OWNERS = 2
QUARANTINE_MIN_JOBS = 4
BROKEN_JOB_MIN_WORKERS = 3
MAX_QUARANTINED_SHARE = 0.25
PROBE_INTERVAL_MS = 30_000
MAX_PROBE_INTERVAL_MS = 600_000


class WorkerHealth:
    """Failures on one worker since its last success.

    :ivar failures: number of failures that count against the worker.
    :ivar failed_jobs: jobs with such failures.
    :ivar failed_owners: owners of these jobs.
    :ivar is_quarantined: whether only probes may run on it.
    :ivar probe_interval_ms: wait before the next probe; doubles with each
        failed probe.
    :ivar next_probe_ms: when the next probe may start. A probe is one task
        that is tried on a quarantined worker.
    :ivar probe_attempt_id: id of the running probe, or empty.
    """

    __slots__ = (
        "failed_jobs",
        "failed_owners",
        "failures",
        "is_quarantined",
        "next_probe_ms",
        "probe_attempt_id",
        "probe_interval_ms",
        "shape",
    )

    def __init__(self, shape: WorkerShape) -> None:
        self.shape = shape
        self.failures = 0
        self.failed_jobs: set[str] = set()
        self.failed_owners: set[str] = set()
        self.is_quarantined = False
        self.probe_interval_ms = PROBE_INTERVAL_MS
        self.next_probe_ms = 0
        self.probe_attempt_id = ""

    @property
    def has_quarantine_evidence(self) -> bool:
        """Whether there are enough failures for a quarantine."""
        if self.failures < QUARANTINE_MIN_FAILURES:
            return False
        return (
            len(self.failed_owners) >= QUARANTINE_MIN_OWNERS
            or len(self.failed_jobs) >= QUARANTINE_MIN_JOBS
        )

    def clear_failures(self) -> None:
        """Clear the recorded failures."""
        self.failures = 0
        self.failed_jobs.clear()
        self.failed_owners.clear()


class WorkerHealthTracker:
    """Failures by worker and by job, and the quarantined workers.

    :param is_enabled: whether workers are quarantined at all.
    """

    def __init__(self, is_enabled: bool) -> None:
        self._is_enabled = is_enabled
        self._health_by_worker: dict[str, WorkerHealth] = {}
        self._worker_count_by_zone: dict[str, int] = {}
        self._quarantined_count_by_zone: dict[str, int] = {}
        self._failed_workers_by_job: dict[str, set[str]] = {}

    def add(self, shape: WorkerShape) -> None:
        """Add a worker without failures."""
        self._health_by_worker[shape.worker_id] = WorkerHealth(shape)
        count = self._worker_count_by_zone.get(shape.zone, 0)
        self._worker_count_by_zone[shape.zone] = count + 1

    def remove(self, worker_id: str) -> None:
        """Remove a worker."""
        health = self._health_by_worker.pop(worker_id, None)
        if health is None:
            return
        zone = health.shape.zone
        self._worker_count_by_zone[zone] -= 1
        if health.is_quarantined:
            self._quarantined_count_by_zone[zone] -= 1

    def record_success(self, task: RunningTask) -> bool:
        """Record the success of a task; return whether a quarantine ends."""
        self._failed_workers_by_job.pop(task.request.job_id, None)
        health = self._health_by_worker.get(task.worker.shape.worker_id)
        if health is None:
            return False
        health.clear_failures()
        if health.probe_attempt_id == task.request.attempt_id:
            health.probe_attempt_id = ""
        if not health.is_quarantined:
            return False
        health.is_quarantined = False
        health.probe_interval_ms = PROBE_INTERVAL_MS
        self._quarantined_count_by_zone[health.shape.zone] -= 1
        return True

    def record_failure(self, task: RunningTask, now_ms: int) -> bool:
        """Record the failure of a task; return whether a quarantine begins."""
        worker_id = task.worker.shape.worker_id
        health = self._health_by_worker.get(worker_id)
        if health is None:
            return False
        other_worker_count = self._record_job_failure(task, health)
        if health.probe_attempt_id == task.request.attempt_id:
            self._record_failed_probe(health, now_ms)
        if other_worker_count < BROKEN_JOB_MIN_WORKERS - 1:
            health.failures += 1
            health.failed_jobs.add(task.request.job_id)
            health.failed_owners.add(task.request.owner)
        if health.is_quarantined or not self._may_quarantine(health):
            return False
        health.is_quarantined = True
        health.next_probe_ms = now_ms + health.probe_interval_ms
        zone = health.shape.zone
        count = self._quarantined_count_by_zone.get(zone, 0)
        self._quarantined_count_by_zone[zone] = count + 1
        return True

    def record_lost(self, task: RunningTask) -> None:
        """Record that a task ended with neither success nor failure."""
        health = self._health_by_worker.get(task.worker.shape.worker_id)
        if (
            health is not None
            and health.probe_attempt_id == task.request.attempt_id
        ):
            health.probe_attempt_id = ""

    def fails_everywhere(self, job_id: str) -> bool:
        """Return whether a job failed on several workers without a success."""
        workers = self._failed_workers_by_job.get(job_id, ())
        return len(workers) >= BROKEN_JOB_MIN_WORKERS

    def forget_job(self, job_id: str) -> None:
        """Clear the failures of a job."""
        self._failed_workers_by_job.pop(job_id, None)

    def next_probe_worker(self, now_ms: int) -> str:
        """Return the id of a worker whose probe is due, or an empty string."""
        for worker_id, health in self._health_by_worker.items():
            if (
                health.is_quarantined
                and not health.probe_attempt_id
                and now_ms >= health.next_probe_ms
            ):
                return worker_id
        return ""

    def record_probe(self, worker_id: str, attempt_id: str) -> None:
        """Record the task that probes a quarantined worker."""
        self._health_by_worker[worker_id].probe_attempt_id = attempt_id

    def quarantined_workers(self) -> tuple[str, ...]:
        """Return the ids of the quarantined workers."""
        return tuple(
            worker_id
            for worker_id, health in self._health_by_worker.items()
            if health.is_quarantined
        )

    def has_quarantined(self) -> bool:
        """Return whether any worker is quarantined."""
        return any(self._quarantined_count_by_zone.values())

    def _record_job_failure(
        self, task: RunningTask, health: WorkerHealth
    ) -> int:
        """Record a failure; return the number of other workers with one."""
        worker_id = task.worker.shape.worker_id
        job_id = task.request.job_id
        workers = self._failed_workers_by_job.setdefault(job_id, set())
        other_worker_count = len(workers - {worker_id})
        if not health.is_quarantined:
            workers.add(worker_id)
        return other_worker_count

    def _record_failed_probe(self, health: WorkerHealth, now_ms: int) -> None:
        health.probe_attempt_id = ""
        health.probe_interval_ms = min(
            MAX_PROBE_INTERVAL_MS, health.probe_interval_ms * 2
        )
        health.next_probe_ms = now_ms + health.probe_interval_ms

    def _may_quarantine(self, health: WorkerHealth) -> bool:
        if not self._is_enabled or not health.has_quarantine_evidence:
            return False
        zone = health.shape.zone
        allowed = max(
            1, self._worker_count_by_zone[zone] * MAX_QUARANTINED_SHARE
        )
        return self._quarantined_count_by_zone.get(zone, 0) + 1 <= allowed
