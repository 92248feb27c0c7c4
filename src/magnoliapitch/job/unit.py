"""An owned rack, and its jobs that wait until earlier owners are fenced."""

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


# Local time after which a lease of the longest duration has expired, even if
# the worker's clock is slower by the greatest drift.
LEASE_EXPIRY_WAIT_MS = (
    LEASE_TTL_MAX_MS + LEASE_TTL_MAX_MS // CLOCK_DRIFT_DIVISOR + 1
)


class OwnedUnit:
    """A rack that this instance owns under one claim.

    An earlier owner cannot have started a job submitted after the claim,
    because it no longer considers itself the owner when it reads the job.
    It may have started older jobs, so these wait until the rack is settled.
    A rack is settled in one of two cases:

    - The fence of each of its workers was open once, and the instance list
      has had time to name all of the workers.
    - Every earlier owner has been stopped for the longest time that a lease
      can last.

    :ivar job_ids: unfinished jobs of the rack.
    :ivar is_settled: whether older jobs may start.
    :ivar is_releasing: whether the rack is being handed to another owner;
        a handover is never cancelled.
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
        """Claim in the form that the fences of the rack's workers use."""
        return OwnerClaim(
            self.claim.incarnation, self.claim.epoch, self.claim.after_release
        )

    def mark_worker_open(self, worker_id: str) -> None:
        """Record that the fence of a worker is open.

        Earlier owners cannot grant leases on that worker any more.
        """
        self._open_worker_ids.add(worker_id)

    def admit(self, job: JobRecord) -> bool:
        """Add a job and return whether its tasks may start now.

        Otherwise the job waits until :meth:`try_settle` returns it.
        """
        job_id = job.spec.job_id
        self.job_ids[job_id] = None
        if self.is_settled or job.offset > self.claim.offset:
            return True
        self._waiting_job_ids[job_id] = None
        return False

    def remove_job(self, job_id: str) -> None:
        """Remove a job that has ended or moved to another rack."""
        self.job_ids.pop(job_id, None)
        self._waiting_job_ids.pop(job_id, None)

    def is_waiting(self, job_id: str) -> bool:
        """Return whether a job waits until the rack is settled."""
        return job_id in self._waiting_job_ids

    def try_settle(
        self,
        worker_ids: Collection[str],
        stopped_since_ms: int | None,
        now_ms: int,
    ) -> tuple[str, ...]:
        """Settle the rack if possible and return the jobs that waited.

        :param worker_ids: workers of the rack in the instance list.
        :param stopped_since_ms: local monotonic time since which every
            earlier owner is known to be stopped, ``None`` if one may run.
        :param now_ms: local monotonic time, in milliseconds.
        """
        if self.is_settled:
            return ()
        has_expired = (
            stopped_since_ms is not None
            and now_ms > stopped_since_ms + LEASE_EXPIRY_WAIT_MS
        )
        are_open = worker_ids and self._open_worker_ids.issuperset(worker_ids)
        if not has_expired and not (
            are_open and now_ms >= self._list_complete_at_ms
        ):
            return ()
        self.is_settled = True
        waiting_job_ids, self._waiting_job_ids = (
            tuple(self._waiting_job_ids),
            {},
        )
        return waiting_job_ids
