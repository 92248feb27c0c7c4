"""Decides whether an owner may send requests to a group of servers.

Backend servers know nothing of owners, so slots stay within bounds only if
the former owner has stopped before the next one starts. An owner that can
neither read the log nor hear a peer of its zone stops after
``FENCE_MS``; a new owner waits that long, and then for as long as the
former owner's requests may last.
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


FENCE_MS = 3_000


class _Seen:
    __slots__ = ("claim", "usable_ms")

    def __init__(self, claim: Claim, usable_ms: int) -> None:
        self.claim = claim
        self.usable_ms = usable_ms


class _Owned(NamedTuple):
    offset: int
    claims_by_unit: dict[str, Claim]


class DispatchFence:
    """Names the groups to which this instance may send requests."""

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
        self._seen_by_unit: dict[str, _Seen] = {}
        self._owned_at: _Owned | None = None
        self._lock = threading.Lock()

    def units(self) -> frozenset[str]:
        """Return the owned units that may be used now."""
        now_ms = self._clock.now_ms()
        owned = self._owned()
        with self._lock:
            self._note(owned, now_ms)
            usable = frozenset(
                unit
                for unit, seen in self._seen_by_unit.items()
                if seen.usable_ms <= now_ms
            )
        if not usable or not self._is_current(now_ms):
            return frozenset()
        return usable

    def _owned(self) -> dict[str, Claim]:
        with self._journal.reading() as state:
            offset = state.next_offset
        known = self._owned_at
        if known is None or known.offset != offset:
            known = _Owned(offset, self._claimer.owned())
            self._owned_at = known
        return known.claims_by_unit

    def _note(self, owned: dict[str, Claim], now_ms: int) -> None:
        for unit in set(self._seen_by_unit) - set(owned):
            del self._seen_by_unit[unit]
        for unit, claim in owned.items():
            seen = self._seen_by_unit.get(unit)
            if seen is not None and seen.claim.epoch == claim.epoch:
                continue
            wait_ms = self._wait_ms(claim)
            self._seen_by_unit[unit] = _Seen(claim, now_ms + wait_ms)

    def _wait_ms(self, claim: Claim) -> int:
        if claim.epoch == 1:
            return 0
        with self._journal.reading() as state:
            longest_ms = max(
                (
                    versioned.entry.patience_ms
                    for versioned in state.catalogue_by_name.values()
                    if versioned.entry.app
                ),
                default=0,
            )
        return FENCE_MS + longest_ms

    def _is_current(self, now_ms: int) -> bool:
        read_ms = self._journal.last_caught_up_ms
        if read_ms is not None and now_ms - read_ms <= FENCE_MS:
            return True
        identity = self._membership.identity
        neighbours = [
            peer
            for peer in self._membership.peers()
            if peer.join.zone == identity.zone
        ]
        if not neighbours:
            return True
        with self._journal.reading() as state:
            next_offset = state.next_offset
        heard = [
            peer
            for peer in neighbours
            if peer.heard_ms >= 0 and now_ms - peer.heard_ms <= FENCE_MS
        ]
        return bool(heard) and all(
            peer.next_offset <= next_offset for peer in heard
        )
