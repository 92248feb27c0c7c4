"""Estimates how long a queued request waits for those ahead of it."""

from __future__ import annotations


INITIAL_MEAN_MS = 20.0
SMOOTHING_FACTOR = 0.1


class DurationEstimate:
    """Exponential moving average of request durations."""

    __slots__ = ("mean_ms",)

    def __init__(self) -> None:
        self.mean_ms = INITIAL_MEAN_MS

    def add_sample(self, duration_ms: int) -> None:
        """Add the duration of a finished request to the average."""
        self.mean_ms += SMOOTHING_FACTOR * (duration_ms - self.mean_ms)

    def wait_ms(self, requests_ahead: int, concurrency: int) -> int:
        """Return the expected wait in milliseconds.

        :param requests_ahead: number of requests that are served earlier.
        :param concurrency: number of requests served at once.
        """
        return int((requests_ahead + 1) / max(concurrency, 1) * self.mean_ms)
