"""Jobs as the scheduler tracks them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from magnoliapitch.planner.job_occurrences import JobOccurrences
from magnoliapitch.planner.job_paths import JobPaths
from magnoliapitch.planner.step_dependencies import StepDependencies
from magnoliapitch.workload.footprint import footprint_bytes
from magnoliapitch.workload.progress import TASKS_PER_PROGRESS_RECORD
from magnoliapitch.workload.progress import JobOutcome


if TYPE_CHECKING:
    from magnoliapitch.planner.tracked import TrackedStep
    from magnoliapitch.planner.tracked_task import TrackedTask
    from magnoliapitch.workload.configuration import Queue
    from magnoliapitch.workload.job import JobSpec


class TrackedJob:
    """A submitted job with the steps of its occurrences.

    :ivar known_ms: when this instance learned of the job, by its own clock.
    :ivar outcome: final state, or ``OPEN``.
    :ivar footprint_bytes: memory that it takes of the leader at most.
    :ivar has_begun: whether a worker has certainly begun one of its tasks.
    :ivar steps: the steps of each occurrence, by its number.
    :ivar part_count: number of records that have its progress.
    :ivar paths: longest paths through its steps.
    :ivar dependencies: which of its steps wait for others.
    :ivar changed_parts: numbers of the records of its progress that are not
        stored as they should be.
    :ivar must_check_failures: whether a task may have used up its attempts
        without a run that failed just now.
    """

    __slots__ = (
        "changed_parts",
        "dependencies",
        "footprint_bytes",
        "has_begun",
        "known_ms",
        "must_check_failures",
        "outcome",
        "part_count",
        "paths",
        "queue",
        "spec",
        "steps",
    )

    def __init__(self, spec: JobSpec, queue: Queue, known_ms: int) -> None:
        self.spec = spec
        self.queue = queue
        self.known_ms = known_ms
        self.footprint_bytes = footprint_bytes(spec)
        self.outcome = JobOutcome.OPEN
        self.has_begun = False
        self.steps = JobOccurrences(self)
        self.paths = JobPaths(self)
        self.dependencies = StepDependencies(self.steps)
        self.must_check_failures = True
        self.changed_parts: set[int] = set()
        parts = -(-self.steps.task_count // TASKS_PER_PROGRESS_RECORD)
        self.part_count = max(1, parts)

    def has_failed(self, failed_task: TrackedTask | None) -> bool:
        """Return whether a task, or a gang, has used up its attempts.

        :param failed_task: task that has failed since the last call; None if
            none has.
        """
        if self.must_check_failures:
            self.must_check_failures = False
            return self.has_failed_step()
        return failed_task is not None and failed_task.has_failed

    def has_failed_step(self) -> bool:
        """Return whether any task, or gang, has used up its attempts."""
        return any(step.has_failed for step in self.all_steps())

    def all_steps(self) -> list[TrackedStep]:
        """Return the steps of every occurrence that was needed so far."""
        return self.steps.made_steps()


__all__ = ["TrackedJob"]
