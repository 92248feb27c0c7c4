"""Attempts of traced tasks, as the job manager would name them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from magnoliapitch.decision.interface import TaskRequest
from magnoliapitch.job.spec import AttemptKey
from magnoliapitch.job.spec import lease_id_of


if TYPE_CHECKING:
    from magnoliapitch.bench.decisions.trace import TracedJob


class TaskRun:
    """Progress of one task over its attempts.

    :ivar left_ms: run time left, less what checkpoints saved.
    :ivar started_ms: first start, -1 before.
    :ivar finished_ms: when it finished, -1 before.
    """

    __slots__ = (
        "attempt",
        "failures",
        "finished_ms",
        "job",
        "left_ms",
        "number",
        "started_ms",
        "worker_id",
    )

    def __init__(self, job: TracedJob, number: int) -> None:
        self.job = job
        self.number = number
        self.attempt = 0
        self.failures = 0
        self.left_ms = float(job.tasks[number].run_ms)
        self.started_ms = -1
        self.finished_ms = -1
        self.worker_id = ""

    @property
    def task_id(self) -> str:
        """Lease id of the current attempt."""
        name = AttemptKey(self.job.job_id, self.number, self.attempt)
        return lease_id_of(name)

    def request(self, now_ms: int) -> TaskRequest:
        """Return the current attempt as a policy sees it."""
        job = self.job
        return TaskRequest(
            self.task_id,
            job.job_id,
            job.entry.name,
            job.entry.owner,
            job.entry.work_class,
            job.declared,
            job.declared_run_ms,
            now_ms,
            job.deadline_ms,
            len(job.tasks) if job.is_gang else 1,
        )


class JobRun:
    """Progress of one job."""

    __slots__ = ("given_up", "job", "left", "tasks")

    def __init__(self, job: TracedJob) -> None:
        self.job = job
        self.tasks = [TaskRun(job, number) for number in range(len(job.tasks))]
        self.left = len(self.tasks)
        self.given_up = False
