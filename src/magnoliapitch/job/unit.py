"""An owned rack, and the jobs that wait until earlier owners are fenced."""

from __future__ import annotations

from typing import TYPE_CHECKING

from magnoliapitch.ownership.fence import CLOCK_DRIFT_DIVISOR
from magnoliapitch.ownership.fence import FIRST_EPOCH
from magnoliapitch.ownership.fence import OwnerClaim
from magnoliapitch.worker.lease import LEASE_TTL_MAX_MS


if TYPE_CHECKING:
    from collections.abc import Collection

    from magnoliapitch.journal.state import Claim
    from magnoliapitch.journal.state import JobRecord


LEASE_EXPIRY_WAIT_MS = (
    LEASE_TTL_MAX_MS + LEASE_TTL_MAX_MS // CLOCK_DRIFT_DIVISOR + 1
)


class OwnedUnit:
    """One rack under one claim.

    Jobs submitted after the claim were never seen by an earlier owner that
    still counted itself the owner. Older ones may have been started by it,
    so they wait until the rack has settled: each of its workers was open
    once, and the list has had time to name them all, or all earlier owners
    have stopped for the time of a lease.

    :ivar job_ids: unfinished jobs of the rack.
    :ivar is_releasing: whether it is handed over; never taken back.
    """

    def __init__(self, claim: Claim, now_ms: int) -> None:
        self.claim = claim
        self.job_ids: dict[str, None] = {}
        self.is_settled = claim.epoch == FIRST_EPOCH
        self.is_releasing = False
        self._list_complete_at_ms = now_ms + (
            0 if claim.after_release else LEASE_EXPIRY_WAIT_MS
        )
        self._open_worker_ids: set[str] = set()
        self._waiting_job_ids: dict[str, None] = {}

    @property
    def owner(self) -> OwnerClaim:
        """The claim as the fences of the rack's workers see it."""
        return OwnerClaim(
            self.claim.incarnation, self.claim.epoch, self.claim.after_release
        )

    def mark_worker_open(self, worker_id: str) -> None:
        """Note that no earlier owner can grant on a worker any more."""
        self._open_worker_ids.add(worker_id)

    def admit(self, job: JobRecord) -> bool:
        """Return whether a job's tasks may be started; else hold it."""
        job_id = job.spec.job_id
        self.job_ids[job_id] = None
        if self.is_settled or job.offset > self.claim.offset:
            return True
        self._waiting_job_ids[job_id] = None
        return False

    def remove_job(self, job_id: str) -> None:
        """Forget a job that has ended or moved away."""
        self.job_ids.pop(job_id, None)
        self._waiting_job_ids.pop(job_id, None)

    def is_waiting(self, job_id: str) -> bool:
        """Return whether a job waits for the rack to settle."""
        return job_id in self._waiting_job_ids

    def try_settle(
        self,
        worker_ids: Collection[str],
        stopped_since_ms: int | None,
        now_ms: int,
    ) -> tuple[str, ...]:
        """Settle if possible; return the jobs that were waiting_job_ids.

        :param worker_ids: listed workers of the rack.
        :param stopped_since_ms: local time since which every earlier owner is
            known to have stopped.
        """
        if self.is_settled:
            return ()
        is_expired = (
            stopped_since_ms is not None
            and now_ms > stopped_since_ms + LEASE_EXPIRY_WAIT_MS
        )
        are_open = worker_ids and self._open_worker_ids.issuperset(worker_ids)
        if not is_expired and not (
            are_open and now_ms >= self._list_complete_at_ms
        ):
            return ()
        self.is_settled = True
        waiting_job_ids, self._waiting_job_ids = (
            tuple(self._waiting_job_ids),
            {},
        )
        return waiting_job_ids
