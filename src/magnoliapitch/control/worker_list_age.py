"""Age of the list of workers that starts rest on."""

from __future__ import annotations


class WorkerListAge:
    """Tracks when the newest list of workers was read.

    A list is as old as the call that read it: a worker may have said that it
    leaves right after the call was sent.
    """

    def __init__(self) -> None:
        self._read_ms: int | None = None

    def record_read(self, read_ms: int) -> None:
        """Record a list.

        :param read_ms: when the call that read it was sent.
        """
        self._read_ms = max(self._read_ms or read_ms, read_ms)

    def age_ms(self, now_ms: int) -> int | None:
        """Return the age of the newest list, or None if none was read."""
        return None if self._read_ms is None else now_ms - self._read_ms


__all__ = ["WorkerListAge"]
