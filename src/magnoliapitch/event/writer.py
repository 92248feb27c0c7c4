"""Writes log lines from a thread of its own, so that nobody waits."""

from __future__ import annotations

import queue
import threading

from typing import TYPE_CHECKING

from magnoliapitch.event.line import format_line
from magnoliapitch.event.log import log_event
from magnoliapitch.event.rate_limit import LineRateLimit


if TYPE_CHECKING:
    from typing import TextIO

    from magnoliapitch.event.log import Fields


# About 2 MB of lines, which bounds the memory behind a stopped reader.
QUEUE_MAX_LINES = 4_000
LOST_EVENT = "log-lines-lost"
# A reader that has not taken the last lines by then is not waited for.
CLOSE_TIMEOUT_S = 0.5


class LineWriter:
    """Writes lines in order; never blocks and never raises.

    Lines that find the queue full, or whose reader is gone, are lost and
    counted; the count is logged once a line could be written again.

    :param limit: what it does not admit is left out.
    :ivar lost: number of lines that were lost and not yet told.
    """

    def __init__(
        self,
        stream: TextIO,
        max_lines: int = QUEUE_MAX_LINES,
        limit: LineRateLimit | None = None,
    ) -> None:
        self.lost = 0
        self._limit = limit or LineRateLimit()
        self._stream = stream
        self._queue: queue.Queue[Fields] = queue.Queue(max_lines)
        self._lock = threading.Lock()
        self._is_idle = threading.Event()
        self._is_idle.set()
        threading.Thread(target=self._run, name="log", daemon=True).start()

    def write(self, fields: Fields) -> None:
        """Take a line over for writing."""
        self._is_idle.clear()
        try:
            self._queue.put_nowait(fields)
        except queue.Full:
            self._note_lost(_lines_in(fields))

    def close(self) -> None:
        """Wait a little for the lines that were taken over."""
        self._is_idle.wait(CLOSE_TIMEOUT_S)

    def _run(self) -> None:
        while True:
            fields = self._queue.get()
            is_written = self._limit.admits(fields) and self._write(fields)
            if is_written and self.lost:
                log_event("log-lines-lost", count=self._take_lost())
            if self._queue.empty():
                self._is_idle.set()

    def _write(self, fields: Fields) -> bool:
        try:
            self._stream.write(format_line(fields) + "\n")
            self._stream.flush()
        except (OSError, ValueError):
            # The reader is gone, so that only a count can be kept.
            self._note_lost(_lines_in(fields))
            return False
        return True

    def _note_lost(self, count: int) -> None:
        with self._lock:
            self.lost += count

    def _take_lost(self) -> int:
        with self._lock:
            count, self.lost = self.lost, 0
        return count


def _lines_in(fields: Fields) -> int:
    """Return how many lines are lost with a line."""
    if fields["event"] == LOST_EVENT:
        return int(str(fields["count"]))
    return 1
