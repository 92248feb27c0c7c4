"""Timer that records durations in a histogram."""

from __future__ import annotations

import threading

from typing import Any
from typing import NamedTuple

from hdrh.histogram import HdrHistogram


MAX_DURATION_US = 3_600_000_000
SIGNIFICANT_DIGITS = 2


class TimerSummary(NamedTuple):
    """Summary of the durations recorded so far, in milliseconds.

    :param samples: number of recorded durations.
    """

    samples: int
    p50_ms: float
    p99_ms: float
    max_ms: float


class Timer:
    """Records durations; thread-safe."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._histogram: Any = HdrHistogram(
            1, MAX_DURATION_US, SIGNIFICANT_DIGITS
        )

    def record(self, duration_ms: float) -> None:
        """Record a duration.

        :param duration_ms: milliseconds, clipped to the range from
            1 microsecond to 1 hour.
        """
        duration_us = min(max(round(duration_ms * 1_000), 1), MAX_DURATION_US)
        with self._lock:
            self._histogram.record_value(duration_us)

    def summary(self) -> TimerSummary:
        """Return count, median, 99th percentile and maximum; 0 if empty."""
        with self._lock:
            count = int(self._histogram.get_total_count())
            if not count:
                return TimerSummary(0, 0.0, 0.0, 0.0)
            return TimerSummary(
                count,
                self._histogram.get_value_at_percentile(50) / 1_000,
                self._histogram.get_value_at_percentile(99) / 1_000,
                self._histogram.get_max_value() / 1_000,
            )
