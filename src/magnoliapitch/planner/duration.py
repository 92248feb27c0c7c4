"""Expected task durations, estimated from the runs of each queue."""

from __future__ import annotations

import math

from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from magnoliapitch.planner.tracked import TrackedStep


DEFAULT_DURATION_MS = 2_000.0
# Weight of a new sample in the exponential moving average.
NEW_SAMPLE_WEIGHT = 0.05
# Weight of the estimate that a job declares, which is often off by a factor;
# the average of the queue has the remaining weight.
DECLARED_ESTIMATE_WEIGHT = 0.35


class DurationEstimator:
    """Keeps a moving average of the task duration of each queue."""

    def __init__(self) -> None:
        self._mean_ms_by_queue: dict[str, float] = {}

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
        """Return the expected duration of one task of a step, in ms.

        It is the weighted geometric mean of the declared estimate and the
        average of the queue, or the one that is known.
        """
        declared_ms = float(step.spec.estimate_ms)
        mean_ms = self._mean_ms_by_queue.get(step.job.queue.name)
        if mean_ms is None:
            return declared_ms or DEFAULT_DURATION_MS
        if not declared_ms:
            return mean_ms
        return math.exp(
            DECLARED_ESTIMATE_WEIGHT * math.log(declared_ms)
            + (1 - DECLARED_ESTIMATE_WEIGHT) * math.log(max(1.0, mean_ms))
        )
