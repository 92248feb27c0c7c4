"""How long an owner that is cut from the log keeps tasks that may move.

The owner appends presence records. It keeps tasks of entries with the
action ``move`` for a bounded time after it sent the last one that it knows
to be folded; others move a job only after they have seen no newer one for
longer, so its leases have expired by then.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from magnoliapitch.catalogue.entry import ZoneCutAction
from magnoliapitch.journal.record import EntryPresence
from magnoliapitch.ownership.fence import DRIFT_DIVISOR
from magnoliapitch.worker.lease import LEASE_TTL_MAX_MS


if TYPE_CHECKING:
    from magnoliapitch.catalogue.entry import CatalogueEntry
    from magnoliapitch.clock import Clock
    from magnoliapitch.journal.journal import Journal
    from magnoliapitch.journal.pending_entry import PendingEntry


CHECK_INTERVAL_MS = 1_000
PRESENCE_INTERVAL_MS = 5_000
MOVE_AFTER_MIN_MS = 3 * LEASE_TTL_MAX_MS


def silence_ms(entry: CatalogueEntry) -> int:
    """Return how long others must have seen no presence of an owner."""
    return max(entry.move_after_ms, MOVE_AFTER_MIN_MS)


def hold_ms(entry: CatalogueEntry) -> int:
    """Return how long an owner keeps tasks after it sent its presence.

    With drift r, ``(hold + TTL) / (1 - r) <= silence / (1 + r)``.
    """
    silence = silence_ms(entry)
    return silence - 2 * silence // DRIFT_DIVISOR - 1 - LEASE_TTL_MAX_MS


class ZoneHold:
    """The own presence in the log, for entries whose tasks may move."""

    def __init__(
        self, incarnation: str, journal: Journal, clock: Clock
    ) -> None:
        self._incarnation = incarnation
        self._journal = journal
        self._clock = clock
        self._pending: PendingEntry | None = None
        self._sent_ms = 0
        self._confirmed_ms: int | None = None

    def step(self) -> int:
        """Append presence if any entry needs it.

        :return: milliseconds until the next step.
        """
        now_ms = self._clock.now_ms()
        self._confirm()
        if self._pending is None and self._is_due(now_ms):
            self._sent_ms = now_ms
            self._pending = self._journal.enqueue(
                EntryPresence(self._incarnation)
            )
        return CHECK_INTERVAL_MS

    def holds(self, entry_name: str, now_ms: int) -> bool:
        """Return whether tasks of an entry may be granted and renewed."""
        with self._journal.reading() as state:
            versioned = state.catalogue_by_name.get(entry_name)
        if versioned is None:
            return True
        if versioned.entry.on_zone_cut is ZoneCutAction.STAY:
            return True
        self._confirm()
        if self._confirmed_ms is None:
            return False
        return now_ms - self._confirmed_ms <= hold_ms(versioned.entry)

    def _confirm(self) -> None:
        if self._pending is None or self._pending.outcome is None:
            return
        if self._pending.outcome.map_or(False, lambda item: item.applied):
            self._confirmed_ms = self._sent_ms
        self._pending = None

    def _is_due(self, now_ms: int) -> bool:
        if (
            self._confirmed_ms is not None
            and now_ms - self._sent_ms < PRESENCE_INTERVAL_MS
        ):
            return False
        with self._journal.reading() as state:
            return any(
                versioned.entry.on_zone_cut is ZoneCutAction.MOVE
                for versioned in state.catalogue_by_name.values()
            )
