"""Decides whether an owner may send requests to a group of backend servers.

Backend servers don't know who owns them. So a former owner has to stop before
the next one starts, or both together overbook the slots. An owner
that can neither read the log nor hear a peer of its zone stops after
``FENCING_TIMEOUT_MS``. A new owner waits that long, and then for as long as
the former owner's requests may last.
"""

from __future__ import annotations

import threading

from typing import TYPE_CHECKING
from typing import NamedTuple

from magnoliapitch.journal.state import Claim


if TYPE_CHECKING:
    from magnoliapitch.clock import Clock
    from magnoliapitch.journal.journal import Journal
    from magnoliapitch.membership.membership import Membership
    from magnoliapitch.ownership.claimer import Claimer


FENCING_TIMEOUT_MS = 3_000


class _KnownClaim:
    """An own claim, and the local time from which it may be used."""

    __slots__ = ("claim", "usable_from_ms")

    def __init__(self, claim: Claim, usable_from_ms: int) -> None:
        self.claim = claim
        self.usable_from_ms = usable_from_ms


class _OwnedClaims(NamedTuple):
    """Own claims as of a log offset."""

    offset: int
    claims_by_unit: dict[str, Claim]


class DispatchFence:
    """Determines the groups to which this instance may send requests."""

    def __init__(
        self,
        journal: Journal,
        claimer: Claimer,
        membership: Membership,
        clock: Clock,
    ) -> None:
        self._journal = journal
        self._claimer = claimer
        self._membership = membership
        self._clock = clock
        self._known_by_unit: dict[str, _KnownClaim] = {}
        self._owned_cache: _OwnedClaims | None = None
        self._lock = threading.Lock()

    def usable_units(self) -> frozenset[str]:
        """Return the owned units to which requests may be sent now."""
        now_ms = self._clock.now_ms()
        owned = self._owned_claims()
        with self._lock:
            self._update_known(owned, now_ms)
            usable = frozenset(
                unit
                for unit, known in self._known_by_unit.items()
                if known.usable_from_ms <= now_ms
            )
        if not usable or not self._may_trust_claims(now_ms):
            return frozenset()
        return usable

    def _owned_claims(self) -> dict[str, Claim]:
        with self._journal.locked_state() as state:
            offset = state.next_offset
        cached = self._owned_cache
        if cached is None or cached.offset != offset:
            cached = _OwnedClaims(offset, self._claimer.owned_claims())
            self._owned_cache = cached
        return cached.claims_by_unit

    def _update_known(self, owned: dict[str, Claim], now_ms: int) -> None:
        for unit in set(self._known_by_unit) - set(owned):
            del self._known_by_unit[unit]
        for unit, claim in owned.items():
            known = self._known_by_unit.get(unit)
            if known is not None and known.claim.epoch == claim.epoch:
                continue
            delay_ms = self._activation_delay_ms(claim)
            self._known_by_unit[unit] = _KnownClaim(claim, now_ms + delay_ms)

    def _activation_delay_ms(self, claim: Claim) -> int:
        """Return how long a new claim must wait for the former owner."""
        if claim.epoch == 1:
            return 0
        with self._journal.locked_state() as state:
            longest_request_ms = max(
                (
                    versioned.entry.patience_ms
                    for versioned in state.catalogue_by_name.values()
                    if versioned.entry.app
                ),
                default=0,
            )
        return FENCING_TIMEOUT_MS + longest_request_ms

    def _may_trust_claims(self, now_ms: int) -> bool:
        caught_up_ms = self._journal.last_caught_up_ms
        if (
            caught_up_ms is not None
            and now_ms - caught_up_ms <= FENCING_TIMEOUT_MS
        ):
            return True
        identity = self._membership.identity
        neighbours = [
            peer
            for peer in self._membership.peers()
            if peer.join.zone == identity.zone
        ]
        # Only instances of this zone claim its units. Without neighbours
        # nobody can take them over.
        if not neighbours:
            return True
        with self._journal.locked_state() as state:
            next_offset = state.next_offset
        live_neighbours = [
            peer
            for peer in neighbours
            if peer.last_heartbeat_ms >= 0
            and now_ms - peer.last_heartbeat_ms <= FENCING_TIMEOUT_MS
        ]
        # A neighbour that has read more of the log may have seen a takeover.
        return bool(live_neighbours) and all(
            peer.next_offset <= next_offset for peer in live_neighbours
        )
