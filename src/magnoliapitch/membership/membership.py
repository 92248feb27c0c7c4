"""Heartbeats between entry instances and the states they reveal."""

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
from magnoliapitch.peer.message import Heartbeat
from magnoliapitch.peer.message import UnitLoad
from magnoliapitch.peer.message import ZoneInfo


if TYPE_CHECKING:
    from magnoliapitch.clock import Clock
    from magnoliapitch.journal.journal import Journal
    from magnoliapitch.membership.identity import Identity
    from magnoliapitch.membership.instance_cache import InstanceCache
    from magnoliapitch.membership.status import PeerStatus
    from magnoliapitch.peer.link import PeerLink


CALL_TIMEOUT_MS = 500
RESPONSIVE_STATES = (MemberState.LIVE, MemberState.LEAVING)


class Membership:
    """Exchanges heartbeats with the own zone and a few remote peers.

    Lock order: the journal's lock is never acquired while this object's
    lock is held.

    :param instance_cache: lists the entry instances to contact, if there is
        one.
    :param seed_addresses: ``IP:PORT`` of peers to contact even if not listed.
    :ivar loads: free capacity of the own units, sent with heartbeats.
    :ivar leaving: whether this instance is about to stop.
    :ivar completed_rounds: number of rounds of heartbeats completed since
        the first peer was heard.
    """

    def __init__(
        self,
        identity: Identity,
        journal: Journal,
        clock: Clock,
        instance_cache: InstanceCache | None = None,
        seed_addresses: tuple[str, ...] = (),
    ) -> None:
        self.identity = identity
        self.loads: tuple[UnitLoad, ...] = ()
        self.leaving = False
        self.completed_rounds = 0
        self._own_join = MemberJoin(*identity)
        self._journal = journal
        self._clock = clock
        self._instance_cache = instance_cache
        self._seed_addresses = seed_addresses
        self._table = MemberTable(identity, instance_cache)
        self._round = 0
        self._lock = threading.Lock()

    def own_heartbeat(
        self, recipient: str = "", *, whole_zone: bool = False
    ) -> Heartbeat:
        """Build a heartbeat of this instance.

        :param recipient: incarnation of the receiver, empty if unknown; the
            heartbeat tells it when this instance last heard it.
        :param whole_zone: whether to list every member of the own zone.
        """
        next_offset = self._journal.next_offset
        own_zone = self._zone_info(next_offset, self._zone_peers())
        now_ms = self._clock.now_ms()
        with self._lock:
            table = self._table
            table.seen_offset = max(table.seen_offset, next_offset)
            return Heartbeat(
                self.identity.instance_id,
                self.identity.incarnation,
                self.identity.zone,
                next_offset,
                self._log_age_ms(),
                self.leaving,
                self.loads,
                table.gossip(recipient, now_ms, whole_zone=whole_zone),
                self.identity.peer_address,
                table.seen_offset,
                self._journal.is_complete,
                (own_zone, *table.rotating_zone_reports(now_ms)),
            )

    def handle_heartbeat(self, heartbeat: Heartbeat) -> Heartbeat:
        """Record a peer's heartbeat and answer with one of this instance."""
        self._record_heartbeat(heartbeat)
        return self.own_heartbeat(
            heartbeat.incarnation, whole_zone=not heartbeat.complete
        )

    def heartbeat_step(self, link: PeerLink) -> int:
        """Exchange heartbeats with all peers that are due, concurrently.

        :return: milliseconds until the next round.
        """
        started_ms = self._clock.now_ms()

        def record_answer(address: str, answer: Heartbeat) -> None:  # noqa: ARG001
            self._record_heartbeat(answer, delivered_ms=started_ms)

        link.heartbeat_all(
            self._due_heartbeats(started_ms), CALL_TIMEOUT_MS, record_answer
        )
        with self._lock:
            self.completed_rounds += self._table.has_heard_peer
        elapsed_ms = self._clock.now_ms() - started_ms
        return max(HEARTBEAT_INTERVAL_MS - elapsed_ms, 1)

    def peers(self) -> tuple[PeerStatus, ...]:
        """Return the status of every other member that has not left."""
        return self._statuses(self._joins())

    def live_in_zone(self, zone: str = "") -> tuple[PeerStatus, ...]:
        """Return the live peers in a zone, by default in the own zone."""
        wanted = zone or self.identity.zone
        return tuple(
            peer
            for peer in self.peers()
            if peer.join.zone == wanted and peer.state is MemberState.LIVE
        )

    def state_of(self, incarnation: str) -> MemberState:
        """Return the state of an incarnation, also of this instance's own."""
        if incarnation == self.identity.incarnation:
            return MemberState.LEAVING if self.leaving else MemberState.LIVE
        for peer in self.peers():
            if peer.join.incarnation == incarnation:
                return peer.state
        return MemberState.GONE

    def is_superseded(self) -> bool:
        """Return whether the log records that this incarnation has left."""
        with self._journal.locked_state() as state:
            own = state.members_by_incarnation.get(self.identity.incarnation)
            return own is not None and own.left

    def applied_everywhere(self) -> AppliedEverywhere:
        """Return up to which offset all instances have applied the log."""
        peers = self.peers()
        own = self._zone_info(self._journal.next_offset, peers)
        now_ms = self._clock.now_ms()
        with self._lock:
            zone_reports = {
                item.zone: item for item in self._table.zone_reports(now_ms)
            }
        silent = [
            peer.join.instance_id
            for peer in peers
            if peer.join.zone == own.zone
            and peer.state not in RESPONSIVE_STATES
        ]
        zones = {peer.join.zone for peer in peers}
        return applied_everywhere(own, zone_reports, silent, zones)

    def reachable(self) -> tuple[tuple[PeerStatus, Heartbeat], ...]:
        """Return the live and leaving peers with their last heartbeats."""
        found = []
        for peer in self.peers():
            with self._lock:
                heartbeat = self._table.liveness(
                    peer.join.incarnation
                ).heartbeat
            if heartbeat is not None and peer.state in RESPONSIVE_STATES:
                found.append((peer, heartbeat))
        return tuple(found)

    def dump(self) -> dict[str, object]:
        """Return the ``membership`` section of the state dump."""
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

    def _record_heartbeat(
        self, heartbeat: Heartbeat, delivered_ms: int | None = None
    ) -> None:
        with self._lock:
            self._table.record_heartbeat(
                heartbeat, self._clock.now_ms(), delivered_ms
            )

    def _zone_peers(self) -> tuple[PeerStatus, ...]:
        """Return the status of the peers in the own zone."""
        zone = self.identity.zone
        return self._statuses(
            [join for join in self._joins() if join.zone == zone]
        )

    def _statuses(self, joins: list[MemberJoin]) -> tuple[PeerStatus, ...]:
        now_ms = self._clock.now_ms()
        with self._lock:
            return tuple(self._table.status(join, now_ms) for join in joins)

    def _joins(self) -> list[MemberJoin]:
        """Return the join records of the other members.

        They come from the log and from heartbeats.
        """
        with self._journal.locked_state() as state:
            members = dict(state.members_by_incarnation)
        with self._lock:
            joins = self._table.joins()
        for incarnation, member in members.items():
            if member.left:
                joins.pop(incarnation, None)
            else:
                joins[incarnation] = member.join
        joins.pop(self.identity.incarnation, None)
        return list(joins.values())

    def _due_heartbeats(self, now_ms: int) -> dict[str, Heartbeat]:
        """Return the heartbeats to send in this round, by address."""
        with self._journal.locked_state() as state:
            members = dict(state.members_by_incarnation)
        joins = self._joins()
        due: dict[str, str] = {}
        with self._lock:
            self._round += 1
            self._table.forget(members, now_ms)
            failing = self._table.failing(now_ms)
            for join in linked_members(self._own_join, joins, failing):
                if self._table.is_due(join, now_ms, self._round):
                    self._table.liveness(
                        join.incarnation
                    ).last_called_ms = now_ms
                    due[join.peer_address] = join.incarnation
        known = {join.peer_address for join in joins}
        for address in self._listed_addresses():
            if address not in known:
                due.setdefault(address, "")
        due.pop(self.identity.peer_address, None)
        due.pop("", None)
        return {
            address: self.own_heartbeat(incarnation)
            for address, incarnation in due.items()
        }

    def _listed_addresses(self) -> tuple[str, ...]:
        """Return the seeds and the listed instances of the own zone."""
        if self._instance_cache is None:
            return self._seed_addresses
        listed = self._instance_cache.of_role(
            InstanceRole.ENTRY, self.identity.zone
        )
        return (*self._seed_addresses, *(item.url for item in listed))

    def _zone_info(
        self, next_offset: int, peers: tuple[PeerStatus, ...]
    ) -> ZoneInfo:
        zone = self.identity.zone
        zone_peers = [peer for peer in peers if peer.join.zone == zone]
        return own_zone_info(
            zone, self.identity.instance_id, next_offset, zone_peers
        )

    def _log_age_ms(self) -> int:
        caught_up_ms = self._journal.last_caught_up_ms
        if caught_up_ms is None:
            return AGE_MAX_MS
        return min(self._clock.now_ms() - caught_up_ms, AGE_MAX_MS)
