"""Work of the tasks of one step, corrected by those that have ended."""

from __future__ import annotations

from magnoliapitch.planner.duration.spread import LogDuration


class StepWork:
    """Mean work of the finished tasks of a step, in logarithms.

    :ivar count: number of finished tasks that were measured.
    :ivar mean: mean logarithm of their work.
    """

    __slots__ = ("count", "mean")

    def __init__(self) -> None:
        self.count = 0
        self.mean = 0.0

    def corrected(
        self, expected: LogDuration, task_variance: float
    ) -> LogDuration:
        """Return the mean work of the step's tasks.

        :param expected: the work before any of them has ended.
        :param task_variance: variance of the tasks of one step.
        """
        if not self.count:
            return expected
        precision = self.count / task_variance
        variance = 1 / (1 / expected.variance + precision)
        gain = variance * precision
        mean = expected.mean + gain * (self.mean - expected.mean)
        return LogDuration(mean, variance)

    def add(self, log_work: float) -> float | None:
        """Add a finished task.

        :return: squared deviation from the tasks before, as a sample of
            their variance; None for the first task.
        """
        delta = log_work - self.mean
        self.count += 1
        self.mean += delta / self.count
        if self.count == 1:
            return None
        return delta * delta * (self.count - 1) / self.count


__all__ = ["StepWork"]
