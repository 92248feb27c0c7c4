"""Steps of a job's occurrences, made when they are first needed."""

from __future__ import annotations

from typing import TYPE_CHECKING

from magnoliapitch.planner.tracked import TrackedStep


if TYPE_CHECKING:
    from collections.abc import Iterator
    from collections.abc import Sequence

    from magnoliapitch.planner.tracked_job import TrackedJob
    from magnoliapitch.workload.job import StepSpec


class JobOccurrences:
    """Steps of each occurrence of a job.

    An occurrence that is due in hours uses no memory: its steps are made when
    it becomes due, or when stored progress names one of its tasks.
    """

    __slots__ = ("_first_numbers", "_job", "_steps_by_occurrence")

    def __init__(self, job: TrackedJob) -> None:
        self._job = job
        self._steps_by_occurrence: dict[int, list[TrackedStep]] = {}
        # Of each step, the number of its first task in its occurrence, and
        # after them the number of tasks of an occurrence.
        self._first_numbers = [0]
        for spec in job.spec.steps:
            self._first_numbers.append(
                self._first_numbers[-1] + spec.task_count
            )

    def __len__(self) -> int:
        """Return the number of occurrences, whether they are made or not."""
        return self._job.spec.occurrences

    def __getitem__(self, occurrence: int) -> list[TrackedStep]:
        """Return the steps of an occurrence, which are made if need be.

        :raises IndexError: if the job has no such occurrence.
        """
        steps = self._steps_by_occurrence.get(occurrence)
        if steps is not None:
            return steps
        if not 0 <= occurrence < len(self):
            raise IndexError(occurrence)
        steps = self._make(occurrence)
        self._steps_by_occurrence[occurrence] = steps
        return steps

    @property
    def step_specs(self) -> Sequence[StepSpec]:
        """Return the steps of each occurrence, as they were submitted."""
        return self._job.spec.steps

    @property
    def task_count(self) -> int:
        """Return the number of tasks over all occurrences."""
        return len(self) * self._tasks_per_occurrence

    def made_steps(self) -> list[TrackedStep]:
        """Return the steps that were made so far, in the order of the job."""
        return [
            step
            for occurrence in sorted(self._steps_by_occurrence)
            for step in self._steps_by_occurrence[occurrence]
        ]

    def made_steps_between(
        self, begin: int, end: int
    ) -> Iterator[TrackedStep]:
        """Return the steps made so far that may have some tasks of the job.

        :param begin: number of the first task.
        :param end: number after that of the last task.
        """
        size = self._tasks_per_occurrence
        for occurrence in range(begin // size, -(-end // size)):
            yield from self._steps_by_occurrence.get(occurrence, ())

    @property
    def _tasks_per_occurrence(self) -> int:
        return self._first_numbers[-1]

    def _make(self, occurrence: int) -> list[TrackedStep]:
        first_number = occurrence * self._tasks_per_occurrence
        return [
            TrackedStep(
                self._job,
                occurrence,
                number,
                first_number + self._first_numbers[number],
            )
            for number in range(len(self._job.spec.steps))
        ]


__all__ = ["JobOccurrences"]
