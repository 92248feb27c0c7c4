"""Silence of a zone's members, and whether former owners have stopped."""

from __future__ import annotations

from typing import TYPE_CHECKING

from magnoliapitch.membership.state import MemberState


if TYPE_CHECKING:
    from collections.abc import Collection

    from magnoliapitch.journal.state import Claim
    from magnoliapitch.membership.status import PeerStatus


class ZoneMembers:
    """Tracks the other members of one availability zone.

    :param zone: the own availability zone.
    """

    def __init__(self, zone: str) -> None:
        self._zone = zone
        self._silent_since_ms_by_incarnation: dict[str, int] = {}
        self._peers_by_incarnation: dict[str, PeerStatus] = {}
        # Epoch of the claim, and local time since which its predecessors have
        # stopped.
        self._stopped_at_by_unit: dict[str, tuple[int, int]] = {}

    def observe(self, peers: Collection[PeerStatus], now_ms: int) -> None:
        """Replace the statuses of the members.

        :param now_ms: local monotonic time.
        """
        self._peers_by_incarnation = {
            peer.join.incarnation: peer
            for peer in peers
            if peer.join.zone == self._zone
        }
        silent = {
            incarnation: self._silent_since_ms_by_incarnation.get(
                incarnation, now_ms
            )
            for incarnation, peer in self._peers_by_incarnation.items()
            if peer.state is not MemberState.LIVE
        }
        self._silent_since_ms_by_incarnation = silent

    def live_instances(self) -> frozenset[str]:
        """Return the ids of the live instances, which can own units."""
        return frozenset(
            peer.join.instance_id
            for peer in self._peers_by_incarnation.values()
            if peer.state is MemberState.LIVE
        )

    def silence_ms(self, incarnation: str, now_ms: int) -> int | None:
        """Return for how long a member has not been live.

        :return: milliseconds, or nothing for a live member. A member that
            is no longer in the log counts as always silent.
        """
        if incarnation not in self._peers_by_incarnation:
            return now_ms
        start_ms = self._silent_since_ms_by_incarnation.get(incarnation)
        return None if start_ms is None else now_ms - start_ms

    def instance_id_of(self, incarnation: str) -> str:
        """Return the instance id of a member, empty if it is unknown."""
        peer = self._peers_by_incarnation.get(incarnation)
        return peer.join.instance_id if peer else ""

    def running_predecessors(self, claim: Claim) -> tuple[str, ...]:
        """Return the earlier owners that may not know of a claim yet."""
        return tuple(
            incarnation
            for incarnation in claim.predecessors
            if self._may_act_as_owner(incarnation, claim.offset)
        )

    def stopped_at_ms(self, claim: Claim, now_ms: int) -> int | None:
        """Return when all earlier owners were known to have stopped.

        An earlier owner stops when it applies the claim from the log, or
        leaves.

        :return: local monotonic time in milliseconds, or nothing while one
            of them may still act as owner.
        """
        if self.running_predecessors(claim):
            self._stopped_at_by_unit.pop(claim.unit, None)
            return None
        epoch, start_ms = self._stopped_at_by_unit.get(claim.unit, (0, 0))
        if epoch != claim.epoch:
            start_ms = now_ms
            self._stopped_at_by_unit[claim.unit] = (claim.epoch, now_ms)
        return start_ms

    def _may_act_as_owner(self, incarnation: str, offset: int) -> bool:
        peer = self._peers_by_incarnation.get(incarnation)
        return peer is not None and peer.next_offset <= offset
