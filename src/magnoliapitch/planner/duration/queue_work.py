"""Work of the tasks of one queue, learned from finished tasks."""

from __future__ import annotations

import math

from typing import NamedTuple

from magnoliapitch.planner.duration.change_detector import ChangeDetector
from magnoliapitch.planner.duration.moving_average import DEFAULT_DURATION_MS
from magnoliapitch.planner.duration.spread import LogDuration
from magnoliapitch.planner.duration.spread import log_ms


# Steps after which a step counts only 1/e of a new one.
MEMORY_STEPS = 150.0
# Slope on the declared estimate before anything is learned, and the sum of
# squares with which it counts.
PRIOR_SLOPE = 0.35
PRIOR_SLOPE_WEIGHT = 2.0
# Variance of the work of steps around the regression before anything is
# learned, and the number of steps with which it counts.
PRIOR_STEP_VARIANCE = 0.8
PRIOR_STEP_WEIGHT = 2.0
# Variance of the tasks of one step, and the tasks with which it counts.
PRIOR_TASK_VARIANCE = 0.06
PRIOR_TASK_WEIGHT = 20.0
MIN_VARIANCE = 0.0025
# Larger errors count as this many deviations, so that the few tasks that take
# many times as long do not distort what is learned of the others.
MAX_DEVIATIONS = 2.5
# Share of the former observations that is kept once their work has changed.
KEPT_AFTER_CHANGE_SHARE = 0.015
# Weight of a step in the mean of the latest errors.
RECENT_WEIGHT = 0.15


class QueueFigures(NamedTuple):
    """What is learned of a queue, in the form that is stored.

    Logarithms are natural, of durations in ms on a worker of speed 1.

    :param weight: number of steps, the older ones counting less.
    :param mean_x: mean logarithm of the declared estimates.
    :param mean_y: mean logarithm of the work.
    :param sum_xx: sum of the squares of the logarithms of the estimates.
    :param sum_xy: sum of the products of both.
    :param step_variance: variance of the work of a step's tasks around the
        regression.
    :param task_variance: variance of the work of the tasks of one step.
    """

    weight: float = 0.0
    mean_x: float = 0.0
    mean_y: float = 0.0
    sum_xx: float = 0.0
    sum_xy: float = 0.0
    step_variance: float = PRIOR_STEP_VARIANCE
    task_variance: float = PRIOR_TASK_VARIANCE


class QueueWork:
    """Regression of the work of a queue's tasks on their declared estimate.

    Sums are exponentially weighted. Every step has the same weight, however
    many tasks it has, since the tasks of one step are similar.

    :ivar figures: what is learned.
    """

    __slots__ = ("_change_detector", "_recent_error", "figures")

    def __init__(self, figures: QueueFigures | None = None) -> None:
        self.figures = figures or QueueFigures()
        self._change_detector = ChangeDetector()
        self._recent_error = 0.0

    @property
    def slope(self) -> float:
        """Return the change of the work with the estimate, in logarithms."""
        figures = self.figures
        return (figures.sum_xy + PRIOR_SLOPE_WEIGHT * PRIOR_SLOPE) / (
            figures.sum_xx + PRIOR_SLOPE_WEIGHT
        )

    def expected(self, declared_ms: float) -> LogDuration:
        """Return the work of a step before any of its tasks has ended.

        While the latest errors are all on one side, the work has probably
        changed, which must not be attributed to the workers.

        :param declared_ms: declared estimate; 0 if there is none.
        """
        figures = self.figures
        variance = figures.step_variance + self._recent_error**2
        if not figures.weight:
            mean = log_ms(declared_ms or DEFAULT_DURATION_MS)
            return LogDuration(mean, variance)
        mean = figures.mean_y
        if declared_ms:
            mean += self.slope * (log_ms(declared_ms) - figures.mean_x)
        return LogDuration(mean, variance)

    def expected_lately(self, declared_ms: float) -> LogDuration:
        """Return the work of a step, with the mean of the latest errors.

        Speeds are measured by this. An error that all workers of a queue have
        in common is thus not attributed to their speeds, which would then
        differ from those of the workers that run other queues.
        """
        expected = self.expected(declared_ms)
        return expected._replace(mean=expected.mean + self._recent_error)

    def add(self, declared_ms: float, log_work: float, share: float) -> None:
        """Add the work of a finished task.

        :param share: share of the task in its step.
        """
        expected = self.expected(declared_ms)
        deviation = math.sqrt(
            self.figures.step_variance + self.figures.task_variance
        )
        deviations = _clipped((log_work - expected.mean) / deviation)
        self._recent_error += (
            RECENT_WEIGHT
            * share
            * (deviations * deviation - self._recent_error)
        )
        if self.figures.weight >= 1 and self._change_detector.add(
            deviations, share
        ):
            self._forget()
        else:
            log_work = expected.mean + deviations * deviation
        self._add_point(declared_ms, log_work, share)
        self._add_error(deviations * deviation, share)

    def add_task_deviation(self, squared: float) -> None:
        """Add the squared deviation of a task from the others of its step."""
        figures = self.figures
        limit = MAX_DEVIATIONS**2 * figures.task_variance
        variance = figures.task_variance + (
            min(squared, limit) - figures.task_variance
        ) / (PRIOR_TASK_WEIGHT * 5)
        self.figures = figures._replace(
            task_variance=max(MIN_VARIANCE, variance)
        )

    def shift(self, log_change: float) -> None:
        """Express the work for another definition of speed 1."""
        if self.figures.weight:
            self.figures = self.figures._replace(
                mean_y=self.figures.mean_y + log_change
            )

    def _add_point(
        self, declared_ms: float, log_work: float, share: float
    ) -> None:
        figures = self.figures
        kept = math.exp(-share / MEMORY_STEPS)
        weight = kept * figures.weight + share
        gain = share / weight
        x = log_ms(declared_ms) if declared_ms else figures.mean_x
        delta_x = x - figures.mean_x
        delta_y = log_work - figures.mean_y
        both = share * (1 - gain)
        is_first = not figures.weight
        self.figures = figures._replace(
            weight=weight,
            mean_x=x if is_first else figures.mean_x + gain * delta_x,
            mean_y=log_work if is_first else figures.mean_y + gain * delta_y,
            sum_xx=kept * figures.sum_xx + both * delta_x * delta_x,
            sum_xy=kept * figures.sum_xy + both * delta_x * delta_y,
        )

    def _add_error(self, error: float, share: float) -> None:
        figures = self.figures
        variance = max(MIN_VARIANCE, error * error - figures.task_variance)
        gain = share / (PRIOR_STEP_WEIGHT + min(figures.weight, MEMORY_STEPS))
        self.figures = figures._replace(
            step_variance=figures.step_variance
            + gain * (variance - figures.step_variance)
        )

    def _forget(self) -> None:
        figures = self.figures
        self.figures = figures._replace(
            weight=figures.weight * KEPT_AFTER_CHANGE_SHARE,
            step_variance=max(figures.step_variance, PRIOR_STEP_VARIANCE / 2),
        )


def _clipped(deviations: float) -> float:
    return max(-MAX_DEVIATIONS, min(MAX_DEVIATIONS, deviations))


__all__ = ["MAX_DEVIATIONS", "QueueFigures", "QueueWork"]
