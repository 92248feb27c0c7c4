"""Work of the tasks of one step, corrected by those that have ended."""

from __future__ import annotations

from statistics import median
from typing import NamedTuple

from magnoliapitch.planner.duration.spread import LogDuration


# Bounds what is kept of a step until its tasks are compared.
MAX_COMPARED_TASKS = 32


class MeasuredTask(NamedTuple):
    """A finished task that tells the speed of its worker."""

    worker_id: str
    log_duration: float


class StepWork:
    """Mean work of the finished tasks of a step, in logarithms.

    :ivar count: number of finished tasks that were measured.
    :ivar mean: mean logarithm of their work.
    :ivar measured: tasks that were not compared with each other yet.
    """

    __slots__ = ("count", "mean", "measured")

    def __init__(self, count: int = 0, mean: float = 0.0) -> None:
        self.count = count
        self.mean = mean
        self.measured: list[MeasuredTask] = []

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

    def take_comparable(
        self, task: MeasuredTask, *, is_last: bool
    ) -> list[MeasuredTask]:
        """Add a task; return those to compare, once the step has ended.

        Tasks end in the order of their durations, so that one which has just
        ended is longer than those before for that reason alone.
        """
        self.measured.append(task)
        if not is_last and len(self.measured) < MAX_COMPARED_TASKS:
            return []
        tasks, self.measured = self.measured, []
        return tasks

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


def limited(log_works: list[float], max_difference: float) -> list[float]:
    """Return works that differ from their median by no more than a limit.

    One task that takes many times as long would otherwise make all others
    look short.
    """
    middle = median(log_works)
    low, high = middle - max_difference, middle + max_difference
    return [max(low, min(high, log_work)) for log_work in log_works]


__all__ = ["MeasuredTask", "StepWork", "limited"]
