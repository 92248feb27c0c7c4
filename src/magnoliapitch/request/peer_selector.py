"""Chooses the peer that executes a request this instance cannot."""

from __future__ import annotations

import threading

from typing import TYPE_CHECKING
from typing import NamedTuple

from magnoliapitch.membership.instance import InstanceRole
from magnoliapitch.membership.instance import InstanceState
from magnoliapitch.membership.state import MemberState


if TYPE_CHECKING:
    from magnoliapitch.clock import Clock
    from magnoliapitch.journal.journal import Journal
    from magnoliapitch.membership.fleet import Fleet
    from magnoliapitch.membership.membership import Membership
    from magnoliapitch.membership.status import PeerStatus


REFRESH_MS = 100
AVOID_MS = 1_000


class Candidate(NamedTuple):
    """A peer that owns backend servers of an application.

    :param free_slots: free slots by its last heartbeat, less those that
        this instance has used since.
    """

    incarnation: str
    address: str
    is_near: bool
    free_slots: int


class _Table(NamedTuple):
    read_ms: int
    candidates_by_app: dict[str, tuple[Candidate, ...]]


class PeerChoice:
    """Ranks peers by availability zone and free slots."""

    def __init__(
        self,
        journal: Journal,
        membership: Membership,
        fleet: Fleet,
        clock: Clock,
    ) -> None:
        self._journal = journal
        self._membership = membership
        self._fleet = fleet
        self._clock = clock
        self._lock = threading.Lock()
        self._table = _Table(-REFRESH_MS, {})
        self._used_by_peer: dict[str, tuple[int, int]] = {}
        self._avoided_until_ms_by_peer: dict[str, int] = {}

    def with_free_slots(self, app: str) -> Candidate | None:
        """Return the best peer that shows a free slot."""
        candidates = [c for c in self._candidates(app) if c.free_slots > 0]
        return max(candidates, key=_preference, default=None)

    def any_owner(self, app: str) -> Candidate | None:
        """Return the best peer, whether it shows a free slot or not."""
        return max(self._candidates(app), key=_preference, default=None)

    def use(self, candidate: Candidate) -> None:
        """Count a request sent since the last heartbeat."""
        with self._lock:
            heard_ms, used = self._used_by_peer.get(
                candidate.incarnation, (-1, 0)
            )
            self._used_by_peer[candidate.incarnation] = (heard_ms, used + 1)

    def avoid(self, candidate: Candidate) -> None:
        """Prefer other peers for a while."""
        until_ms = self._clock.now_ms() + AVOID_MS
        with self._lock:
            self._avoided_until_ms_by_peer[candidate.incarnation] = until_ms

    def _candidates(self, app: str) -> list[Candidate]:
        now_ms = self._clock.now_ms()
        table = self._table
        if now_ms - table.read_ms >= REFRESH_MS:
            table = _Table(now_ms, self._read())
            self._table = table
        with self._lock:
            return [
                candidate._replace(
                    free_slots=candidate.free_slots
                    - self._used_by_peer.get(candidate.incarnation, (0, 0))[1]
                )
                for candidate in table.candidates_by_app.get(app, ())
                if self._avoided_until_ms_by_peer.get(candidate.incarnation, 0)
                <= now_ms
            ]

    def _read(self) -> dict[str, tuple[Candidate, ...]]:
        app_by_unit = {
            server.unit: server.app
            for server in self._fleet.of_role(InstanceRole.BACKEND_SERVER)
            if server.state is InstanceState.LIVE
        }
        with self._journal.reading() as state:
            owner_by_unit = {
                unit: state.claims_by_unit[unit].incarnation
                for unit in app_by_unit
                if unit in state.claims_by_unit
            }
        found: dict[str, list[Candidate]] = {}
        for peer in self._membership.peers():
            self._note_heartbeat(peer)
            if peer.state is MemberState.LEAVING:
                continue
            units = {
                unit
                for unit, owner in owner_by_unit.items()
                if owner == peer.join.incarnation
            }
            for app in {app_by_unit[unit] for unit in units}:
                mine = {unit for unit in units if app_by_unit[unit] == app}
                found.setdefault(app, []).append(self._candidate(peer, mine))
        return {app: tuple(items) for app, items in found.items()}

    def _candidate(self, peer: PeerStatus, units: set[str]) -> Candidate:
        free = sum(
            load.free_slots for load in peer.loads if load.unit in units
        )
        return Candidate(
            peer.join.incarnation,
            peer.join.peer_address,
            peer.join.zone == self._membership.identity.zone,
            free if peer.state is MemberState.LIVE else 0,
        )

    def _note_heartbeat(self, peer: PeerStatus) -> None:
        with self._lock:
            known = self._used_by_peer.get(peer.join.incarnation)
            if known is None or known[0] != peer.heard_ms:
                self._used_by_peer[peer.join.incarnation] = (peer.heard_ms, 0)


def _preference(candidate: Candidate) -> tuple[bool, int]:
    return candidate.is_near, candidate.free_slots
