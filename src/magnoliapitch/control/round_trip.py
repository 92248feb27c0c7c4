"""Timeouts of calls, derived from measured round-trip times."""

from __future__ import annotations

import threading

from magnoliapitch.control.recent_answers import RecentAnswers


MIN_TIMEOUT_MS = 150.0
MAX_TIMEOUT_MS = 1_500.0
# Gains of the smoothed round-trip time and its deviation, as in TCP.
MEAN_GAIN = 1 / 8
DEVIATION_GAIN = 1 / 4
DEVIATION_FACTOR = 4.0
MAX_BACKOFF_FACTOR = 8.0


class RoundTripEstimator:
    """Estimates how long to wait for an answer; thread-safe.

    The timeout follows the round trips, so that on a slow machine or a full
    link calls are not given up while their answers are under way. It doubles
    while most calls stay unanswered, since these yield no measurement.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._mean_ms: float | None = None
        self._deviation_ms = 0.0
        self._recent_answers = RecentAnswers()
        self._backoff_factor = 1.0

    def record_answered(self, duration_ms: float) -> None:
        """Record an answered call."""
        with self._lock:
            self._recent_answers.record(is_answered=True)
            if not self._recent_answers.are_mostly_missing():
                self._backoff_factor = 1.0
            if self._mean_ms is None:
                self._mean_ms = duration_ms
                self._deviation_ms = duration_ms / 2
                return
            error_ms = duration_ms - self._mean_ms
            self._mean_ms += MEAN_GAIN * error_ms
            self._deviation_ms += DEVIATION_GAIN * (
                abs(error_ms) - self._deviation_ms
            )

    def record_unanswered(self) -> None:
        """Record a call without an answer."""
        with self._lock:
            self._recent_answers.record(is_answered=False)
            if self._recent_answers.are_mostly_missing():
                self._recent_answers.clear()
                self._backoff_factor = min(
                    2 * self._backoff_factor, MAX_BACKOFF_FACTOR
                )

    def timeout_ms(self) -> int:
        """Return how long to wait for the answer of the next call."""
        with self._lock:
            expected_ms = (self._mean_ms or 0.0) + (
                DEVIATION_FACTOR * self._deviation_ms
            )
            timeout_ms = max(MIN_TIMEOUT_MS, expected_ms)
            return int(min(timeout_ms * self._backoff_factor, MAX_TIMEOUT_MS))
