"""Periods in which no instance made scheduling decisions."""

from __future__ import annotations

from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from collections.abc import Iterable

    from magnoliapitch.logfile.log_event import LogEvent


_END_NAMES = ("leadership-resigned", "leadership-lost", "leadership-claimed")
# A leader that ends without notice logs nothing; others claim after this
# long.
UNNOTICED_MS = 1_500


class LeaderlessPeriods:
    """Periods from the end of one leadership to the beginning of the next.

    :param events: events of all instances in time order.
    """

    def __init__(self, events: Iterable[LogEvent]) -> None:
        self._periods: list[tuple[int, int]] = []
        ended_ms: int | None = None
        for event in events:
            if event.name in _END_NAMES and ended_ms is None:
                is_claim = event.name == "leadership-claimed"
                ended_ms = event.time_ms - (UNNOTICED_MS if is_claim else 0)
            elif event.name == "leadership-begun" and ended_ms is not None:
                self._periods.append((ended_ms, event.time_ms))
                ended_ms = None

    def overlap(self, from_ms: int, to_ms: int) -> bool:
        """Return whether nobody led for a part of a period."""
        return any(
            begin_ms < to_ms and end_ms > from_ms
            for begin_ms, end_ms in self._periods
        )
