"""Heartbeats between entry instances and what they show."""

from __future__ import annotations

import threading

from typing import TYPE_CHECKING

from magnoliapitch.journal.record import MemberJoin
from magnoliapitch.membership.instance import InstanceRole
from magnoliapitch.membership.progress import AppliedEverywhere
from magnoliapitch.membership.progress import applied_everywhere
from magnoliapitch.membership.progress import own_zone_info
from magnoliapitch.membership.state import MemberState
from magnoliapitch.membership.table import AGE_MAX_MS
from magnoliapitch.membership.table import HEARTBEAT_INTERVAL_MS
from magnoliapitch.membership.table import MemberTable
from magnoliapitch.membership.topology import linked_members
from magnoliapitch.peer.message import Beat
from magnoliapitch.peer.message import UnitLoad
from magnoliapitch.peer.message import ZoneInfo


if TYPE_CHECKING:
    from magnoliapitch.clock import Clock
    from magnoliapitch.journal.journal import Journal
    from magnoliapitch.membership.fleet import Fleet
    from magnoliapitch.membership.identity import Identity
    from magnoliapitch.membership.status import PeerStatus
    from magnoliapitch.peer.link import PeerLink


CALL_TIMEOUT_MS = 500
NEAR_STATES = (MemberState.LIVE, MemberState.LEAVING)


