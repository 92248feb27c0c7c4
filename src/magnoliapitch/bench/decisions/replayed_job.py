"""Progress of the jobs and tasks of a trace while it is replayed."""

from __future__ import annotations

from typing import TYPE_CHECKING

from magnoliapitch.decision.interface import TaskRequest
from magnoliapitch.job.spec import AttemptKey
from magnoliapitch.job.spec import lease_id_of


if TYPE_CHECKING:
    from magnoliapitch.bench.decisions.trace import TracedJob


class ReplayedTask:
    """Progress of one task over all its attempts.

    :param number: position of the task in its job.
    :ivar attempt_number: number of the current attempt, from 0.
    :ivar failures: number of failed attempts.
    :ivar remaining_ms: run time at full speed that the next attempt needs;
        a checkpoint reduces it.
    :ivar started_ms: time of the first start, -1 before it.
    :ivar finished_ms: time at which the task finished, -1 before.
    :ivar worker_id: worker of the running attempt, empty if none runs.
    """

    __slots__ = (
        "attempt_number",
        "failures",
        "finished_ms",
        "number",
        "remaining_ms",
        "started_ms",
        "traced_job",
        "worker_id",
    )

    def __init__(self, job: TracedJob, number: int) -> None:
        self.traced_job = job
        self.number = number
        self.attempt_number = 0
        self.failures = 0
        self.remaining_ms = float(job.tasks[number].run_ms)
        self.started_ms = -1
        self.finished_ms = -1
        self.worker_id = ""

    @property
    def attempt_id(self) -> str:
        """Lease id of the current attempt, as the job manager names it."""
        key = AttemptKey(
            self.traced_job.job_id, self.number, self.attempt_number
        )
        return lease_id_of(key)

    def request(self, now_ms: int) -> TaskRequest:
        """Return the current attempt as the scheduler sees it.

        :param now_ms: time of the submission.
        """
        job = self.traced_job
        return TaskRequest(
            self.attempt_id,
            job.job_id,
            job.entry.name,
            job.entry.owner,
            job.entry.work_class,
            job.declared_resources,
            job.declared_run_ms,
            now_ms,
            job.deadline_ms,
            len(job.tasks) if job.is_gang else 1,
        )


class ReplayedJob:
    """Progress of one job.

    :ivar unfinished_tasks: number of tasks that have not finished.
    :ivar is_abandoned: whether the job was cancelled or failed too often.
    """

    __slots__ = ("is_abandoned", "tasks", "traced_job", "unfinished_tasks")

    def __init__(self, job: TracedJob) -> None:
        self.traced_job = job
        self.tasks = [
            ReplayedTask(job, number) for number in range(len(job.tasks))
        ]
        self.unfinished_tasks = len(self.tasks)
        self.is_abandoned = False
