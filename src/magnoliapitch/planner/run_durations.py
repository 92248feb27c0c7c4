"""Expected and remaining durations of runs, as far as they can be told."""

from __future__ import annotations

import math

from statistics import NormalDist
from typing import TYPE_CHECKING
from typing import Protocol


if TYPE_CHECKING:
    from magnoliapitch.planner.duration import DurationEstimator
    from magnoliapitch.planner.tracked import TrackedRun
    from magnoliapitch.planner.tracked import TrackedStep


# Spread of the actual durations around the expected one, in logarithms.
DURATION_SPREAD_LOG = 0.9
# Beyond this many spreads the tail is too small to divide by.
MAX_DEVIATION = 5.0

_NORMAL = NormalDist()


class RunDurations(Protocol):
    """Expected durations of tasks and of their active runs."""

    def expected_ms(self, step: TrackedStep) -> float:
        """Return the expected duration of one task of a step, in ms."""

    def remaining_ms(self, run: TrackedRun, now_ms: int) -> float:
        """Return the expected time until an active run ends, in ms."""

    def late_quantile_ms(
        self, step: TrackedStep, worker_id: str, quantile: float
    ) -> float:
        """Return the duration that a share of the runs does not exceed.

        :param quantile: that share, between 0 and 1.
        """


class LogNormalRunDurations:
    """Log-normal durations around what an estimator expects of a step."""

    def __init__(self, estimator: DurationEstimator) -> None:
        self._estimator = estimator

    def expected_ms(self, step: TrackedStep) -> float:
        """Return the expected duration of one task of a step, in ms."""
        return self._estimator.expected_ms(step)

    def remaining_ms(self, run: TrackedRun, now_ms: int) -> float:
        """Return the expected time until an active run ends, in ms.

        It is the mean of what exceeds the elapsed time, among the durations
        that do. A run that was resumed has only the rest of its work to do.
        """
        left_share = 1.0 - run.resumed_percent / 100
        median_ms = max(1.0, self.expected_ms(run.task.step) * left_share)
        mean_ms = median_ms * math.exp(DURATION_SPREAD_LOG**2 / 2)
        started_ms = run.started_ms if run.started_ms is not None else now_ms
        elapsed_ms = now_ms - started_ms
        if elapsed_ms <= 0:
            return mean_ms
        deviation = min(
            MAX_DEVIATION,
            math.log(elapsed_ms / median_ms) / DURATION_SPREAD_LOG,
        )
        longer_share = _NORMAL.cdf(-deviation)
        longer_mean_ms = (
            mean_ms
            * _NORMAL.cdf(DURATION_SPREAD_LOG - deviation)
            / longer_share
        )
        return max(0.0, longer_mean_ms - elapsed_ms)

    def late_quantile_ms(
        self, step: TrackedStep, worker_id: str, quantile: float
    ) -> float:
        """Return the duration that a share of the runs does not exceed."""
        del worker_id
        deviation = _NORMAL.inv_cdf(quantile)
        return self.expected_ms(step) * math.exp(
            DURATION_SPREAD_LOG * deviation
        )
