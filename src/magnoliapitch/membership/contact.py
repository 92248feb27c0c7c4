"""What was heard of one incarnation, directly and through others."""

from __future__ import annotations

from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from magnoliapitch.peer.message import Beat
    from magnoliapitch.peer.message import MemberInfo


NEVER_MS = -(1 << 40)


class Contact:
    """Newest news of one incarnation.

    Both directions are noted apart: in a one-way cut a peer can be heard
    that does not hear this instance.

    :ivar beat: newest heartbeat received from it.
    :ivar heard_ms: local time at which that arrived.
    :ivar reached_ms: local time at which it surely heard this instance.
    :ivar relayed_ms: local time at which any instance heard it.
    :ivar called_ms: local time of the last call to it.
    """

    def __init__(self) -> None:
        self.beat: Beat | None = None
        self.heard_ms = NEVER_MS
        self.reached_ms = NEVER_MS
        self.relayed_ms = NEVER_MS
        self.called_ms = NEVER_MS
        self.next_offset = 0

    def hear(self, beat: Beat, now_ms: int, own_incarnation: str) -> None:
        """Note a heartbeat; it tells when the sender heard this one."""
        self.beat = beat
        self.heard_ms = now_ms
        self.next_offset = max(self.next_offset, beat.next_offset)
        for member in beat.members:
            if member.incarnation == own_incarnation and member.direct:
                heard_ms = now_ms - member.age_ms
                self.reached_ms = max(self.reached_ms, heard_ms)

    def relay(self, member: MemberInfo, now_ms: int) -> None:
        """Note what another instance has heard of it."""
        self.relayed_ms = max(self.relayed_ms, now_ms - member.age_ms)
        self.next_offset = max(self.next_offset, member.next_offset)

    @property
    def is_known(self) -> bool:
        """Whether there was any sign of life."""
        return self.newest_ms > NEVER_MS

    @property
    def was_called(self) -> bool:
        """Whether this instance has called it."""
        return self.called_ms > NEVER_MS

    @property
    def two_way_ms(self) -> int:
        """Local time up to which both directions surely worked."""
        return min(self.heard_ms, self.reached_ms)

    @property
    def newest_ms(self) -> int:
        """Local time of the newest sign of life."""
        return max(self.heard_ms, self.relayed_ms)
