"""Moving average of the task durations of each queue."""

from __future__ import annotations

import math

from typing import TYPE_CHECKING

from magnoliapitch.planner.duration.spread import LogDuration
from magnoliapitch.planner.duration.spread import log_ms


if TYPE_CHECKING:
    from collections.abc import Mapping

    from magnoliapitch.planner.tracked import TrackedRun
    from magnoliapitch.planner.tracked import TrackedStep
    from magnoliapitch.planner.tracked_worker import TrackedWorker


DEFAULT_DURATION_MS = 2_000.0
# Weight of a new sample in the exponential moving average.
NEW_SAMPLE_WEIGHT = 0.05
# Weight of the estimate that a job declares, which is often off by a factor;
# the average of the queue has the remaining weight.
DECLARED_ESTIMATE_WEIGHT = 0.35
# Spread of the durations around the estimate, which is not learned here.
ASSUMED_VARIANCE = 0.5


class MovingAverage:
    """Keeps a moving average of the task duration of each queue.

    All workers count as equally fast.
    """

    def __init__(self) -> None:
        self._mean_ms_by_queue: dict[str, float] = {}

    def record_done(self, run: TrackedRun, now_ms: int) -> None:
        """Add the duration of a run, from its order to its report."""
        if run.started_ms is not None and not run.resumed_percent:
            self.add_sample(
                run.task.step.job.queue.name, now_ms - run.ordered_ms
            )

    def add_sample(self, queue: str, duration_ms: float) -> None:
        """Add the duration of a run, from its start to its end."""
        mean_ms = self._mean_ms_by_queue.get(queue)
        if mean_ms is None:
            self._mean_ms_by_queue[queue] = duration_ms
            return
        self._mean_ms_by_queue[queue] = mean_ms + NEW_SAMPLE_WEIGHT * (
            duration_ms - mean_ms
        )

    def expected_ms(self, step: TrackedStep) -> float:
        """Return the expected duration of one task of a step, in ms."""
        return self.expected_ms_of(
            step.job.queue.name, float(step.spec.estimate_ms)
        )

    def expected_ms_of(self, queue: str, declared_ms: float) -> float:
        """Return the expected duration of a task of a queue, in ms.

        It is the weighted geometric mean of the declared estimate and the
        average of the queue, or the one that is known.

        :param declared_ms: declared estimate; 0 if there is none.
        """
        mean_ms = self._mean_ms_by_queue.get(queue)
        if mean_ms is None:
            return declared_ms or DEFAULT_DURATION_MS
        if not declared_ms:
            return mean_ms
        return math.exp(
            DECLARED_ESTIMATE_WEIGHT * math.log(declared_ms)
            + (1 - DECLARED_ESTIMATE_WEIGHT) * math.log(max(1.0, mean_ms))
        )

    def expected_ms_on(self, step: TrackedStep, worker_id: str) -> float:  # noqa: ARG002
        """Return the expected duration, which is the same on all workers."""
        return self.expected_ms(step)

    def remaining_ms(self, run: TrackedRun, now_ms: int) -> float:
        """Return the expected time until an active run ends, in ms."""
        started_ms = (
            run.ordered_ms if run.started_ms is None else run.started_ms
        )
        return self._distribution(run.task.step).remaining_ms(
            now_ms - started_ms
        )

    def late_quantile_ms(
        self,
        step: TrackedStep,
        worker_id: str,  # noqa: ARG002
        quantile: float,
    ) -> float:
        """Return a duration that a share of the tasks does not exceed."""
        return self._distribution(step).quantile_ms(quantile)

    def probable_ms(self, step: TrackedStep, available_ms: float) -> float:  # noqa: ARG002
        """Return the expected duration, which is the same on all workers."""
        return self.expected_ms(step)

    def refresh(
        self, workers_by_id: Mapping[str, TrackedWorker], now_ms: int
    ) -> None:
        """Do nothing, since nothing is kept of the workers."""

    def _distribution(self, step: TrackedStep) -> LogDuration:
        return LogDuration(log_ms(self.expected_ms(step)), ASSUMED_VARIANCE)


__all__ = ["DEFAULT_DURATION_MS", "MovingAverage"]
