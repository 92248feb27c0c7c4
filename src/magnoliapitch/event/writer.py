"""Writes log lines in a background thread, so that callers never block."""

from __future__ import annotations

import queue
import threading

from typing import TYPE_CHECKING

from magnoliapitch.event.line import format_line
from magnoliapitch.event.log import log_event
from magnoliapitch.event.rate_limit import LineRateLimit


if TYPE_CHECKING:
    from typing import TextIO

    from magnoliapitch.event.log import EventFields


# About 2 MB of lines; bounds the memory used while the reader has stopped.
QUEUE_MAX_LINES = 4_000
LINES_LOST_EVENT = "log-lines-lost"
# Bounds the wait for a reader that does not take the last lines.
CLOSE_TIMEOUT_S = 0.5


class LineWriter:
    """Writes log lines in order; ``write`` never blocks and never raises.

    Lines that do not fit into the queue, or that cannot be written since
    the reader has closed the stream, are dropped and counted. The count is
    logged after the next line that is written.

    :param stream: stream to write to.
    :param max_lines: capacity of the queue.
    :param limit: rate limit; lines that it does not admit are omitted.
    :ivar lost: dropped lines that are not yet logged as lost.
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
        self._queue: queue.Queue[EventFields] = queue.Queue(max_lines)
        self._lock = threading.Lock()
        self._is_idle = threading.Event()
        self._is_idle.set()
        threading.Thread(target=self._run, name="log", daemon=True).start()

    def write(self, fields: EventFields) -> None:
        """Queue a line for writing, or drop it if the queue is full."""
        self._is_idle.clear()
        try:
            self._queue.put_nowait(fields)
        except queue.Full:
            self._add_lost(_lost_lines(fields))

    def close(self) -> None:
        """Wait up to ``CLOSE_TIMEOUT_S`` until the queue is written."""
        self._is_idle.wait(CLOSE_TIMEOUT_S)

    def _run(self) -> None:
        while True:
            fields = self._queue.get()
            is_written = self._limit.admits(fields) and self._write(fields)
            if is_written and self.lost:
                log_event("log-lines-lost", count=self._reset_lost())
            if self._queue.empty():
                self._is_idle.set()

    def _write(self, fields: EventFields) -> bool:
        try:
            self._stream.write(format_line(fields) + "\n")
            self._stream.flush()
        except (OSError, ValueError):
            # The reader has closed the stream, so only a count is kept.
            self._add_lost(_lost_lines(fields))
            return False
        return True

    def _add_lost(self, count: int) -> None:
        with self._lock:
            self.lost += count

    def _reset_lost(self) -> int:
        with self._lock:
            count, self.lost = self.lost, 0
        return count


def _lost_lines(fields: EventFields) -> int:
    """Return how many lines are lost if a line is dropped.

    A line that reports lost lines stands for as many as it counts.
    """
    if fields["event"] == LINES_LOST_EVENT:
        return int(str(fields["count"]))
    return 1
