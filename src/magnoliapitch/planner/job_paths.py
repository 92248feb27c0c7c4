"""Longest paths through the steps of a job."""

from __future__ import annotations

from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from collections.abc import Sequence

    from magnoliapitch.planner.duration import DurationEstimator
    from magnoliapitch.planner.tracked import TrackedStep
    from magnoliapitch.planner.tracked_job import TrackedJob


class JobPaths:
    """Longest paths of a job, computed at most once for each time.

    They take time linear in the steps and dependencies of an occurrence.
    """

    __slots__ = (
        "_computed_ms",
        "_dependent_path_ms_by_occurrence",
        "_job",
        "_longest_ms",
    )

    def __init__(self, job: TrackedJob) -> None:
        self._job = job
        self._computed_ms: int | None = None
        self._longest_ms: float | None = None
        self._dependent_path_ms_by_occurrence: dict[int, list[float]] = {}

    def longest_ms(self, estimator: DurationEstimator, now_ms: int) -> float:
        """Return the expected time from the job's first start to its end."""
        self._forget_older(now_ms)
        if self._longest_ms is None:
            self._longest_ms = _longest_ms(self._job.steps[0], estimator)
        return self._longest_ms

    def dependent_path_ms(
        self, step: TrackedStep, estimator: DurationEstimator, now_ms: int
    ) -> float:
        """Return the longest path from a step's end to that of its job."""
        self._forget_older(now_ms)
        occurrence = step.key.occurrence
        paths_ms = self._dependent_path_ms_by_occurrence.get(occurrence)
        if paths_ms is None:
            steps = self._job.steps[occurrence]
            paths_ms = _dependent_paths_ms(steps, estimator)
            self._dependent_path_ms_by_occurrence[occurrence] = paths_ms
        return paths_ms[step.key.step]

    def _forget_older(self, now_ms: int) -> None:
        if self._computed_ms != now_ms:
            self._computed_ms = now_ms
            self._longest_ms = None
            self._dependent_path_ms_by_occurrence = {}


def _longest_ms(
    steps: Sequence[TrackedStep], estimator: DurationEstimator
) -> float:
    """Return the longest path; steps depend on earlier ones only."""
    end_ms_by_step: list[float] = []
    for step in steps:
        ready_ms = max(
            (end_ms_by_step[number] for number in step.spec.depends_on),
            default=0.0,
        )
        end_ms_by_step.append(estimator.expected_ms(step) + ready_ms)
    return max(end_ms_by_step, default=0.0)


def _dependent_paths_ms(
    steps: Sequence[TrackedStep], estimator: DurationEstimator
) -> list[float]:
    paths_ms = [0.0] * len(steps)
    for number in range(len(steps) - 1, -1, -1):
        dependencies = steps[number].spec.depends_on
        if not dependencies:
            continue
        path_ms = estimator.expected_ms(steps[number]) + paths_ms[number]
        for earlier in dependencies:
            paths_ms[earlier] = max(paths_ms[earlier], path_ms)
    return paths_ms


__all__ = ["JobPaths"]
