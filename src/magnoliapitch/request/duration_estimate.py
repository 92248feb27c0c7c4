"""Estimates how long a request waits until others have finished."""

from __future__ import annotations


FIRST_GUESS_MS = 20.0
WEIGHT = 0.1


class DurationEstimate:
    """Moving average of the durations of finished requests."""

    __slots__ = ("mean_ms",)

    def __init__(self) -> None:
        self.mean_ms = FIRST_GUESS_MS

    def note(self, duration_ms: int) -> None:
        """Take in the duration of a finished request."""
        self.mean_ms += WEIGHT * (duration_ms - self.mean_ms)

    def wait_ms(self, ahead: int, places: int) -> int:
        """Return the expected wait for a place.

        :param ahead: requests that are served earlier.
        :param places: requests served at once.
        """
        return int((ahead + 1) / max(places, 1) * self.mean_ms)
