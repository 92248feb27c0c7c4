"""How long tasks of a queue take, learned from their ends."""

from __future__ import annotations

import math

from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from magnoliapitch.planner.tracked import StepEntry


DEFAULT_MS = 2_000.0
# Weight of one more observation in the moving mean.
MEAN_WEIGHT = 0.05
# A declared estimate is often off by a factor; the mean of its queue
# counts for the rest.
ESTIMATE_WEIGHT = 0.35


class Durations:
    """Learns the duration of tasks by queue."""

    def __init__(self) -> None:
        self._mean_ms_by_queue: dict[str, float] = {}

    def learn(self, queue: str, duration_ms: float) -> None:
        """Take over the duration of a run from start to end."""
        mean_ms = self._mean_ms_by_queue.get(queue)
        if mean_ms is None:
            self._mean_ms_by_queue[queue] = duration_ms
            return
        self._mean_ms_by_queue[queue] = mean_ms + MEAN_WEIGHT * (
            duration_ms - mean_ms
        )

    def expected_ms(self, step: StepEntry) -> float:
        """Return the expected duration of one task of a step."""
        declared_ms = float(step.spec.estimate_ms)
        mean_ms = self._mean_ms_by_queue.get(step.job.queue.name)
        if mean_ms is None:
            return declared_ms or DEFAULT_MS
        if not declared_ms:
            return mean_ms
        return math.exp(
            ESTIMATE_WEIGHT * math.log(declared_ms)
            + (1 - ESTIMATE_WEIGHT) * math.log(max(1.0, mean_ms))
        )
