"""Interface of the estimators of task durations."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Protocol


if TYPE_CHECKING:
    from collections.abc import Mapping

    from magnoliapitch.planner.tracked import TrackedRun
    from magnoliapitch.planner.tracked import TrackedStep
    from magnoliapitch.planner.tracked_worker import TrackedWorker


class DurationEstimator(Protocol):
    """Expected durations of tasks; reads no clock.

    A worker of speed 1 executes a task in its nominal duration.
    """

    def expected_ms(self, step: TrackedStep) -> float:
        """Return the nominal duration of one task of a step, in ms."""

    def expected_ms_on(self, step: TrackedStep, worker_id: str) -> float:
        """Return the expected duration of one task on a worker, in ms."""

    def remaining_ms(self, run: TrackedRun, now_ms: int) -> float:
        """Return the expected time until an active run ends, in ms."""

    def late_quantile_ms(
        self, step: TrackedStep, worker_id: str, quantile: float
    ) -> float:
        """Return a duration that a share of the tasks does not exceed.

        :param quantile: that share, between 0 and 1.
        """

    def probable_ms(self, step: TrackedStep, available_ms: float) -> float:
        """Return the expected duration where the step will probably run.

        :param available_ms: time left until the step should have ended.
        """

    def record_done(self, run: TrackedRun, now_ms: int) -> None:
        """Learn from a run that was done and is not removed yet."""

    def refresh(
        self, workers_by_id: Mapping[str, TrackedWorker], now_ms: int
    ) -> None:
        """Add new workers and drop those that are gone, if that is due."""


__all__ = ["DurationEstimator"]
