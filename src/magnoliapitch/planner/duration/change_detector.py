"""Detection of a lasting change in a series of standardised errors."""

from __future__ import annotations


# Errors below this many deviations are tolerated for any length of time.
TOLERATED_DEVIATIONS = 0.5
# Sum of the errors above that, from which a change counts as lasting.
CHANGE_THRESHOLD = 5.0


class ChangeDetector:
    """Two-sided cumulative sum of errors (CUSUM).

    A single outlier cannot exceed the threshold, since callers clip errors.
    """

    __slots__ = ("_high", "_low")

    def __init__(self) -> None:
        self._high = 0.0
        self._low = 0.0

    def add(self, deviations: float, weight: float = 1.0) -> bool:
        """Add an error; return whether a lasting change is detected.

        :param deviations: error in standard deviations.
        :param weight: share of an independent observation that it is.
        """
        self._high = max(
            0.0, self._high + weight * (deviations - TOLERATED_DEVIATIONS)
        )
        self._low = max(
            0.0, self._low - weight * (deviations + TOLERATED_DEVIATIONS)
        )
        if max(self._high, self._low) < CHANGE_THRESHOLD:
            return False
        self._high = self._low = 0.0
        return True


__all__ = ["ChangeDetector"]
