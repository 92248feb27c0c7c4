"""How long members have been silent, and since when they have stopped."""

from __future__ import annotations

from typing import TYPE_CHECKING

from magnoliapitch.membership.state import MemberState


if TYPE_CHECKING:
    from collections.abc import Collection

    from magnoliapitch.journal.state import Claim
    from magnoliapitch.membership.status import PeerStatus


class ZoneWatch:
    """Follows the other members of one availability zone.

    :param zone: the own availability zone.
    """

    def __init__(self, zone: str) -> None:
        self._zone = zone
        self._silent_since_by_incarnation: dict[str, int] = {}
        self._peers_by_incarnation: dict[str, PeerStatus] = {}
        self._stopped_ms_by_unit: dict[str, tuple[int, int]] = {}

    def observe(self, peers: Collection[PeerStatus], now_ms: int) -> None:
        """Take in the newest statuses."""
        self._peers_by_incarnation = {
            peer.join.incarnation: peer
            for peer in peers
            if peer.join.zone == self._zone
        }
        silent = {
            incarnation: self._silent_since_by_incarnation.get(
                incarnation, now_ms
            )
            for incarnation, peer in self._peers_by_incarnation.items()
            if peer.state is not MemberState.LIVE
        }
        self._silent_since_by_incarnation = silent

    def live_instances(self) -> frozenset[str]:
        """Return the instances that can own units."""
        return frozenset(
            peer.join.instance_id
            for peer in self._peers_by_incarnation.values()
            if peer.state is MemberState.LIVE
        )

    def silent_ms(self, incarnation: str, now_ms: int) -> int | None:
        """Return for how long a member was not heard, or nothing if it is.

        A member that the log does not name any more counts as silent for
        ever.
        """
        if incarnation not in self._peers_by_incarnation:
            return now_ms
        since_ms = self._silent_since_by_incarnation.get(incarnation)
        return None if since_ms is None else now_ms - since_ms

    def instance_of(self, incarnation: str) -> str:
        """Return the instance of a member, empty if it is not known."""
        peer = self._peers_by_incarnation.get(incarnation)
        return peer.join.instance_id if peer else ""

    def running_predecessors(self, claim: Claim) -> tuple[str, ...]:
        """Return earlier owners that may not know of a claim yet."""
        return tuple(
            incarnation
            for incarnation in claim.predecessors
            if self._may_run(incarnation, claim.offset)
        )

    def stopped_ms(self, claim: Claim, now_ms: int) -> int | None:
        """Return since when all earlier owners are known to have stopped.

        They have once they have folded the claim, or have left.
        """
        if self.running_predecessors(claim):
            self._stopped_ms_by_unit.pop(claim.unit, None)
            return None
        epoch, since_ms = self._stopped_ms_by_unit.get(claim.unit, (0, 0))
        if epoch != claim.epoch:
            since_ms = now_ms
            self._stopped_ms_by_unit[claim.unit] = (claim.epoch, now_ms)
        return since_ms

    def _may_run(self, incarnation: str, offset: int) -> bool:
        peer = self._peers_by_incarnation.get(incarnation)
        return peer is not None and peer.next_offset <= offset
