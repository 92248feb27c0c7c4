"""Limits the number of log lines of each kind per second."""

from __future__ import annotations

import time

from typing import TYPE_CHECKING

from magnoliapitch.event.log import log_event
from magnoliapitch.event.registry import ALARM_LEVELS


if TYPE_CHECKING:
    from collections.abc import Callable

    from magnoliapitch.event.log import EventFields


# A leader that starts 400 tasks a second logs 130 lines a second
# of one kind.
MAX_LINES_PER_KIND_PER_S = 250


class LineRateLimit:
    """Admits a limited number of lines of each kind in each second.

    Warnings, errors and lines with a ``reason`` are always admitted. The
    number of omitted lines is logged with the first line of the same kind
    in a later second. Not thread-safe. Must not be called while an event
    is being logged, since it logs events itself.

    :param now_s: returns whole seconds of a monotonic clock.
    :param max_lines: lines of one kind admitted in each second.
    """

    def __init__(
        self,
        now_s: Callable[[], int] = lambda: int(time.monotonic()),
        max_lines: int = MAX_LINES_PER_KIND_PER_S,
    ) -> None:
        self._now_s = now_s
        self._max_lines = max_lines
        self._second_by_kind: dict[str, int] = {}
        self._lines_by_kind: dict[str, int] = {}

    def admits(self, fields: EventFields) -> bool:
        """Count a line and return whether it may be written."""
        if fields["level"] in ALARM_LEVELS or fields.get("reason"):
            return True
        kind = str(fields["event"])
        second = self._now_s()
        if self._second_by_kind.get(kind) != second:
            self._second_by_kind[kind] = second
            self._log_omitted(kind, self._lines_by_kind.pop(kind, 0))
        line_count = self._lines_by_kind.get(kind, 0) + 1
        self._lines_by_kind[kind] = line_count
        return line_count <= self._max_lines

    def _log_omitted(self, kind: str, line_count: int) -> None:
        if line_count > self._max_lines:
            count = line_count - self._max_lines
            log_event("log-lines-left-out", kind=kind, count=count)
