"""Bounds how many lines of one kind are logged."""

from __future__ import annotations

import time

from typing import TYPE_CHECKING

from magnoliapitch.event.log import log_event
from magnoliapitch.event.registry import ALARM_LEVELS


if TYPE_CHECKING:
    from collections.abc import Callable

    from magnoliapitch.event.log import Fields


# A leader at 400 starts a second logs 130 lines a second of one kind.
KIND_MAX_LINES_PER_S = 250


class LineRateLimit:
    """Admits the first lines of each kind in each second.

    Warnings, errors and lines that give a reason are always admitted.
    What is left out is logged, with its number, when the kind's next
    second begins. Used by one thread, outside the handling of an event.

    :param now_s: whole seconds of a monotonic clock.
    """

    def __init__(
        self,
        now_s: Callable[[], int] = lambda: int(time.monotonic()),
        max_lines: int = KIND_MAX_LINES_PER_S,
    ) -> None:
        self._now_s = now_s
        self._max_lines = max_lines
        self._second_by_kind: dict[str, int] = {}
        self._lines_by_kind: dict[str, int] = {}

    def admits(self, fields: Fields) -> bool:
        """Return whether a line is to be written, and count it."""
        if fields["level"] in ALARM_LEVELS or fields.get("reason"):
            return True
        kind = str(fields["event"])
        second = self._now_s()
        if self._second_by_kind.get(kind) != second:
            self._second_by_kind[kind] = second
            self._tell_left_out(kind, self._lines_by_kind.pop(kind, 0))
        lines = self._lines_by_kind.get(kind, 0) + 1
        self._lines_by_kind[kind] = lines
        return lines <= self._max_lines

    def _tell_left_out(self, kind: str, lines: int) -> None:
        if lines > self._max_lines:
            count = lines - self._max_lines
            log_event("log-lines-left-out", kind=kind, count=count)
