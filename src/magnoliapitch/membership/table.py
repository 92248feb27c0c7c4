"""Everything that heartbeats have told of other instances."""

from __future__ import annotations

import itertools

from typing import TYPE_CHECKING
from typing import TypeVar

from magnoliapitch.journal.record import MemberJoin
from magnoliapitch.membership.contact import Contact
from magnoliapitch.membership.instance import InstanceState
from magnoliapitch.membership.state import MemberState
from magnoliapitch.membership.status import PeerStatus
from magnoliapitch.peer.message import MemberInfo
from magnoliapitch.peer.message import ZoneInfo


if TYPE_CHECKING:
    from collections.abc import Mapping

    from magnoliapitch.journal.state import Member
    from magnoliapitch.membership.fleet import Fleet
    from magnoliapitch.membership.identity import Identity
    from magnoliapitch.peer.message import Beat


ItemT = TypeVar("ItemT")

HEARTBEAT_INTERVAL_MS = 1_000
REMOTE_ROUNDS = 2
SUSPECT_AFTER_MS = 2_500
REMOTE_SUSPECT_AFTER_MS = 6_000
RELAYED_SUSPECT_AFTER_MS = 15_000
FORGET_AFTER_MS = 60_000
GOSSIP_MEMBERS = 3
GOSSIP_ZONES = 8
AGE_MAX_MS = 2**32 - 1


