"""State of the other instances as collected from heartbeats."""

from __future__ import annotations

import itertools

from typing import TYPE_CHECKING
from typing import TypeVar

from magnoliapitch.journal.record import MemberJoin
from magnoliapitch.membership.instance import InstanceState
from magnoliapitch.membership.liveness import PeerLiveness
from magnoliapitch.membership.state import MemberState
from magnoliapitch.membership.status import PeerStatus
from magnoliapitch.peer.message import MemberInfo
from magnoliapitch.peer.message import ZoneInfo


if TYPE_CHECKING:
    from collections.abc import Mapping

    from magnoliapitch.journal.state import Member
    from magnoliapitch.membership.identity import Identity
    from magnoliapitch.membership.instance_cache import InstanceCache
    from magnoliapitch.peer.message import Heartbeat


ItemT = TypeVar("ItemT")

HEARTBEAT_INTERVAL_MS = 1_000
ROUNDS_PER_REMOTE_HEARTBEAT = 2
SUSPECT_AFTER_MS = 2_500
REMOTE_SUSPECT_AFTER_MS = 6_000
RELAYED_SUSPECT_AFTER_MS = 15_000
FORGET_AFTER_MS = 60_000
MAX_GOSSIP_MEMBERS = 3
MAX_GOSSIP_ZONES = 8
AGE_MAX_MS = 2**32 - 1  # ages are 32-bit integers in messages


