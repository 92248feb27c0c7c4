"""Speed of one worker, learned from its finished runs."""

from __future__ import annotations

import math

from typing import NamedTuple

from magnoliapitch.planner.duration.change_detector import ChangeDetector


# Variance of the speeds of workers of which nothing is known.
PRIOR_SPEED_VARIANCE = 0.16
# Growth of the variance of a speed, which may change, in 1 second.
VARIANCE_GROWTH_PER_S = 0.0002
MAX_DEVIATIONS = 2.5


class SpeedEstimate(NamedTuple):
    """Logarithm of a speed; 0 is the nominal speed.

    :param variance: variance of the error of the logarithm.
    """

    log_speed: float
    variance: float


class WorkerSpeed:
    """Kalman filter of the logarithm of one worker's speed.

    :ivar estimate: what is learned.
    :ivar kind: kind of the worker, from its labels.
    :ivar updated_ms: when the worker last ended a run that counts.
    """

    __slots__ = ("_change_detector", "estimate", "kind", "updated_ms")

    def __init__(
        self, estimate: SpeedEstimate, kind: str, now_ms: int
    ) -> None:
        self.estimate = estimate
        self.kind = kind
        self.updated_ms = now_ms
        self._change_detector = ChangeDetector()

    def add(
        self,
        log_speed: float,
        error_variance: float,
        now_ms: int,
        own_share: float = 1.0,
    ) -> None:
        """Add a measured speed.

        :param error_variance: variance of the error of the measurement.
        :param own_share: share of that variance that does not come from the
            error of the step's work, which several workers have in common.
        """
        mean, variance = self.estimate
        elapsed_s = max(0, now_ms - self.updated_ms) / 1000
        variance = min(
            max(variance, PRIOR_SPEED_VARIANCE),
            variance + VARIANCE_GROWTH_PER_S * elapsed_s,
        )
        self.updated_ms = now_ms
        deviation = math.sqrt(variance + error_variance)
        deviations = (log_speed - mean) / deviation
        deviations = max(-MAX_DEVIATIONS, min(MAX_DEVIATIONS, deviations))
        if self._change_detector.add(deviations, math.sqrt(own_share)):
            variance = max(variance, PRIOR_SPEED_VARIANCE)
        gain = variance / (variance + error_variance)
        self.estimate = SpeedEstimate(
            mean + gain * deviations * deviation, (1 - gain) * variance
        )


__all__ = ["PRIOR_SPEED_VARIANCE", "SpeedEstimate", "WorkerSpeed"]
