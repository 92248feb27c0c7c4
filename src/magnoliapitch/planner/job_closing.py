"""Why a job is closed, with the figures that decided it."""

from __future__ import annotations

from collections.abc import Mapping
from enum import StrEnum
from types import MappingProxyType
from typing import TYPE_CHECKING
from typing import Any
from typing import NamedTuple

from magnoliapitch.event import log_event
from magnoliapitch.workload.progress import JobOutcome


if TYPE_CHECKING:
    from magnoliapitch.planner.tracked_job import TrackedJob
    from magnoliapitch.planner.tracked_task import TrackedTask


class ClosingReason(StrEnum):
    """What closed a job that has not completed.

    ``ATTEMPTS_LOWERED`` is a configuration with fewer attempts than the
    number of runs that had failed before.
    """

    CANCELLED = "cancelled"
    ATTEMPTS_USED = "attempts-used"
    ATTEMPTS_LOWERED = "attempts-lowered"
    WORKERS_CRASHED = "workers-crashed"
    RECORD_REFUSED = "record-refused"


class JobClosing(NamedTuple):
    """Outcome of a job and the reason for it.

    :param reason: None for a job that has completed.
    :param figures: what decided it, by the name of the log field.
    """

    outcome: JobOutcome
    reason: ClosingReason | None = None
    figures: Mapping[str, Any] = MappingProxyType({})

    @classmethod
    def completed(cls) -> JobClosing:
        """Return that all steps are done."""
        return cls(JobOutcome.COMPLETED)

    @classmethod
    def cancelled(cls) -> JobClosing:
        """Return that a caller has cancelled the job."""
        return cls(JobOutcome.CANCELLED, ClosingReason.CANCELLED)

    @classmethod
    def attempts_used(cls, job: TrackedJob) -> JobClosing:
        """Return that a task, or a gang, has failed as often as allowed."""
        return cls(
            JobOutcome.FAILED,
            ClosingReason.ATTEMPTS_USED,
            _failure_figures(job),
        )

    @classmethod
    def attempts_lowered(
        cls, job: TrackedJob, former_attempts: int, version: int
    ) -> JobClosing:
        """Return that a configuration allows fewer failures than there were.

        :param version: version of that configuration.
        """
        return cls(
            JobOutcome.FAILED,
            ClosingReason.ATTEMPTS_LOWERED,
            {
                **_failure_figures(job),
                "former_attempts": former_attempts,
                "version": version,
            },
        )

    @classmethod
    def workers_crashed(
        cls, task: TrackedTask, *, is_alone: bool
    ) -> JobClosing:
        """Return that a task is given up after several workers have ended.

        :param is_alone: whether it was certainly alone on the last one.
        """
        return cls(
            JobOutcome.FAILED,
            ClosingReason.WORKERS_CRASHED,
            {
                "step": task.key.step,
                "task": task.key.position,
                "is_alone": is_alone,
                "worker_crashes": task.worker_crashes,
                "proven_crashes": task.proven_crashes,
                "worker_losses": task.worker_losses,
            },
        )

    @classmethod
    def record_refused(cls, key: str) -> JobClosing:
        """Return that the store has refused a record of the job."""
        return cls(
            JobOutcome.FAILED, ClosingReason.RECORD_REFUSED, {"key": key}
        )

    def log(self, job: TrackedJob) -> None:
        """Log that a job is closed.

        The line of one that has completed has no reason, so that the number
        of these lines in a second is limited.
        """
        fields: dict[str, Any] = {"outcome": self.outcome}
        if self.reason is not None:
            fields["reason"] = self.reason
        log_event(
            "job-closed",
            job=job.spec.job_id,
            queue=job.spec.queue,
            **fields,
            **self.figures,
        )


def _failure_figures(job: TrackedJob) -> dict[str, Any]:
    """Return the failures of the step that has failed.

    The task is the one of that step that failed most often.
    """
    step = next((step for step in job.all_steps() if step.has_failed), None)
    if step is None:
        return {"attempts": job.queue.attempts}
    task = max(step.tasks, key=lambda task: task.failures)
    return {
        "occurrence": step.key.occurrence,
        "step": step.key.step,
        "task": task.key.position,
        "runs": task.runs,
        "is_gang": step.spec.is_gang,
        "failures": task.used_attempts,
        "attempts": job.queue.attempts,
    }


__all__ = ["ClosingReason", "JobClosing"]
