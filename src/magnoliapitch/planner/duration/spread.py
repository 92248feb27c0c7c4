"""Durations whose logarithm is normally distributed."""

from __future__ import annotations

import math

from functools import lru_cache
from statistics import NormalDist
from typing import NamedTuple


_STANDARD_NORMAL = NormalDist()
# Beyond this many deviations the tail probabilities are too small to divide
# by, and an asymptotic form is exact enough.
MAX_EXACT_DEVIATIONS = 6.0
# Keeps an estimate from overflowing; about 20 days.
MAX_LOG_MS = 21.3


class LogDuration(NamedTuple):
    """Distribution of the logarithm of a duration in ms."""

    mean: float
    variance: float

    def median_ms(self) -> float:
        """Return the duration that half of the tasks exceed."""
        return exp_ms(self.mean)

    def quantile_ms(self, quantile: float) -> float:
        """Return the duration that a share of the tasks does not exceed."""
        deviations = _deviations_of(quantile)
        return exp_ms(self.mean + deviations * math.sqrt(self.variance))

    def remaining_ms(self, elapsed_ms: float) -> float:
        """Return the mean time that is left after some has elapsed."""
        deviation = math.sqrt(max(self.variance, 1e-6))
        mean_ms = exp_ms(self.mean + self.variance / 2)
        if elapsed_ms <= 0:
            return mean_ms
        passed = (math.log(elapsed_ms) - self.mean) / deviation
        if passed > MAX_EXACT_DEVIATIONS:
            return elapsed_ms * deviation / passed
        later_share = _upper_share(passed)
        later_mean_ms = (
            mean_ms * _upper_share(passed - deviation) / later_share
        )
        return max(0.0, later_mean_ms - elapsed_ms)


def exp_ms(log_ms: float) -> float:
    """Return the duration of a logarithm, at least 1 ms."""
    return math.exp(min(MAX_LOG_MS, max(0.0, log_ms)))


def log_ms(duration_ms: float) -> float:
    """Return the logarithm of a duration, which counts as at least 1 ms."""
    return math.log(max(1.0, duration_ms))


@lru_cache(maxsize=64)
def _deviations_of(quantile: float) -> float:
    return _STANDARD_NORMAL.inv_cdf(min(0.9999, max(0.0001, quantile)))


def _upper_share(deviations: float) -> float:
    return 0.5 * math.erfc(deviations / math.sqrt(2))


__all__ = ["LogDuration", "exp_ms", "log_ms"]
