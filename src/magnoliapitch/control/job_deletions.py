"""Stored jobs that have ended and are deleted in batches."""

from __future__ import annotations

from typing import TYPE_CHECKING

from result import Err
from result import Ok
from result import Result


if TYPE_CHECKING:
    from collections.abc import Iterable

    from magnoliapitch.ledger.job_follower import JobFollower
    from magnoliapitch.verdict import Failure


# Limit for one call to the store.
MAX_JOBS_PER_DELETION = 500


class JobDeletions:
    """Jobs to delete, each until the store has deleted it."""

    def __init__(self) -> None:
        self._job_ids: set[str] = set()

    def add(self, job_ids: Iterable[str]) -> None:
        """Mark jobs for deletion."""
        self._job_ids.update(job_ids)

    def carry_out(
        self, job_follower: JobFollower | None
    ) -> Result[None, Failure]:
        """Delete some of the marked jobs.

        :param job_follower: None if this instance does not lead any more.
        """
        if job_follower is None or not self._job_ids:
            return Ok(None)
        job_ids = sorted(self._job_ids)[:MAX_JOBS_PER_DELETION]
        deleted = job_follower.delete_jobs(job_ids)
        if not isinstance(deleted, Err):
            self._job_ids.difference_update(job_ids)
        return deleted


__all__ = ["JobDeletions"]