class MemberTable:
    """Contacts and zone reports; its user holds a lock around each call.

    :ivar seen_offset: highest next offset that anyone has heard of.
    """

    def __init__(self, identity: Identity, fleet: Fleet | None) -> None:
        self.seen_offset = 0
        self._identity = identity
        self._fleet = fleet
        self._contacts_by_incarnation: dict[str, Contact] = {}
        self._joins_by_incarnation: dict[str, MemberJoin] = {}
        self._reports_by_zone: dict[str, tuple[int, ZoneInfo]] = {}
        self._turn = itertools.count()

    @property
    def has_contact(self) -> bool:
        """Whether any peer was ever heard."""
        return any(
            contact.beat is not None
            for contact in self._contacts_by_incarnation.values()
        )

    def contact(self, incarnation: str) -> Contact:
        """Return what is known of an incarnation."""
        return self._contacts_by_incarnation.setdefault(incarnation, Contact())

    def take(self, beat: Beat, now_ms: int, reached_ms: int | None) -> None:
        """Take in a heartbeat.

        :param reached_ms: when the sender heard this instance, if the
            heartbeat answers one.
        """
        if beat.incarnation == self._identity.incarnation:
            return
        contact = self.contact(beat.incarnation)
        contact.hear(beat, now_ms, self._identity.incarnation)
        if reached_ms is not None:
            contact.reached_ms = max(contact.reached_ms, reached_ms)
        self._joins_by_incarnation[beat.incarnation] = MemberJoin(
            beat.instance_id, beat.incarnation, beat.zone, beat.peer_address
        )
        self.seen_offset = max(
            self.seen_offset, beat.next_offset, beat.seen_offset
        )
        for member in beat.members:
            self._take_member(member, now_ms)
        for report in beat.zones:
            self._take_report(report, now_ms)

    def joins(self) -> dict[str, MemberJoin]:
        """Return who was heard of, by incarnation."""
        return dict(self._joins_by_incarnation)

    def forget(self, members: Mapping[str, Member], now_ms: int) -> None:
        """Drop who has left, and strangers that are silent.

        :param members: incarnations that the log names.
        """
        for name, contact in tuple(self._contacts_by_incarnation.items()):
            member = members.get(name)
            is_left = member is not None and member.left
            is_silent = now_ms - contact.newest_ms > FORGET_AFTER_MS
            if is_left or is_silent:
                self._joins_by_incarnation.pop(name, None)
            if is_left or (is_silent and member is None):
                del self._contacts_by_incarnation[name]

    def status(self, join: MemberJoin, now_ms: int) -> PeerStatus:
        """Return what other parts see of a member."""
        contact = self.contact(join.incarnation)
        beat = contact.beat
        return PeerStatus(
            join,
            self._state(join, contact, now_ms),
            contact.next_offset,
            contact.heard_ms if beat else -1,
            beat.loads if beat else (),
            self._is_one_way(join, contact, now_ms),
        )

    def is_due(self, join: MemberJoin, now_ms: int, turn: int) -> bool:
        """Return whether to call a member in this round.

        One exchange serves both sides, so of a pair only one calls as
        long as that works. Links between zones are used in every second
        round.
        """
        contact = self.contact(join.incarnation)
        silent_ms = now_ms - contact.two_way_ms
        if silent_ms > 2 * HEARTBEAT_INTERVAL_MS:
            return True
        if join.zone != self._identity.zone:
            return turn % REMOTE_ROUNDS == 0
        return self._identity.incarnation < join.incarnation

    def failing(self, now_ms: int) -> set[str]:
        """Return the incarnations that were called and did not answer."""
        return {
            name
            for name, contact in self._contacts_by_incarnation.items()
            if contact.was_called
            and now_ms - contact.two_way_ms > REMOTE_SUSPECT_AFTER_MS
        }

    def gossip(
        self, addressee: str, now_ms: int, *, whole_zone: bool
    ) -> tuple[MemberInfo, ...]:
        """Return news of the addressee and of some others in turn."""
        names = list(self._joins_by_incarnation)
        chosen = [
            name
            for name in names
            if self._joins_by_incarnation[name].zone == self._identity.zone
        ]
        if not whole_zone:
            chosen = _in_turn(names, GOSSIP_MEMBERS, next(self._turn))
        if addressee in self._joins_by_incarnation:
            chosen = [addressee, *(n for n in chosen if n != addressee)]
        return tuple(self._member_info(name, now_ms) for name in chosen)

    def reports(self, now_ms: int) -> list[ZoneInfo]:
        """Return the newest report of each other zone with its age."""
        return [
            report._replace(age_ms=min(now_ms - reported_ms, AGE_MAX_MS))
            for reported_ms, report in self._reports_by_zone.values()
        ]

    def reports_in_turn(self, now_ms: int) -> list[ZoneInfo]:
        """Return some reports of other zones, others with each turn."""
        return _in_turn(self.reports(now_ms), GOSSIP_ZONES, next(self._turn))

    def _take_member(self, member: MemberInfo, now_ms: int) -> None:
        if member.incarnation == self._identity.incarnation:
            return
        self.contact(member.incarnation).relay(member, now_ms)
        self._joins_by_incarnation.setdefault(
            member.incarnation,
            MemberJoin(
                member.instance_id,
                member.incarnation,
                member.zone,
                member.peer_address,
            ),
        )

    def _take_report(self, report: ZoneInfo, now_ms: int) -> None:
        if report.zone == self._identity.zone:
            return
        reported_ms = now_ms - report.age_ms
        known = self._reports_by_zone.get(report.zone)
        if known is None or known[0] < reported_ms:
            self._reports_by_zone[report.zone] = (reported_ms, report)

    def _state(
        self, join: MemberJoin, contact: Contact, now_ms: int
    ) -> MemberState:
        if not contact.is_known:
            return MemberState.JOINING
        if not self._is_near(join, contact, now_ms):
            return MemberState.SUSPECT
        if contact.beat is not None and contact.beat.leaving:
            return MemberState.LEAVING
        listed = self._fleet.get(join.instance_id) if self._fleet else None
        if listed is not None and listed.state is InstanceState.LEAVING:
            return MemberState.LEAVING
        return MemberState.LIVE

    def _is_near(
        self, join: MemberJoin, contact: Contact, now_ms: int
    ) -> bool:
        if now_ms - contact.two_way_ms <= self._bound_ms(join):
            return True
        if join.zone == self._identity.zone:
            return False
        if contact.was_called and self._is_one_way(join, contact, now_ms):
            return False
        return now_ms - contact.relayed_ms <= RELAYED_SUSPECT_AFTER_MS

    def _is_one_way(
        self, join: MemberJoin, contact: Contact, now_ms: int
    ) -> bool:
        bound_ms = self._bound_ms(join)
        is_heard = now_ms - contact.heard_ms <= bound_ms
        return is_heard and now_ms - contact.reached_ms > bound_ms

    def _bound_ms(self, join: MemberJoin) -> int:
        if join.zone == self._identity.zone:
            return SUSPECT_AFTER_MS
        return REMOTE_SUSPECT_AFTER_MS

    def _member_info(self, name: str, now_ms: int) -> MemberInfo:
        join = self._joins_by_incarnation[name]
        contact = self.contact(name)
        is_direct = now_ms - contact.heard_ms <= RELAYED_SUSPECT_AFTER_MS
        newest_ms = contact.heard_ms if is_direct else contact.newest_ms
        return MemberInfo(
            join.instance_id,
            join.incarnation,
            join.zone,
            join.peer_address,
            contact.next_offset,
            min(now_ms - newest_ms, AGE_MAX_MS),
            is_direct,
        )


def _in_turn(items: list[ItemT], count: int, turn: int) -> list[ItemT]:
    if len(items) <= count:
        return items
    start = turn * count % len(items)
    return (items + items)[start : start + count]
