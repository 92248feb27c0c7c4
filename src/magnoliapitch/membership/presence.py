"""Log records of the own presence and of members that are gone."""

from __future__ import annotations

from typing import TYPE_CHECKING

from magnoliapitch.event import log_event
from magnoliapitch.journal.record import MemberLeave
from magnoliapitch.journal.record import MemberPresence
from magnoliapitch.membership.instance import InstanceRole
from magnoliapitch.membership.state import MemberState
from magnoliapitch.membership.topology import stable_hash


if TYPE_CHECKING:
    from collections.abc import Callable

    from magnoliapitch.clock import Clock
    from magnoliapitch.journal.journal import Journal
    from magnoliapitch.journal.pending_record_entry import PendingRecordEntry
    from magnoliapitch.membership.instance_cache import InstanceCache
    from magnoliapitch.membership.membership import Membership
    from magnoliapitch.membership.status import PeerStatus


CHECK_INTERVAL_MS = 1_000
PRESENCE_INTERVAL_MS = 10_000
GONE_AFTER_MS = 60_000
REMOTE_GONE_AFTER_MS = 900_000


class MembershipRecorder:
    """Appends presence records, and leave records for members now gone.

    A member is considered gone if the platform lists entry instances but not
    this one, and it has sent no heartbeat and appended no record for
    ``GONE_AFTER_MS``, or ``REMOTE_GONE_AFTER_MS`` in another zone. If it
    comes back nevertheless, the log shows that its incarnation has left,
    so it must join under a new one. Silence alone isn't enough: an
    instance that is partitioned from its peers and from the log still
    serves requests.

    :param on_superseded: called if the log says that this incarnation left.
    """

    def __init__(
        self,
        membership: Membership,
        journal: Journal,
        instance_cache: InstanceCache,
        clock: Clock,
        on_superseded: Callable[[], None],
    ) -> None:
        self._membership = membership
        self._journal = journal
        self._instance_cache = instance_cache
        self._clock = clock
        self._on_superseded = on_superseded
        self._pending_presence: PendingRecordEntry | None = None
        self._presence_queued_ms = clock.now_ms()
        self._pending_leaves_by_incarnation: dict[str, PendingRecordEntry] = {}
        # Start of the silence in local time, and the offset of the newest
        # record of the member at that time.
        self._silence_by_incarnation: dict[str, tuple[int, int]] = {}

    def step(self) -> int:
        """Append the records that are due.

        :return: milliseconds until the next step.
        """
        if self._membership.is_superseded():
            self._on_superseded()
            return CHECK_INTERVAL_MS
        now_ms = self._clock.now_ms()
        self._append_presence(now_ms)
        self._remove_gone(now_ms)
        return CHECK_INTERVAL_MS

    def _append_presence(self, now_ms: int) -> None:
        if now_ms - self._presence_queued_ms < PRESENCE_INTERVAL_MS:
            return
        if (
            self._pending_presence is not None
            and self._pending_presence.outcome is None
        ):
            return
        incarnation = self._membership.identity.incarnation
        self._pending_presence = self._journal.enqueue(
            MemberPresence(incarnation)
        )
        self._presence_queued_ms = now_ms

    def _remove_gone(self, now_ms: int) -> None:
        if (
            self._journal.follower.is_log_unavailable
            or not self._instance_cache.is_fresh
        ):
            self._silence_by_incarnation.clear()
            return
        for peer in self._membership.peers():
            if self._is_confirmed_gone(peer, now_ms) and self._is_responsible(
                peer
            ):
                self._append_leave(peer)

    def _is_confirmed_gone(self, peer: PeerStatus, now_ms: int) -> bool:
        incarnation = peer.join.incarnation
        with self._journal.locked_state() as state:
            member = state.members_by_incarnation.get(incarnation)
        if member is None:
            return False
        last_silence = self._silence_by_incarnation.get(incarnation)
        is_silent = peer.state in (MemberState.SUSPECT, MemberState.JOINING)
        is_listed = self._is_listed(peer.join.instance_id)
        if (
            last_silence is None
            or last_silence[1] != member.presence_offset
            or not is_silent
            or is_listed
        ):
            silence = (now_ms, member.presence_offset)
            self._silence_by_incarnation[incarnation] = silence
            return False
        gone_after_ms = GONE_AFTER_MS
        if peer.join.zone != self._membership.identity.zone:
            gone_after_ms = REMOTE_GONE_AFTER_MS
        return now_ms - last_silence[0] >= gone_after_ms

    def _is_listed(self, instance_id: str) -> bool:
        """Return whether the platform may still list an entry instance.

        An empty list says nothing about any instance.
        """
        entries = self._instance_cache.of_role(InstanceRole.ENTRY)
        ids = {item.instance_id for item in entries}
        return not ids or instance_id in ids

    def _is_responsible(self, peer: PeerStatus) -> bool:
        """Return whether this instance is to append a peer's leave record.

        In each zone, the live instance with the lowest hash is responsible.
        """
        own = self._membership.identity.incarnation
        incarnations = [
            item.join.incarnation for item in self._membership.live_in_zone()
        ]
        ranked = [
            stable_hash(peer.join.incarnation, incarnation)
            for incarnation in incarnations
        ]
        return stable_hash(peer.join.incarnation, own) < min(
            ranked, default=1 << 64
        )

    def _append_leave(self, peer: PeerStatus) -> None:
        incarnation = peer.join.incarnation
        pending = self._pending_leaves_by_incarnation.get(incarnation)
        if pending is not None and pending.outcome is None:
            return
        log_event(
            "member-removed",
            instance_id=peer.join.instance_id,
            incarnation=incarnation,
        )
        self._pending_leaves_by_incarnation = {
            other: item
            for other, item in self._pending_leaves_by_incarnation.items()
            if item.outcome is None
        }
        self._pending_leaves_by_incarnation[incarnation] = (
            self._journal.enqueue(MemberLeave(incarnation))
        )
