"""Heartbeats between entry instances."""

from __future__ import annotations

import threading

from typing import TYPE_CHECKING
from typing import NamedTuple

from result import Ok

from magnoliapitch.journal.record import EntryJoin
from magnoliapitch.membership.state import MemberState
from magnoliapitch.peer.message import Beat
from magnoliapitch.peer.message import UnitLoad


if TYPE_CHECKING:
    from magnoliapitch.clock import Clock
    from magnoliapitch.journal.journal import Journal
    from magnoliapitch.membership.identity import Identity
    from magnoliapitch.peer.link import PeerLink


HEARTBEAT_INTERVAL_MS = 500
SUSPECT_AFTER_MS = 2_000
CALL_TIMEOUT_MS = 500


class PeerStatus(NamedTuple):
    """What is known of another entry instance.

    :param next_offset: next log offset that it will apply.
    :param heard_ms: local time of its last heartbeat, -1 for never.
    """

    join: EntryJoin
    state: MemberState
    next_offset: int
    heard_ms: int
    loads: tuple[UnitLoad, ...] = ()


class Membership:
    """Exchanges heartbeats with the members that the log names."""

    def __init__(
        self, identity: Identity, journal: Journal, clock: Clock
    ) -> None:
        self.identity = identity
        self.loads: tuple[UnitLoad, ...] = ()
        self.leaving = False
        self._journal = journal
        self._clock = clock
        self._beats_by_incarnation: dict[str, tuple[int, Beat]] = {}
        self._lock = threading.Lock()

    def beat(self) -> Beat:
        """Return the own heartbeat."""
        with self._journal.reading() as state:
            next_offset = state.next_offset
        read_ms = self._journal.last_read_ms
        age_ms = (
            2**32 - 1 if read_ms is None else self._clock.now_ms() - read_ms
        )
        return Beat(
            self.identity.instance_id,
            self.identity.incarnation,
            self.identity.zone,
            next_offset,
            age_ms,
            self.leaving,
            self.loads,
        )

    def receive(self, beat: Beat) -> Beat:
        """Take in a peer's heartbeat and return the own one."""
        with self._lock:
            self._beats_by_incarnation[beat.incarnation] = (
                self._clock.now_ms(),
                beat,
            )
        return self.beat()

    def heartbeat_step(self, link: PeerLink) -> int:
        """Send a heartbeat to every peer; return the wait until the next."""
        for status in self.peers():
            outcome = link.heartbeat(
                status.join.peer_address, self.beat(), CALL_TIMEOUT_MS
            )
            if isinstance(outcome, Ok):
                self.receive(outcome.ok_value)
        return HEARTBEAT_INTERVAL_MS

    def peers(self) -> tuple[PeerStatus, ...]:
        """Return every other member that has not left."""
        with self._journal.reading() as state:
            joins = [
                member.join
                for member in state.members_by_incarnation.values()
                if not member.left
            ]
        own = self.identity.incarnation
        return tuple(
            self._status(join) for join in joins if join.incarnation != own
        )

    def dump(self) -> dict[str, object]:
        """Return the membership's part of the state dump."""
        return {
            "identity": self.identity._asdict(),
            "peers": [
                {
                    "instance_id": status.join.instance_id,
                    "state": status.state.value,
                    "next_offset": status.next_offset,
                }
                for status in self.peers()
            ],
        }

    def _status(self, join: EntryJoin) -> PeerStatus:
        with self._lock:
            heard = self._beats_by_incarnation.get(join.incarnation)
        if heard is None:
            return PeerStatus(join, MemberState.JOINING, 0, -1)
        heard_ms, beat = heard
        silent_ms = self._clock.now_ms() - heard_ms
        state = MemberState.LIVE
        if beat.leaving:
            state = MemberState.LEAVING
        elif silent_ms > SUSPECT_AFTER_MS:
            state = MemberState.SUSPECT
        return PeerStatus(join, state, beat.next_offset, heard_ms, beat.loads)
