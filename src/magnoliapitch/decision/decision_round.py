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


MAX_STARTS = 12
MAX_MISSES = 12
MAX_GANG_TRIES = 2
MAX_EVICTIONS = 4
MAX_BLOCKED = 16


class _Blocked(NamedTuple):
    size: Resources
    until_ms: int
    is_bulk: bool
    uses_kept: bool
    unit: str

    def is_easier_than(self, need: Need) -> bool:
        return (
            self.size.fits(need.size)
            and self.until_ms <= need.until_ms
            and self.is_bulk <= need.is_bulk
            and self.uses_kept >= need.uses_kept
            and self.unit in ("", need.unit)
        )


class Round:
    """Bounds the work of one decide call.

    :ivar number: pass that it belongs to; within a pass, what found no
        worker is tried again only on workers that changed.
    :ivar room: most that is free on any worker that changed in the pass.
    :ivar is_cut_short: whether owners are left that were not looked at.
    :ivar misses: searches of all workers that found none.
    """

    def __init__(self, now_ms: int, number: int) -> None:
        self.now_ms = now_ms
        self.number = number
        self.room = UNLIMITED
        self.is_cut_short = False
        self.placements: list[Placement] = []
        self.evictions: list[Eviction] = []
        self.misses = 0
        self.gang_tries = 0
        self._blocked: list[_Blocked] = []
        self._blocked_on_changed: list[_Blocked] = []

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

    def is_blocked(self, need: Need, *, on_changed: bool) -> bool:
        """Return whether something easier to place found no worker.

        :param on_changed: whether only changed workers are of interest.
        """
        if any(blocked.is_easier_than(need) for blocked in self._blocked):
            return True
        return on_changed and any(
            blocked.is_easier_than(need)
            for blocked in self._blocked_on_changed
        )

    def block(self, need: Need, *, on_changed: bool) -> None:
        """Remember that no worker was found."""
        if not on_changed:
            self.misses += 1
        blocked = self._blocked_on_changed if on_changed else self._blocked
        if len(blocked) < MAX_BLOCKED:
            blocked.append(
                _Blocked(
                    need.size,
                    need.until_ms,
                    need.is_bulk,
                    need.uses_kept,
                    need.unit,
                )
            )

    def decision(self, has_more: bool) -> Decision:
        """Return the outcome."""
        return Decision(
            tuple(self.placements), tuple(self.evictions), has_more
        )