class Membership:
    """Exchanges heartbeats with the zone and a few peers elsewhere.

    The journal's lock is never taken inside the own one.

    :ivar loads: free capacity of the own units, sent with heartbeats.
    :ivar leaving: whether this instance is going to stop.
    :ivar rounds: rounds of heartbeats since the first peer answered.
    """

    def __init__(
        self,
        identity: Identity,
        journal: Journal,
        clock: Clock,
        fleet: Fleet | None = None,
        seed_addresses: tuple[str, ...] = (),
    ) -> None:
        self.identity = identity
        self.loads: tuple[UnitLoad, ...] = ()
        self.leaving = False
        self.rounds = 0
        self._own = MemberJoin(*identity)
        self._journal = journal
        self._clock = clock
        self._fleet = fleet
        self._seed_addresses = seed_addresses
        self._table = MemberTable(identity, fleet)
        self._turn = 0
        self._lock = threading.Lock()

    def beat(self, addressee: str = "", *, whole_zone: bool = False) -> Beat:
        """Return the own heartbeat.

        :param addressee: incarnation that it is for; it learns when this
            instance heard it last.
        :param whole_zone: whether to name every member of the own zone.
        """
        next_offset = self._journal.next_offset
        own_zone = self._zone_info(next_offset, self._near())
        now_ms = self._clock.now_ms()
        with self._lock:
            table = self._table
            table.seen_offset = max(table.seen_offset, next_offset)
            return Beat(
                self.identity.instance_id,
                self.identity.incarnation,
                self.identity.zone,
                next_offset,
                self._log_age_ms(),
                self.leaving,
                self.loads,
                table.gossip(addressee, now_ms, whole_zone=whole_zone),
                self.identity.peer_address,
                table.seen_offset,
                self._journal.is_complete,
                (own_zone, *table.reports_in_turn(now_ms)),
            )

    def receive(self, beat: Beat) -> Beat:
        """Take in a peer's heartbeat and return the own one."""
        self._take(beat)
        return self.beat(beat.incarnation, whole_zone=not beat.complete)

    def heartbeat_step(self, link: PeerLink) -> int:
        """Exchange heartbeats with all that are due, at the same time.

        :return: milliseconds until the next round.
        """
        started_ms = self._clock.now_ms()

        def take(address: str, answer: Beat) -> None:  # noqa: ARG001
            self._take(answer, reached_ms=started_ms)

        link.heartbeat_all(self._due(started_ms), CALL_TIMEOUT_MS, take)
        with self._lock:
            self.rounds += self._table.has_contact
        elapsed_ms = self._clock.now_ms() - started_ms
        return max(HEARTBEAT_INTERVAL_MS - elapsed_ms, 1)

    def peers(self) -> tuple[PeerStatus, ...]:
        """Return every other member that is not gone."""
        return self._statuses(self._joins())

    def live_in_zone(self, zone: str = "") -> tuple[PeerStatus, ...]:
        """Return the live peers of a zone, by default the own one."""
        wanted = zone or self.identity.zone
        return tuple(
            peer
            for peer in self.peers()
            if peer.join.zone == wanted and peer.state is MemberState.LIVE
        )

    def state_of(self, incarnation: str) -> MemberState:
        """Return the state of any incarnation, also the own one."""
        if incarnation == self.identity.incarnation:
            return MemberState.LEAVING if self.leaving else MemberState.LIVE
        for peer in self.peers():
            if peer.join.incarnation == incarnation:
                return peer.state
        return MemberState.GONE

    def is_superseded(self) -> bool:
        """Return whether the log names this incarnation as gone."""
        with self._journal.locked_state() as state:
            own = state.members_by_incarnation.get(self.identity.incarnation)
            return own is not None and own.left

    def applied_everywhere(self) -> AppliedEverywhere:
        """Return up to which offset the log is in force everywhere."""
        peers = self.peers()
        own = self._zone_info(self._journal.next_offset, peers)
        now_ms = self._clock.now_ms()
        with self._lock:
            reports = {item.zone: item for item in self._table.reports(now_ms)}
        silent = [
            peer.join.instance_id
            for peer in peers
            if peer.join.zone == own.zone and peer.state not in NEAR_STATES
        ]
        zones = {peer.join.zone for peer in peers}
        return applied_everywhere(own, reports, silent, zones)

    def reachable(self) -> tuple[tuple[PeerStatus, Beat], ...]:
        """Return the peers that hear and are heard, with their beats."""
        found = []
        for peer in self.peers():
            with self._lock:
                beat = self._table.contact(peer.join.incarnation).beat
            if beat is not None and peer.state in NEAR_STATES:
                found.append((peer, beat))
        return tuple(found)

    def dump(self) -> dict[str, object]:
        """Return the membership's part of the state dump."""
        return {
            "identity": self.identity._asdict(),
            "is_superseded": self.is_superseded(),
            "applied_everywhere": self.applied_everywhere()._asdict(),
            "peers": [
                {
                    "instance_id": peer.join.instance_id,
                    "incarnation": peer.join.incarnation,
                    "zone": peer.join.zone,
                    "state": peer.state.value,
                    "is_one_way": peer.is_one_way,
                    "next_offset": peer.next_offset,
                }
                for peer in self.peers()
            ],
        }

    def _take(self, beat: Beat, reached_ms: int | None = None) -> None:
        with self._lock:
            self._table.take(beat, self._clock.now_ms(), reached_ms)

    def _near(self) -> tuple[PeerStatus, ...]:
        """Return the peers of the own zone."""
        zone = self.identity.zone
        return self._statuses(
            [join for join in self._joins() if join.zone == zone]
        )

    def _statuses(self, joins: list[MemberJoin]) -> tuple[PeerStatus, ...]:
        now_ms = self._clock.now_ms()
        with self._lock:
            return tuple(self._table.status(join, now_ms) for join in joins)

    def _joins(self) -> list[MemberJoin]:
        """Return the other members, from the log and from heartbeats."""
        with self._journal.locked_state() as state:
            members = dict(state.members_by_incarnation)
        with self._lock:
            joins = self._table.joins()
        for name, member in members.items():
            if member.left:
                joins.pop(name, None)
            else:
                joins[name] = member.join
        joins.pop(self.identity.incarnation, None)
        return list(joins.values())

    def _due(self, now_ms: int) -> dict[str, Beat]:
        """Return the heartbeats of this round by address."""
        with self._journal.locked_state() as state:
            members = dict(state.members_by_incarnation)
        joins = self._joins()
        due: dict[str, str] = {}
        with self._lock:
            self._turn += 1
            self._table.forget(members, now_ms)
            failing = self._table.failing(now_ms)
            for join in linked_members(self._own, joins, failing):
                if self._table.is_due(join, now_ms, self._turn):
                    self._table.contact(join.incarnation).called_ms = now_ms
                    due[join.peer_address] = join.incarnation
        known = {join.peer_address for join in joins}
        for address in self._listed_addresses():
            if address not in known:
                due.setdefault(address, "")
        due.pop(self.identity.peer_address, None)
        due.pop("", None)
        return {
            address: self.beat(incarnation)
            for address, incarnation in due.items()
        }

    def _listed_addresses(self) -> tuple[str, ...]:
        if self._fleet is None:
            return self._seed_addresses
        listed = self._fleet.of_role(InstanceRole.ENTRY, self.identity.zone)
        return (*self._seed_addresses, *(item.url for item in listed))

    def _zone_info(
        self, next_offset: int, peers: tuple[PeerStatus, ...]
    ) -> ZoneInfo:
        zone = self.identity.zone
        near = [peer for peer in peers if peer.join.zone == zone]
        return own_zone_info(
            zone, self.identity.instance_id, next_offset, near
        )

    def _log_age_ms(self) -> int:
        read_ms = self._journal.last_caught_up_ms
        if read_ms is None:
            return AGE_MAX_MS
        return min(self._clock.now_ms() - read_ms, AGE_MAX_MS)
