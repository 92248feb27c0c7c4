"""Steps of a job's occurrences, made when they are first needed."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from magnoliapitch.planner.tracked import TrackedStep
from magnoliapitch.workload.job import StepKey
from magnoliapitch.workload.progress import TASKS_PER_PROGRESS_RECORD


if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Iterator
    from collections.abc import Mapping
    from collections.abc import Sequence

    from magnoliapitch.planner.tracked_job import TrackedJob
    from magnoliapitch.workload.job import StepSpec
    from magnoliapitch.workload.job import TaskKey
    from magnoliapitch.workload.progress import TaskProgress


class JobOccurrences:
    """Steps of each occurrence of a job.

    An occurrence that is due in hours uses no memory: its steps are made when
    it becomes due, or when stored progress names one of its tasks. Of one that
    has ended only the progress of its tasks is kept, from which its steps are
    made again if need be.
    """

    __slots__ = (
        "_finished_by_occurrence",
        "_first_numbers",
        "_job",
        "_row_by_itself",
        "_steps_by_occurrence",
        "_unchecked_occurrences",
    )

    def __init__(self, job: TrackedJob) -> None:
        self._job = job
        self._steps_by_occurrence: dict[int, list[TrackedStep]] = {}
        self._finished_by_occurrence: dict[int, tuple[TaskProgress, ...]] = {}
        # Most finished tasks have equal progress, which is kept once.
        self._row_by_itself: dict[TaskProgress, TaskProgress] = {}
        # Of a recurring job, those that may have ended since the last look.
        self._unchecked_occurrences: dict[int, None] = {}
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
        rows = self._finished_by_occurrence.pop(occurrence, None)
        if rows is not None:
            _restore(steps, rows)
            self.note_possible_end(occurrence)
        return steps

    @property
    def step_specs(self) -> Sequence[StepSpec]:
        """Return the steps of each occurrence, as they were submitted."""
        return self._job.spec.steps

    @property
    def task_count(self) -> int:
        """Return the number of tasks over all occurrences."""
        return len(self) * self._tasks_per_occurrence

    @property
    def made_task_count(self) -> int:
        """Return the number of tasks in occurrences that were not put away."""
        return len(self._steps_by_occurrence) * self._tasks_per_occurrence

    @property
    def put_away_count(self) -> int:
        """Return how many occurrences have ended and were put away."""
        return len(self._finished_by_occurrence)

    def is_made(self, occurrence: int) -> bool:
        """Return whether an occurrence's steps were made and are kept."""
        return occurrence in self._steps_by_occurrence

    def is_put_away(self, occurrence: int) -> bool:
        """Return whether an occurrence has ended and was put away."""
        return occurrence in self._finished_by_occurrence

    def note_possible_end(self, occurrence: int) -> None:
        """Have an occurrence looked at that may have ended.

        One ends when its last step is done, or with the last active run after
        that.
        """
        if self._job.spec.run_count:
            self._unchecked_occurrences[occurrence] = None

    def put_away_finished(self) -> list[int]:
        """Keep only the progress of the occurrences that have ended.

        Only those are looked at that may have ended since the last call.

        :return: numbers of those that were put away.
        """
        unchecked, self._unchecked_occurrences = (
            self._unchecked_occurrences,
            {},
        )
        ended = [
            occurrence
            for occurrence in unchecked
            if self._has_ended(occurrence)
        ]
        for occurrence in ended:
            steps = self._steps_by_occurrence.pop(occurrence)
            rows = [task.progress() for step in steps for task in step.tasks]
            self._put_away(occurrence, rows)
        return ended

    def put_away_stored(
        self, progress_by_key: Mapping[TaskKey, TaskProgress]
    ) -> None:
        """Take stored progress of occurrences that have ended.

        Those of which a run may be active have not, and services never do.
        """
        has_service = any(step.is_long_running for step in self.step_specs)
        if has_service or not self._job.spec.run_count:
            return
        ended_counts = Counter(
            key.occurrence
            for key, row in progress_by_key.items()
            if row.is_done and not row.placements
        )
        for occurrence, count in ended_counts.items():
            if count < self._tasks_per_occurrence:
                continue
            keys = self._task_keys(occurrence)
            rows = [progress_by_key.get(key) for key in keys]
            ended = [row for row in rows if row and row.is_done]
            if len(ended) == len(rows) and 0 <= occurrence < len(self):
                self._put_away(occurrence, ended)
                self._note_change(occurrence)

    def finished_rows(
        self, begin: int, end: int
    ) -> Iterator[tuple[TaskKey, TaskProgress]]:
        """Return the progress of tasks of occurrences that were put away.

        :param begin: number of the first task.
        :param end: number after that of the last task.
        """
        size = self._tasks_per_occurrence
        for occurrence in range(begin // size, -(-end // size)):
            rows = self._finished_by_occurrence.get(occurrence, ())
            keys = self._task_keys(occurrence) if rows else []
            numbers = range(occurrence * size, (occurrence + 1) * size)
            for number, key, row in zip(numbers, keys, rows, strict=False):
                if begin <= number < end:
                    yield key, row

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

    def _has_ended(self, occurrence: int) -> bool:
        """Return whether a made occurrence is done, without active runs."""
        steps = self._steps_by_occurrence.get(occurrence)
        return (
            steps is not None
            and all(step.is_done for step in steps)
            and not any(step.all_active_runs() for step in steps)
        )

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

    def _put_away(self, occurrence: int, rows: Iterable[TaskProgress]) -> None:
        # A task that is done needs no checkpoint.
        bare_rows = [row._replace(checkpoint="") for row in rows]
        self._finished_by_occurrence[occurrence] = tuple(
            self._row_by_itself.setdefault(row, row) for row in bare_rows
        )

    def _note_change(self, occurrence: int) -> None:
        """Have the progress stored in the records of this release."""
        begin = occurrence * self._tasks_per_occurrence
        last = begin + self._tasks_per_occurrence - 1
        self._job.changed_parts.update(
            range(
                begin // TASKS_PER_PROGRESS_RECORD,
                last // TASKS_PER_PROGRESS_RECORD + 1,
            )
        )

    def _task_keys(self, occurrence: int) -> list[TaskKey]:
        return [
            StepKey(self._job.spec.job_id, occurrence, number).task(position)
            for number, spec in enumerate(self._job.spec.steps)
            for position in range(spec.task_count)
        ]


def _restore(steps: list[TrackedStep], rows: Iterable[TaskProgress]) -> None:
    """Set the tasks of steps that are all done from their progress."""
    tasks = [task for step in steps for task in step.tasks]
    for task, row in zip(tasks, rows, strict=True):
        task.restore(row)
    for step in steps:
        step.unfinished_count = 0
        step.waiting_count = 0


__all__ = ["JobOccurrences"]
