"""Keeps the members in the log true: presence and departures."""

from __future__ import annotations

from typing import TYPE_CHECKING

from magnoliapitch.event import log_event
from magnoliapitch.journal.record import MemberLeave
from magnoliapitch.journal.record import MemberPresence
from magnoliapitch.membership.instance import InstanceRole
from magnoliapitch.membership.state import MemberState
from magnoliapitch.membership.topology import hash_of


if TYPE_CHECKING:
    from collections.abc import Callable

    from magnoliapitch.clock import Clock
    from magnoliapitch.journal.journal import Journal
    from magnoliapitch.journal.pending_record_entry import PendingRecordEntry
    from magnoliapitch.membership.fleet import Fleet
    from magnoliapitch.membership.membership import Membership
    from magnoliapitch.membership.status import PeerStatus


CHECK_INTERVAL_MS = 1_000
PRESENCE_INTERVAL_MS = 10_000
GONE_AFTER_MS = 60_000
REMOTE_GONE_AFTER_MS = 900_000


class PresenceKeeper:
    """Appends the own presence, and leaves for members surely gone.

    A member is surely gone when the platform lists entries but not this
    one, and it was neither heard nor has appended anything for long. If it
    returns all the same, it finds its incarnation left and must join as
    another one. Silence alone proves nothing: an instance that is cut from
    its peers and from the log still serves.
    """

    def __init__(
        self,
        membership: Membership,
        journal: Journal,
        fleet: Fleet,
        clock: Clock,
        on_superseded: Callable[[], None],
    ) -> None:
        self._membership = membership
        self._journal = journal
        self._fleet = fleet
        self._clock = clock
        self._on_superseded = on_superseded
        self._presence: PendingRecordEntry | None = None
        self._presence_ms = clock.now_ms()
        self._leaves_by_incarnation: dict[str, PendingRecordEntry] = {}
        self._news_by_incarnation: dict[str, tuple[int, int]] = {}

    def step(self) -> int:
        """Append what is due; return milliseconds until the next step."""
        if self._membership.is_superseded():
            self._on_superseded()
            return CHECK_INTERVAL_MS
        now_ms = self._clock.now_ms()
        self._announce(now_ms)
        self._remove_gone(now_ms)
        return CHECK_INTERVAL_MS

    def _announce(self, now_ms: int) -> None:
        if now_ms - self._presence_ms < PRESENCE_INTERVAL_MS:
            return
        if self._presence is not None and self._presence.outcome is None:
            return
        incarnation = self._membership.identity.incarnation
        self._presence = self._journal.enqueue(MemberPresence(incarnation))
        self._presence_ms = now_ms

    def _remove_gone(self, now_ms: int) -> None:
        if (
            self._journal.follower.is_log_unavailable
            or not self._fleet.is_fresh
        ):
            self._news_by_incarnation.clear()
            return
        for peer in self._membership.peers():
            if self._is_surely_gone(peer, now_ms) and self._is_turn(peer):
                self._leave(peer)

    def _is_surely_gone(self, peer: PeerStatus, now_ms: int) -> bool:
        incarnation = peer.join.incarnation
        with self._journal.locked_state() as state:
            member = state.members_by_incarnation.get(incarnation)
        if member is None:
            return False
        known = self._news_by_incarnation.get(incarnation)
        is_silent = peer.state in (MemberState.SUSPECT, MemberState.JOINING)
        is_listed = self._is_listed(peer.join.instance_id)
        if (
            known is None
            or known[1] != member.presence_offset
            or not is_silent
            or is_listed
        ):
            news = (now_ms, member.presence_offset)
            self._news_by_incarnation[incarnation] = news
            return False
        bound_ms = GONE_AFTER_MS
        if peer.join.zone != self._membership.identity.zone:
            bound_ms = REMOTE_GONE_AFTER_MS
        return now_ms - known[0] >= bound_ms

    def _is_listed(self, instance_id: str) -> bool:
        """Return whether the platform may still know an entry."""
        entries = self._fleet.of_role(InstanceRole.ENTRY)
        ids = {item.instance_id for item in entries}
        return not ids or instance_id in ids

    def _is_turn(self, peer: PeerStatus) -> bool:
        """Return whether this instance is the one of its zone to act."""
        own = self._membership.identity.incarnation
        names = [
            item.join.incarnation for item in self._membership.live_in_zone()
        ]
        ranked = [hash_of(peer.join.incarnation, name) for name in names]
        return hash_of(peer.join.incarnation, own) < min(
            ranked, default=1 << 64
        )

    def _leave(self, peer: PeerStatus) -> None:
        incarnation = peer.join.incarnation
        pending = self._leaves_by_incarnation.get(incarnation)
        if pending is not None and pending.outcome is None:
            return
        log_event(
            "member-removed",
            instance_id=peer.join.instance_id,
            incarnation=incarnation,
        )
        self._leaves_by_incarnation = {
            name: item
            for name, item in self._leaves_by_incarnation.items()
            if item.outcome is None
        }
        self._leaves_by_incarnation[incarnation] = self._journal.enqueue(
            MemberLeave(incarnation)
        )
