"""Selects the peer to which a request is forwarded."""

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
    from magnoliapitch.membership.instance_cache import InstanceCache
    from magnoliapitch.membership.membership import Membership
    from magnoliapitch.membership.status import PeerStatus


REFRESH_INTERVAL_MS = 100
AVOIDANCE_MS = 1_000


class Candidate(NamedTuple):
    """A peer that owns backend servers of an application.

    :param address: ``IP:PORT`` of its peer listener.
    :param is_same_zone: whether it is in this instance's zone.
    :param free_slots: free slots by its last heartbeat, less the requests
        that this instance has forwarded to it since.
    """

    incarnation: str
    address: str
    is_same_zone: bool
    free_slots: int


class _CandidateTable(NamedTuple):
    """Candidates as of a local time."""

    read_ms: int
    candidates_by_app: dict[str, tuple[Candidate, ...]]


class PeerSelector:
    """Ranks peers: those of the own zone first, then by free slots."""

    def __init__(
        self,
        journal: Journal,
        membership: Membership,
        instance_cache: InstanceCache,
        clock: Clock,
    ) -> None:
        self._journal = journal
        self._membership = membership
        self._instance_cache = instance_cache
        self._clock = clock
        self._lock = threading.Lock()
        self._table = _CandidateTable(-REFRESH_INTERVAL_MS, {})
        # Time of the peer's last heartbeat, and slots used since then.
        self._used_slots_by_peer: dict[str, tuple[int, int]] = {}
        self._avoided_until_ms_by_peer: dict[str, int] = {}

    def best_with_free_slots(self, app: str) -> Candidate | None:
        """Return the best peer that reports a free slot, if any does."""
        candidates = [c for c in self._candidates(app) if c.free_slots > 0]
        return max(candidates, key=_rank, default=None)

    def best_owner(self, app: str) -> Candidate | None:
        """Return the best peer, whether it reports a free slot or not."""
        return max(self._candidates(app), key=_rank, default=None)

    def note_forwarded(self, candidate: Candidate) -> None:
        """Count a request forwarded since the peer's last heartbeat."""
        with self._lock:
            last_heartbeat_ms, used_slots = self._used_slots_by_peer.get(
                candidate.incarnation, (-1, 0)
            )
            self._used_slots_by_peer[candidate.incarnation] = (
                last_heartbeat_ms,
                used_slots + 1,
            )

    def avoid(self, candidate: Candidate) -> None:
        """Exclude a peer for ``AVOIDANCE_MS`` after a failed call."""
        until_ms = self._clock.now_ms() + AVOIDANCE_MS
        with self._lock:
            self._avoided_until_ms_by_peer[candidate.incarnation] = until_ms

    def _candidates(self, app: str) -> list[Candidate]:
        now_ms = self._clock.now_ms()
        table = self._table
        if now_ms - table.read_ms >= REFRESH_INTERVAL_MS:
            table = _CandidateTable(now_ms, self._build_candidates())
            self._table = table
        with self._lock:
            return [
                candidate._replace(
                    free_slots=candidate.free_slots
                    - self._used_slots_by_peer.get(
                        candidate.incarnation, (0, 0)
                    )[1]
                )
                for candidate in table.candidates_by_app.get(app, ())
                if self._avoided_until_ms_by_peer.get(candidate.incarnation, 0)
                <= now_ms
            ]

    def _build_candidates(self) -> dict[str, tuple[Candidate, ...]]:
        app_by_unit = {
            server.unit: server.app
            for server in self._instance_cache.of_role(
                InstanceRole.BACKEND_SERVER
            )
            if server.state is InstanceState.LIVE
        }
        with self._journal.locked_state() as state:
            owner_by_unit = {
                unit: state.claims_by_unit[unit].incarnation
                for unit in app_by_unit
                if unit in state.claims_by_unit
            }
        candidates_by_app: dict[str, list[Candidate]] = {}
        for peer in self._membership.peers():
            self._reset_used_slots(peer)
            if peer.state is MemberState.LEAVING:
                continue
            units = {
                unit
                for unit, owner in owner_by_unit.items()
                if owner == peer.join.incarnation
            }
            for app in {app_by_unit[unit] for unit in units}:
                app_units = {
                    unit for unit in units if app_by_unit[unit] == app
                }
                candidates_by_app.setdefault(app, []).append(
                    self._candidate(peer, app_units)
                )
        return {app: tuple(items) for app, items in candidates_by_app.items()}

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

    def _reset_used_slots(self, peer: PeerStatus) -> None:
        with self._lock:
            known = self._used_slots_by_peer.get(peer.join.incarnation)
            if known is None or known[0] != peer.last_heartbeat_ms:
                self._used_slots_by_peer[peer.join.incarnation] = (
                    peer.last_heartbeat_ms,
                    0,
                )


def _rank(candidate: Candidate) -> tuple[bool, int]:
    return candidate.is_same_zone, candidate.free_slots