class MemberTable:
    """Liveness of all peers and the newest report of each other zone.

    Not thread-safe: callers hold a lock around each call.

    :ivar seen_offset: highest next log offset that any heartbeat named.
    """

    def __init__(
        self, identity: Identity, instance_cache: InstanceCache | None
    ) -> None:
        self.seen_offset = 0
        self._identity = identity
        self._instance_cache = instance_cache
        self._liveness_by_incarnation: dict[str, PeerLiveness] = {}
        self._joins_by_incarnation: dict[str, MemberJoin] = {}
        self._reports_by_zone: dict[str, tuple[int, ZoneInfo]] = {}
        self._rotation = itertools.count()

    @property
    def has_heard_peer(self) -> bool:
        """Whether any heartbeat has arrived from any peer."""
        return any(
            liveness.heartbeat is not None
            for liveness in self._liveness_by_incarnation.values()
        )

    def liveness(self, incarnation: str) -> PeerLiveness:
        """Return the liveness of an incarnation, creating it if needed."""
        return self._liveness_by_incarnation.setdefault(
            incarnation, PeerLiveness()
        )

    def record_heartbeat(
        self, heartbeat: Heartbeat, now_ms: int, delivered_ms: int | None
    ) -> None:
        """Record a heartbeat and all that it reports of others.

        :param delivered_ms: local time at which this instance sent the
            heartbeat that this one answers, or None.
        """
        if heartbeat.incarnation == self._identity.incarnation:
            return
        liveness = self.liveness(heartbeat.incarnation)
        liveness.record_heartbeat(
            heartbeat, now_ms, self._identity.incarnation
        )
        if delivered_ms is not None:
            liveness.last_delivered_ms = max(
                liveness.last_delivered_ms, delivered_ms
            )
        self._joins_by_incarnation[heartbeat.incarnation] = MemberJoin(
            heartbeat.instance_id,
            heartbeat.incarnation,
            heartbeat.zone,
            heartbeat.peer_address,
        )
        self.seen_offset = max(
            self.seen_offset, heartbeat.next_offset, heartbeat.seen_offset
        )
        for member in heartbeat.members:
            self._record_member(member, now_ms)
        for report in heartbeat.zones:
            self._record_report(report, now_ms)

    def joins(self) -> dict[str, MemberJoin]:
        """Return the join records of all known peers, by incarnation."""
        return dict(self._joins_by_incarnation)

    def forget(self, members: Mapping[str, Member], now_ms: int) -> None:
        """Drop peers that have left or are silent for too long.

        Silent members of the log keep their liveness entry.

        :param members: members in the log, by incarnation.
        """
        for incarnation, liveness in tuple(
            self._liveness_by_incarnation.items()
        ):
            member = members.get(incarnation)
            has_left = member is not None and member.left
            is_silent = now_ms - liveness.last_seen_ms > FORGET_AFTER_MS
            if has_left or is_silent:
                self._joins_by_incarnation.pop(incarnation, None)
            if has_left or (is_silent and member is None):
                del self._liveness_by_incarnation[incarnation]

    def status(self, join: MemberJoin, now_ms: int) -> PeerStatus:
        """Return the status of a member."""
        liveness = self.liveness(join.incarnation)
        heartbeat = liveness.heartbeat
        return PeerStatus(
            join,
            self._state(join, liveness, now_ms),
            liveness.next_offset,
            liveness.last_heartbeat_ms if heartbeat else -1,
            heartbeat.loads if heartbeat else (),
            self._is_one_way(join, liveness, now_ms),
        )

    def is_due(self, join: MemberJoin, now_ms: int, round_number: int) -> bool:
        """Return whether to send a member a heartbeat in this round.

        Each call carries a heartbeat in both directions. Within a zone
        only the instance with the lower incarnation calls, as long as its
        calls succeed. Heartbeats to other zones are sent only every
        second round. Failing links are tried in every round.
        """
        liveness = self.liveness(join.incarnation)
        silent_ms = now_ms - liveness.last_two_way_ms
        if silent_ms > 2 * HEARTBEAT_INTERVAL_MS:
            return True
        if join.zone != self._identity.zone:
            return round_number % ROUNDS_PER_REMOTE_HEARTBEAT == 0
        return self._identity.incarnation < join.incarnation

    def failing(self, now_ms: int) -> set[str]:
        """Return the incarnations that were called without success.

        These have had no two-way contact for ``REMOTE_SUSPECT_AFTER_MS``.
        """
        return {
            incarnation
            for incarnation, liveness in self._liveness_by_incarnation.items()
            if liveness.was_called
            and now_ms - liveness.last_two_way_ms > REMOTE_SUSPECT_AFTER_MS
        }

    def gossip(
        self, recipient: str, now_ms: int, *, whole_zone: bool
    ) -> tuple[MemberInfo, ...]:
        """Return what to tell a peer about itself and other members.

        :param recipient: incarnation of the peer; comes first if known.
        :param whole_zone: whether to include the whole own zone rather
            than a few members that change with each call.
        """
        incarnations = list(self._joins_by_incarnation)
        chosen = [
            incarnation
            for incarnation in incarnations
            if self._joins_by_incarnation[incarnation].zone
            == self._identity.zone
        ]
        if not whole_zone:
            chosen = _rotating_part(
                incarnations, MAX_GOSSIP_MEMBERS, next(self._rotation)
            )
        if recipient in self._joins_by_incarnation:
            chosen = [recipient, *(n for n in chosen if n != recipient)]
        return tuple(
            self._member_info(incarnation, now_ms) for incarnation in chosen
        )

    def zone_reports(self, now_ms: int) -> list[ZoneInfo]:
        """Return the newest report of each other zone with its age."""
        return [
            report._replace(age_ms=min(now_ms - reported_ms, AGE_MAX_MS))
            for reported_ms, report in self._reports_by_zone.values()
        ]

    def rotating_zone_reports(self, now_ms: int) -> list[ZoneInfo]:
        """Return a few reports of other zones, different with each call."""
        return _rotating_part(
            self.zone_reports(now_ms), MAX_GOSSIP_ZONES, next(self._rotation)
        )

    def _record_member(self, member: MemberInfo, now_ms: int) -> None:
        if member.incarnation == self._identity.incarnation:
            return
        self.liveness(member.incarnation).record_relayed(member, now_ms)
        self._joins_by_incarnation.setdefault(
            member.incarnation,
            MemberJoin(
                member.instance_id,
                member.incarnation,
                member.zone,
                member.peer_address,
            ),
        )

    def _record_report(self, report: ZoneInfo, now_ms: int) -> None:
        if report.zone == self._identity.zone:
            return
        reported_ms = now_ms - report.age_ms
        current = self._reports_by_zone.get(report.zone)
        if current is None or current[0] < reported_ms:
            self._reports_by_zone[report.zone] = (reported_ms, report)

    def _state(
        self, join: MemberJoin, liveness: PeerLiveness, now_ms: int
    ) -> MemberState:
        if not liveness.was_seen:
            return MemberState.JOINING
        if not self._is_responsive(join, liveness, now_ms):
            return MemberState.SUSPECT
        if liveness.heartbeat is not None and liveness.heartbeat.leaving:
            return MemberState.LEAVING
        listed = (
            self._instance_cache.get(join.instance_id)
            if self._instance_cache
            else None
        )
        if listed is not None and listed.state is InstanceState.LEAVING:
            return MemberState.LEAVING
        return MemberState.LIVE

    def _is_responsive(
        self, join: MemberJoin, liveness: PeerLiveness, now_ms: int
    ) -> bool:
        if now_ms - liveness.last_two_way_ms <= self._suspect_after_ms(join):
            return True
        if join.zone == self._identity.zone:
            return False
        if liveness.was_called and self._is_one_way(join, liveness, now_ms):
            return False
        return now_ms - liveness.last_relayed_ms <= RELAYED_SUSPECT_AFTER_MS

    def _is_one_way(
        self, join: MemberJoin, liveness: PeerLiveness, now_ms: int
    ) -> bool:
        suspect_after_ms = self._suspect_after_ms(join)
        is_heard = now_ms - liveness.last_heartbeat_ms <= suspect_after_ms
        return (
            is_heard and now_ms - liveness.last_delivered_ms > suspect_after_ms
        )

    def _suspect_after_ms(self, join: MemberJoin) -> int:
        if join.zone == self._identity.zone:
            return SUSPECT_AFTER_MS
        return REMOTE_SUSPECT_AFTER_MS

    def _member_info(self, incarnation: str, now_ms: int) -> MemberInfo:
        join = self._joins_by_incarnation[incarnation]
        liveness = self.liveness(incarnation)
        is_direct = (
            now_ms - liveness.last_heartbeat_ms <= RELAYED_SUSPECT_AFTER_MS
        )
        last_seen_ms = (
            liveness.last_heartbeat_ms if is_direct else liveness.last_seen_ms
        )
        return MemberInfo(
            join.instance_id,
            join.incarnation,
            join.zone,
            join.peer_address,
            liveness.next_offset,
            min(now_ms - last_seen_ms, AGE_MAX_MS),
            is_direct,
        )


def _rotating_part(
    items: list[ItemT], count: int, rotation: int
) -> list[ItemT]:
    if len(items) <= count:
        return items
    start = rotation * count % len(items)
    return (items + items)[start : start + count]
