"""Age of the list of workers that starts rest on."""

from __future__ import annotations

from magnoliapitch.event import log_event


# A start that is ordered with less time left would often arrive too late.
MIN_ORDER_TIME_MS = 300


class WorkerListAge:
    """Tracks when the newest list of workers was read.

    A list is as old as the call that read it: a worker may have said that it
    leaves right after the call was sent. While the list is too old, starts
    are held back, since they may not reach a worker that leaves.

    :param validity_ms: how long after the list was read a run may begin.
    """

    def __init__(self, validity_ms: int) -> None:
        self._validity_ms = validity_ms
        self._read_ms: int | None = None
        self._is_holding = False

    def record_read(self, read_ms: int) -> None:
        """Record a list.

        :param read_ms: when the call that read it was sent.
        """
        self._read_ms = max(self._read_ms or read_ms, read_ms)

    def age_ms(self, now_ms: int) -> int | None:
        """Return the age of the newest list, or None if none was read."""
        return None if self._read_ms is None else now_ms - self._read_ms

    def remaining_ms(self, now_ms: int) -> int:
        """Return how much longer runs may begin that rest on the list."""
        age_ms = self.age_ms(now_ms)
        return 0 if age_ms is None else max(0, self._validity_ms - age_ms)

    def allows_starts(self, now_ms: int) -> bool:
        """Return whether starts may be ordered; log when that changes."""
        is_holding = self.remaining_ms(now_ms) < MIN_ORDER_TIME_MS
        if is_holding != self._is_holding:
            self._is_holding = is_holding
            self._log_change(now_ms)
        return not is_holding

    def _log_change(self, now_ms: int) -> None:
        age_ms = self.age_ms(now_ms)
        if self._is_holding:
            log_event("starts-held", list_age_ms=age_ms)
        else:
            log_event("starts-resumed", list_age_ms=age_ms)


__all__ = ["WorkerListAge"]
