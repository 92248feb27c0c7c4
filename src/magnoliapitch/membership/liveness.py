"""Times of the last messages to and from one incarnation."""

from __future__ import annotations

from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from magnoliapitch.peer.message import Heartbeat
    from magnoliapitch.peer.message import MemberInfo


NEVER_MS = -(1 << 40)  # before any time of the local clock


class PeerLiveness:
    """Liveness of one incarnation, as seen by this instance.

    The two directions are tracked separately: in a one-way network
    partition, heartbeats of a peer may arrive while it receives none from
    this instance. All times are in milliseconds of the local clock.

    :ivar heartbeat: newest heartbeat received from the peer.
    :ivar last_heartbeat_ms: when that heartbeat arrived.
    :ivar last_delivered_ms: newest time at which the peer is known to have
        received a message of this instance.
    :ivar last_relayed_ms: newest time at which another instance reports to
        have heard the peer.
    :ivar last_called_ms: when this instance last called the peer.
    :ivar next_offset: highest next log offset reported for the peer.
    """

    def __init__(self) -> None:
        self.heartbeat: Heartbeat | None = None
        self.last_heartbeat_ms = NEVER_MS
        self.last_delivered_ms = NEVER_MS
        self.last_relayed_ms = NEVER_MS
        self.last_called_ms = NEVER_MS
        self.next_offset = 0

    def record_heartbeat(
        self, heartbeat: Heartbeat, now_ms: int, own_incarnation: str
    ) -> None:
        """Record a heartbeat from the peer.

        Its member list may tell when the peer last heard this instance.
        """
        self.heartbeat = heartbeat
        self.last_heartbeat_ms = now_ms
        self.next_offset = max(self.next_offset, heartbeat.next_offset)
        for member in heartbeat.members:
            if member.incarnation == own_incarnation and member.direct:
                delivered_ms = now_ms - member.age_ms
                self.last_delivered_ms = max(
                    self.last_delivered_ms, delivered_ms
                )

    def record_relayed(self, member: MemberInfo, now_ms: int) -> None:
        """Record what another instance reports about the peer."""
        self.last_relayed_ms = max(
            self.last_relayed_ms, now_ms - member.age_ms
        )
        self.next_offset = max(self.next_offset, member.next_offset)

    @property
    def was_seen(self) -> bool:
        """Whether the peer was ever heard, directly or through others."""
        return self.last_seen_ms > NEVER_MS

    @property
    def was_called(self) -> bool:
        """Whether this instance has ever called the peer."""
        return self.last_called_ms > NEVER_MS

    @property
    def last_two_way_ms(self) -> int:
        """Newest local time at which both directions are known to work."""
        return min(self.last_heartbeat_ms, self.last_delivered_ms)

    @property
    def last_seen_ms(self) -> int:
        """Newest local time at which any instance heard the peer."""
        return max(self.last_heartbeat_ms, self.last_relayed_ms)
