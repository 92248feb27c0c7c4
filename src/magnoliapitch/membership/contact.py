"""What was heard of one incarnation, directly and through others."""

from __future__ import annotations

from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from magnoliapitch.peer.message import Heartbeat
    from magnoliapitch.peer.message import MemberInfo


NEVER_MS = -(1 << 40)


class Contact:
    """Newest news of one incarnation.

    Both directions are noted apart: in a one-way cut a peer can be heard
    that does not hear this instance.

    :ivar heartbeat: newest heartbeat received from it.
    :ivar last_heartbeat_ms: local time at which that arrived.
    :ivar last_delivered_ms: local time at which it surely heard this instance.
    :ivar last_relayed_ms: local time at which any instance heard it.
    :ivar last_called_ms: local time of the last call to it.
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
        """Note a heartbeat; it tells when the sender heard this one."""
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
        """Note what another instance has heard of it."""
        self.last_relayed_ms = max(
            self.last_relayed_ms, now_ms - member.age_ms
        )
        self.next_offset = max(self.next_offset, member.next_offset)

    @property
    def was_seen(self) -> bool:
        """Whether there was any sign of life."""
        return self.last_seen_ms > NEVER_MS

    @property
    def was_called(self) -> bool:
        """Whether this instance has called it."""
        return self.last_called_ms > NEVER_MS

    @property
    def last_two_way_ms(self) -> int:
        """Local time up to which both directions surely worked."""
        return min(self.last_heartbeat_ms, self.last_delivered_ms)

    @property
    def last_seen_ms(self) -> int:
        """Local time of the newest sign of life."""
        return max(self.last_heartbeat_ms, self.last_relayed_ms)
