"""Ages of what the leader has read and starts rest on."""

from __future__ import annotations

from enum import StrEnum
from typing import TYPE_CHECKING
from typing import Any

from magnoliapitch.event import log_event


if TYPE_CHECKING:
    from collections.abc import Mapping

    from magnoliapitch.control.timing import ControlTiming


# A start that is ordered with less time left would often arrive too late.
MIN_ORDER_TIME_MS = 300


class Source(StrEnum):
    """What the leader reads from the store again and again."""

    WORKERS = "workers"
    JOBS = "jobs"


class SourceAges:
    """Tracks when each source was read last.

    What was read is as old as the call that read it: a worker may have said
    that it leaves, or a job may have been cancelled, right after the call was
    sent. While a source is too old, starts are held back.

    :param validity_ms_by_source: how long after a source was read a run may
        begin.
    """

    def __init__(self, validity_ms_by_source: Mapping[Source, int]) -> None:
        self._validity_ms_by_source = validity_ms_by_source
        self._read_ms_by_source: dict[Source, int] = {}
        self._is_holding = True

    @classmethod
    def from_timing(cls, timing: ControlTiming) -> SourceAges:
        """Return the ages with the limits that follow from a deployment."""
        return cls(
            {
                Source.WORKERS: timing.worker_list_validity_ms,
                Source.JOBS: timing.job_validity_ms,
            }
        )

    def record_read(self, source: Source, read_ms: int) -> None:
        """Record that a source was read.

        :param read_ms: when the call that read it was sent.
        """
        last_ms = self._read_ms_by_source.get(source, read_ms)
        self._read_ms_by_source[source] = max(last_ms, read_ms)

    def age_ms(self, source: Source, now_ms: int) -> int | None:
        """Return the age of a source, or None if it was not read yet."""
        read_ms = self._read_ms_by_source.get(source)
        return None if read_ms is None else now_ms - read_ms

    def remaining_ms(self, now_ms: int) -> int:
        """Return how much longer runs may begin that rest on all sources."""
        return min(
            self._remaining_ms(source, validity_ms, now_ms)
            for source, validity_ms in self._validity_ms_by_source.items()
        )

    def allows_starts(self, now_ms: int) -> bool:
        """Return whether starts may be ordered; log when that changes."""
        is_holding = self.remaining_ms(now_ms) < MIN_ORDER_TIME_MS
        if is_holding != self._is_holding:
            self._is_holding = is_holding
            self._log_change(now_ms)
        return not is_holding

    def _remaining_ms(
        self, source: Source, validity_ms: int, now_ms: int
    ) -> int:
        age_ms = self.age_ms(source, now_ms)
        return 0 if age_ms is None else max(0, validity_ms - age_ms)

    def _log_change(self, now_ms: int) -> None:
        ages: dict[str, Any] = {
            f"{source}_age_ms": self.age_ms(source, now_ms)
            for source in self._validity_ms_by_source
        }
        if self._is_holding:
            log_event("starts-held", **ages)
        else:
            log_event("starts-resumed", **ages)


__all__ = ["Source", "SourceAges"]
