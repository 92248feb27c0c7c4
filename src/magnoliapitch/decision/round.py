"""Work and outcome of one decide call."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

from magnoliapitch.decision.interface import Decision
from magnoliapitch.resource import UNLIMITED
from magnoliapitch.resource import Resources


if TYPE_CHECKING:
    from magnoliapitch.decision.interface import Eviction
    from magnoliapitch.decision.interface import Placement
    from magnoliapitch.decision.placement import Need


MAX_STARTS = 16
MAX_MISSES = 12
MAX_GANG_TRIES = 2
MAX_EVICTIONS = 4
MAX_BLOCKED = 16


class _Blocked(NamedTuple):
    size: Resources
    until_ms: int
    is_bulk: bool
    unit: str


class Round:
    """Bounds the work of one decide call.

    :ivar number: pass that it belongs to; within a pass, what found no
        worker is tried again only on workers that changed.
    :ivar room: most that is free on any worker that changed in the pass.
    :ivar misses: searches of all workers that found none.
    """

    def __init__(self, now_ms: int, number: int) -> None:
        self.now_ms = now_ms
        self.number = number
        self.room = UNLIMITED
        self.placements: list[Placement] = []
        self.evictions: list[Eviction] = []
        self.misses = 0
        self.gang_tries = 0
        self._blocked: list[_Blocked] = []

    @property
    def is_full(self) -> bool:
        """Whether no more may be started in this call."""
        return len(self.placements) >= MAX_STARTS

    @property
    def may_search(self) -> bool:
        """Whether another search may fail in this call."""
        return self.misses < MAX_MISSES

    @property
    def may_try_gang(self) -> bool:
        """Whether another gang may be tried in this call."""
        return self.gang_tries < MAX_GANG_TRIES

    @property
    def may_evict(self) -> bool:
        """Whether more may be evicted in this call."""
        return len(self.evictions) < MAX_EVICTIONS

    def is_blocked(self, need: Need) -> bool:
        """Return whether something easier to place found no worker."""
        return any(
            blocked.size.fits(need.size)
            and blocked.until_ms <= need.until_ms
            and blocked.is_bulk <= need.is_bulk
            and blocked.unit in ("", need.unit)
            for blocked in self._blocked
        )

    def block(self, need: Need) -> None:
        """Remember that no worker was found."""
        self.misses += 1
        if need.spread_by_unit is None and len(self._blocked) < MAX_BLOCKED:
            self._blocked.append(
                _Blocked(need.size, need.until_ms, need.is_bulk, need.unit)
            )

    def decision(self, has_more: bool) -> Decision:
        """Return the outcome."""
        return Decision(
            tuple(self.placements), tuple(self.evictions), has_more
        )
