"""Stored record of what the leader has learned of durations and speeds."""

from __future__ import annotations

from typing import TYPE_CHECKING

from magnoliapitch.event import log_event
from magnoliapitch.ledger.records import SPEEDS_KEY
from magnoliapitch.ledger.stream import KeyedRecord
from magnoliapitch.planner.duration.record import encode_learned
from magnoliapitch.planner.duration.record import restore_learned


if TYPE_CHECKING:
    from magnoliapitch.ledger.state_table import StateTable
    from magnoliapitch.planner.duration import LearnedDurations


WRITE_INTERVAL_MS = 5_000


class SpeedRecord:
    """Writes the record into batches that are stored anyway.

    :param learned: what is learned; None if it is not kept.
    """

    def __init__(
        self, learned: LearnedDurations | None, state_table: StateTable
    ) -> None:
        self._learned = learned
        self._state_table = state_table
        self._written_ms = 0
        self._in_commit: bytes | None = None

    def load(self, now_ms: int) -> None:
        """Start from the record of a former leader, if it can be read."""
        self._written_ms = now_ms
        value = self._state_table.speeds
        if self._learned is None or not value:
            return
        try:
            restore_learned(self._learned, value)
        except ValueError as error:
            log_event("record-unreadable", key=SPEEDS_KEY, reason=str(error))

    def due_records(self, now_ms: int) -> tuple[KeyedRecord, ...]:
        """Return the record if it is due and has changed."""
        if (
            self._learned is None
            or now_ms - self._written_ms < WRITE_INTERVAL_MS
        ):
            return ()
        self._written_ms = now_ms
        value = encode_learned(self._learned)
        if value == self._state_table.speeds:
            return ()
        self._in_commit = value
        return (KeyedRecord(SPEEDS_KEY, value),)

    def record_stored(self) -> None:
        """Record that the last batch was stored."""
        if self._in_commit is not None:
            self._state_table.speeds = self._in_commit
            self._in_commit = None


__all__ = ["SpeedRecord"]
