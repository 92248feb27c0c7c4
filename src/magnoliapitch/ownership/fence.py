"""Fencing of successive owners of one worker by the worker's own clock.

Every owner starts a claim lease on each worker. It reserves no resources and
carries the owner's epoch. A worker replies with a view, which lists its
leases. An owner grants leases only on the basis of a view without a higher
epoch, and they expire within a bounded time after that view. So when the claim
lease of a new owner has been listed for that time, every lease of an earlier
owner is listed as well or has expired.

An owner whose claim lease is not listed starts it only on the basis of a view
taken soon after a complete read of the log showed that it still owns the
rack. If a later owner had settled by then, its claim would have been in the
log. If a later owner settles afterwards, the claim lease that was started on
that view expires first. So an earlier owner never returns to a worker on
which a later one has settled.
"""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple

from magnoliapitch.worker.lease import LEASE_TTL_MAX_MS
from magnoliapitch.worker.lease import LeaseGrant
from magnoliapitch.worker.lease import LeaseKind
from magnoliapitch.worker.lease import LeaseView
from magnoliapitch.worker.lease import WorkerView


CLAIM_PREFIX = "claim:"
CONFIRMATION_MAX_AGE_MS = LEASE_TTL_MAX_MS // 2
CLOCK_DRIFT_DIVISOR = 1_000  # monotonic clocks drift by less than 1/1000
FIRST_EPOCH = 1
NEVER_MS = 2**62


class FencePhase(StrEnum):
    """What an owner may do on a worker.

    - ``UNKNOWN``: the worker has not replied yet.
    - ``UNCLAIMED``: the owner's claim lease is not listed.
    - ``SETTLING``: leases of earlier owners may still appear in the list.
    - ``OPEN``: every lease is listed, so free resources may be granted.
    - ``YIELDED``: a lease with a higher epoch is listed.
    """

    UNKNOWN = "unknown"
    UNCLAIMED = "unclaimed"
    SETTLING = "settling"
    OPEN = "open"
    YIELDED = "yielded"


class OwnerClaim(NamedTuple):
    """A claim on a rack, as far as a fence has to know it.

    :param incarnation: incarnation of the owner.
    :param epoch: epoch of the claim; the log's order makes it increase.
    :param after_release: whether the previous owner released the rack, which
        it does only when none of its grants is in flight.
    """

    incarnation: str
    epoch: int
    after_release: bool = False


