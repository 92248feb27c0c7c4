"""Fencing of successive owners of one worker by the worker's own clock.

Every owner marks each worker with a claim lease of no size that carries its
epoch, and grants only up to a bounded time after a view in which no higher
epoch was listed. So a new owner whose claim lease has been listed for that
time knows that every lease of an earlier owner is listed or has expired.

An owner whose claim lease is not listed places it only on a view taken soon
after it has confirmed through the log that it still owns the rack. Had a
later owner settled by then, its claim would have been in that log; if it
settles afterwards, the claim lease placed on that view lapses first. So an
earlier owner never returns to a worker on which a later one has settled.
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
CONFIRM_WINDOW_MS = LEASE_TTL_MAX_MS // 2
DRIFT_DIVISOR = 1_000  # monotonic clocks drift by less than 1/1000
FIRST_EPOCH = 1
NEVER_MS = 2**62


class FencePhase(StrEnum):
    """What an owner may do on a worker."""

    UNKNOWN = "unknown"
    UNCLAIMED = "unclaimed"
    SETTLING = "settling"
    OPEN = "open"
    YIELDED = "yielded"


class OwnerClaim(NamedTuple):
    """The claim on a rack for which a fence stands.

    :param incarnation: the owner.
    :param epoch: epoch of the claim, from the order of the log.
    :param after_release: whether the owner before released the rack, which
        it does only when none of its grants is in flight.
    """

    incarnation: str
    epoch: int
    after_release: bool = False


class WorkerFence(NamedTuple):
    """What one owner knows of one worker; replies come in call order.

    :param ttl_ms: time after a view for which leases are granted.
    :param fences_epochs: whether the worker refuses lower epochs itself.
    :param view: newest view of the worker.
    :param received_ms: local time at which that view arrived.
    :param claim: own claim lease in that view.
    :param settled_at_ms: worker time from which all that earlier owners
        have granted is listed.
    :param placements: claim leases sent so far.
    """

    owner: OwnerClaim
    ttl_ms: int = LEASE_TTL_MAX_MS
    fences_epochs: bool = False
    view: WorkerView | None = None
    received_ms: int = 0
    claim: LeaseView | None = None
    settled_at_ms: int = NEVER_MS
    placements: int = 0

    @property
    def phase(self) -> FencePhase:
        """What the owner may do now."""
        if self.view is None:
            return FencePhase.UNKNOWN
        if _shows_higher(self.view, self.owner.epoch):
            return FencePhase.YIELDED
        if self.claim is None:
            return FencePhase.UNCLAIMED
        if self.view.now_ms < self.settled_at_ms:
            return FencePhase.SETTLING
        return FencePhase.OPEN

    @property
    def is_open(self) -> bool:
        """Whether everything that is not listed is free."""
        return self.phase is FencePhase.OPEN

    def observe(self, view: WorkerView, received_ms: int) -> WorkerFence:
        """Take in a reply of the worker."""
        restarted = self.view is None or self.view.boot_id != view.boot_id
        if not restarted and self.view and view.now_ms < self.view.now_ms:
            return self
        seen = self._replace(view=view, received_ms=received_ms)
        if _shows_higher(view, self.owner.epoch):
            return seen._replace(claim=None, settled_at_ms=NEVER_MS)
        return seen._with_claim(None if restarted else self.claim)

    def may_place_claim(self, confirmed_ms: int | None) -> bool:
        """Return whether the claim lease may be placed.

        :param confirmed_ms: local start of a complete read of the log
            that showed the own claim as the current one.
        """
        if self.phase is not FencePhase.UNCLAIMED or confirmed_ms is None:
            return False
        return self.received_ms - confirmed_ms < CONFIRM_WINDOW_MS

    def place_claim(self) -> tuple[WorkerFence, LeaseGrant]:
        """Return the claim lease to start, under an id of its own.

        Call only when :meth:`may_place_claim` holds.

        :raises ValueError: if no view of the worker is known.
        """
        placed = self._replace(placements=self.placements + 1)
        lease_id = f"{self._claim_prefix()}{placed.placements}"
        grant = LeaseGrant(
            lease_id,
            self.owner.epoch,
            self.renewal_ms(),
            kind=LeaseKind.CLAIM,
            boot_id=self._known_view().boot_id,
        )
        return placed, grant

    def renewal_ms(self) -> int:
        """Return the worker time to which listed leases may be renewed.

        The claim lease comes first in the renewal, so that a task lease
        is never the only one that a late message extends.

        :raises ValueError: if no view of the worker is known.
        """
        return self._known_view().now_ms + self.ttl_ms

    def grant_ms(self) -> int:
        """Return the worker time up to which new leases may be granted.

        :raises ValueError: if the fence is not open.
        """
        if not self.is_open or self.claim is None:
            raise ValueError(f"the fence is {self.phase}")
        return min(self.renewal_ms(), self.claim.expires_at_ms)

    def surely_reached(self, worker_ms: int, local_ms: int) -> bool:
        """Return whether the worker's clock has passed a time by now.

        A restart of the worker ends its leases too, so it counts as well.
        """
        if self.view is None:
            return False
        elapsed_ms = local_ms - self.received_ms
        slowest_ms = elapsed_ms - elapsed_ms // DRIFT_DIVISOR - 1
        return self.view.now_ms + max(slowest_ms, 0) >= worker_ms

    def _with_claim(self, previous: LeaseView | None) -> WorkerFence:
        own = self._own_claims()
        if previous is not None and previous.lease_id in own:
            return self._replace(claim=own[previous.lease_id])
        if not own:
            return self._replace(claim=None, settled_at_ms=NEVER_MS)
        newest = max(own.values(), key=lambda lease: lease.expires_at_ms)
        view = self._known_view()
        wait_ms = 0 if self._skips_wait(view) else LEASE_TTL_MAX_MS
        return self._replace(claim=newest, settled_at_ms=view.now_ms + wait_ms)

    def _skips_wait(self, view: WorkerView) -> bool:
        if self.fences_epochs or self.owner.epoch == FIRST_EPOCH:
            return True
        return self.owner.after_release and any(
            lease.kind is LeaseKind.CLAIM
            and lease.epoch == self.owner.epoch - 1
            for lease in view.leases
        )

    def _own_claims(self) -> dict[str, LeaseView]:
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
            raise ValueError("no view of the worker is known")
        return self.view


def _shows_higher(view: WorkerView, epoch: int) -> bool:
    return any(lease.epoch > epoch for lease in view.leases)
