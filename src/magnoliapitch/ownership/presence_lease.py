"""Presence records that let an owner keep tasks that may be moved.

Tasks of catalogue entries with ``on_zone_cut = move`` may be moved to
another zone when their owner is partitioned from the log. The owner appends
presence records to the log. It keeps such tasks for a bounded time after it
sent the last record that it knows to be applied. Other zones move a job only
after they have seen no newer record for a longer time, when the owner's
leases have expired.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from magnoliapitch.catalogue.entry import ZoneCutAction
from magnoliapitch.journal.record import MemberPresence
from magnoliapitch.ownership.fence import CLOCK_DRIFT_DIVISOR
from magnoliapitch.worker.lease import LEASE_TTL_MAX_MS


if TYPE_CHECKING:
    from magnoliapitch.catalogue.entry import CatalogueEntry
    from magnoliapitch.clock import Clock
    from magnoliapitch.journal.journal import Journal
    from magnoliapitch.journal.pending_record_entry import PendingRecordEntry


CHECK_INTERVAL_MS = 1_000
PRESENCE_INTERVAL_MS = 5_000
MOVE_AFTER_MIN_MS = 3 * LEASE_TTL_MAX_MS


def move_after_silence_ms(entry: CatalogueEntry) -> int:
    """Return after which silence of an owner others may move its tasks.

    :return: milliseconds without a new presence record.
    """
    return max(entry.move_after_ms, MOVE_AFTER_MIN_MS)


def presence_lease_ms(entry: CatalogueEntry) -> int:
    """Return how long an owner keeps tasks after it sent its presence.

    The owner's last lease must expire before another zone moves the task,
    also if their clocks drift. With the drift r, the lease time follows from
    ``(lease + TTL) / (1 - r) <= silence / (1 + r)``.

    :return: milliseconds since the presence record was sent.
    """
    silence_ms = move_after_silence_ms(entry)
    return (
        silence_ms
        - 2 * silence_ms // CLOCK_DRIFT_DIVISOR
        - 1
        - LEASE_TTL_MAX_MS
    )


class PresenceLease:
    """Appends presence records, and tells which tasks may be kept."""

    def __init__(
        self, incarnation: str, journal: Journal, clock: Clock
    ) -> None:
        self._incarnation = incarnation
        self._journal = journal
        self._clock = clock
        self._pending: PendingRecordEntry | None = None
        self._sent_ms = 0
        self._confirmed_ms: int | None = None

    def step(self) -> int:
        """Append a presence record if one is due.

        None is due unless the catalogue has an entry whose tasks may move.

        :return: milliseconds until the next call.
        """
        now_ms = self._clock.now_ms()
        self._update_confirmed()
        if self._pending is None and self._is_due(now_ms):
            self._sent_ms = now_ms
            self._pending = self._journal.enqueue(
                MemberPresence(self._incarnation)
            )
        return CHECK_INTERVAL_MS

    def may_keep_tasks(self, entry_name: str, now_ms: int) -> bool:
        """Return whether leases of an entry's tasks may be granted or renewed.

        :param now_ms: local monotonic time.
        """
        with self._journal.locked_state() as state:
            versioned = state.catalogue_by_name.get(entry_name)
        if versioned is None:
            return True
        if versioned.entry.on_zone_cut is ZoneCutAction.STAY:
            return True
        self._update_confirmed()
        if self._confirmed_ms is None:
            return False
        return now_ms - self._confirmed_ms <= presence_lease_ms(
            versioned.entry
        )

    def _update_confirmed(self) -> None:
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
        with self._journal.locked_state() as state:
            return any(
                versioned.entry.on_zone_cut is ZoneCutAction.MOVE
                for versioned in state.catalogue_by_name.values()
            )