class WorkerFence(NamedTuple):
    """Immutable state of the fencing between one owner and one worker.

    The worker's replies must be observed in the order of the calls.

    :param owner: claim of the owner.
    :param ttl_ms: how long after a view granted leases may last.
    :param fences_epochs: whether the worker itself refuses lower epochs.
    :param view: newest view of the worker.
    :param received_ms: local monotonic time at which that view arrived.
    :param claim_lease: the owner's claim lease in that view, if it is listed.
    :param settled_at_ms: time of the worker's clock from which every lease
        granted by earlier owners is listed.
    :param claim_lease_count: number of claim leases created so far.
    """

    owner: OwnerClaim
    ttl_ms: int = LEASE_TTL_MAX_MS
    fences_epochs: bool = False
    view: WorkerView | None = None
    received_ms: int = 0
    claim_lease: LeaseView | None = None
    settled_at_ms: int = NEVER_MS
    claim_lease_count: int = 0

    @property
    def phase(self) -> FencePhase:
        """What the owner may do on the worker now."""
        if self.view is None:
            return FencePhase.UNKNOWN
        if _has_higher_epoch(self.view, self.owner.epoch):
            return FencePhase.YIELDED
        if self.claim_lease is None:
            return FencePhase.UNCLAIMED
        if self.view.now_ms < self.settled_at_ms:
            return FencePhase.SETTLING
        return FencePhase.OPEN

    @property
    def is_open(self) -> bool:
        """Whether all resources without a listed lease are free."""
        return self.phase is FencePhase.OPEN

    def observe(self, view: WorkerView, received_ms: int) -> WorkerFence:
        """Return the state after a reply of the worker.

        A view older than the newest one of the same boot is ignored.

        :param received_ms: local monotonic time at which it arrived.
        """
        restarted = self.view is None or self.view.boot_id != view.boot_id
        if not restarted and self.view and view.now_ms < self.view.now_ms:
            return self
        updated = self._replace(view=view, received_ms=received_ms)
        if _has_higher_epoch(view, self.owner.epoch):
            return updated._replace(claim_lease=None, settled_at_ms=NEVER_MS)
        return updated._with_claim_lease(
            None if restarted else self.claim_lease
        )

    def may_start_claim_lease(self, confirmed_ms: int | None) -> bool:
        """Return whether the claim lease may be started now.

        :param confirmed_ms: local monotonic time at which the newest complete
            read of the log began, if it showed the owner's claim as the
            current one.
        """
        if self.phase is not FencePhase.UNCLAIMED or confirmed_ms is None:
            return False
        return self.received_ms - confirmed_ms < CONFIRMATION_MAX_AGE_MS

    def start_claim_lease(self) -> tuple[WorkerFence, LeaseGrant]:
        """Return the next state and a new claim lease with an unused id.

        Call only if :meth:`may_start_claim_lease` returned true.

        :raises ValueError: if no view of the worker is known.
        """
        successor = self._replace(claim_lease_count=self.claim_lease_count + 1)
        lease_id = f"{self._claim_prefix()}{successor.claim_lease_count}"
        grant = LeaseGrant(
            lease_id,
            self.owner.epoch,
            self.renewal_expiry_ms(),
            kind=LeaseKind.CLAIM,
            boot_id=self._known_view().boot_id,
        )
        return successor, grant

    def renewal_expiry_ms(self) -> int:
        """Return the expiry that listed leases may be renewed to.

        Renewals name the claim lease first, so that a delayed message never
        extends task leases alone.

        :return: time of the worker's clock, in milliseconds.
        :raises ValueError: if no view of the worker is known.
        """
        return self._known_view().now_ms + self.ttl_ms

    def grant_expiry_ms(self) -> int:
        """Return the latest expiry of new leases.

        :return: time of the worker's clock, in milliseconds.
        :raises ValueError: if the fence is not open.
        """
        if not self.is_open or self.claim_lease is None:
            raise ValueError(
                f"no lease can be granted: the fence is {self.phase}, not open"
            )
        return min(self.renewal_expiry_ms(), self.claim_lease.expires_at_ms)

    def has_worker_clock_passed(self, worker_ms: int, local_ms: int) -> bool:
        """Return whether the worker's clock has certainly passed a time.

        The slowest clock that drift allows is assumed. If the worker has
        restarted since its last reply, a positive result is still right for
        its leases, because the restart ended them.

        :param worker_ms: time of the worker's clock, in milliseconds.
        :param local_ms: local monotonic time of the question.
        """
        if self.view is None:
            return False
        elapsed_ms = local_ms - self.received_ms
        min_elapsed_ms = elapsed_ms - elapsed_ms // CLOCK_DRIFT_DIVISOR - 1
        return self.view.now_ms + max(min_elapsed_ms, 0) >= worker_ms

    def _with_claim_lease(self, previous: LeaseView | None) -> WorkerFence:
        own = self._own_claim_leases()
        if previous is not None and previous.lease_id in own:
            return self._replace(claim_lease=own[previous.lease_id])
        if not own:
            return self._replace(claim_lease=None, settled_at_ms=NEVER_MS)
        newest = max(own.values(), key=lambda lease: lease.expires_at_ms)
        view = self._known_view()
        wait_ms = 0 if self._may_skip_wait(view) else LEASE_TTL_MAX_MS
        return self._replace(
            claim_lease=newest, settled_at_ms=view.now_ms + wait_ms
        )

    def _may_skip_wait(self, view: WorkerView) -> bool:
        if self.fences_epochs or self.owner.epoch == FIRST_EPOCH:
            return True
        return self.owner.after_release and any(
            lease.kind is LeaseKind.CLAIM
            and lease.epoch == self.owner.epoch - 1
            for lease in view.leases
        )

    def _own_claim_leases(self) -> dict[str, LeaseView]:
        prefix = self._claim_prefix()
        return {
            lease.lease_id: lease
            for lease in self._known_view().leases
            if lease.lease_id.startswith(prefix)
        }

    def _claim_prefix(self) -> str:
        return f"{CLAIM_PREFIX}{self.owner.epoch}:{self.owner.incarnation}:"

    def _known_view(self) -> WorkerView:
        if self.view is None:
            raise ValueError("the worker has not replied with a view yet")
        return self.view


def _has_higher_epoch(view: WorkerView, epoch: int) -> bool:
    return any(lease.epoch > epoch for lease in view.leases)
