"""What callers submit: jobs of steps of tasks."""

from __future__ import annotations

from typing import NamedTuple

from magnoliapitch.resource import NO_RESOURCES
from magnoliapitch.resource import Resources


class TaskKey(NamedTuple):
    """One task; its runs are numbered from 1."""

    job_id: str
    occurrence: int
    step: int
    position: int

    @property
    def step_key(self) -> StepKey:
        """Return the step that the task belongs to."""
        return StepKey(self.job_id, self.occurrence, self.step)


class StepKey(NamedTuple):
    """One step of one occurrence of a job."""

    job_id: str
    occurrence: int
    step: int

    def task(self, position: int) -> TaskKey:
        """Return one of the step's tasks."""
        return TaskKey(self.job_id, self.occurrence, self.step, position)


class StepSpec(NamedTuple):
    """Tasks that are alike.

    :param task_count: number of tasks.
    :param resources: need of each task.
    :param estimate_ms: rough duration of a task; 0 if none was given.
    :param depends_on: numbers of earlier steps that must be done first.
    :param saves_progress: tasks save checkpoints while they run.
    :param is_gang: tasks run only together and end together.
    :param same_rack: tasks are slower when spread over several racks.
    :param label: label that a worker must have, or empty.
    :param data_rack: rack with the data, elsewhere tasks are slower.
    :param max_per_worker: tasks of the step on one worker; 0: no limit.
    :param is_speculative: copies may run in parallel, the first counts.
    :param is_long_running: tasks run until the job is cancelled.
    :param image: name of what runs; tasks of an image behave alike.
    :param tail_target_ms: response time that long-running tasks must keep
        for their own users; 0 if none.
    :param uses_leftover: the tasks use only processor time that others
        leave; their ``cpu_millis`` does not count against the capacity.
    :param max_unavailable: long-running tasks that may be down at once
        through actions of this system; None if nothing is promised.
    """

    task_count: int
    resources: Resources = NO_RESOURCES
    estimate_ms: int = 0
    depends_on: tuple[int, ...] = ()
    saves_progress: bool = False
    is_gang: bool = False
    same_rack: bool = False
    label: str = ""
    data_rack: str = ""
    max_per_worker: int = 0
    is_speculative: bool = False
    is_long_running: bool = False
    image: str = ""
    tail_target_ms: int = 0
    uses_leftover: bool = False
    max_unavailable: int | None = None


class JobSpec(NamedTuple):
    """A submitted job.

    :param job_id: the caller's id, unique over all queues.
    :param queue: name of the queue.
    :param payload: text that every task receives.
    :param run_count: occurrences; 0 for a job that runs once, at once.
    :param start_at_ms: wall-clock time of occurrence 0, ms since 1970.
    :param interval_ms: time between occurrences.
    :param submitted_ms: wall-clock time of the submission, ms since 1970,
        by the clock of the instance that took it.
    """

    job_id: str
    queue: str
    payload: str
    steps: tuple[StepSpec, ...]
    run_count: int = 0
    start_at_ms: int = 0
    interval_ms: int = 0
    submitted_ms: int = 0

    @property
    def occurrences(self) -> int:
        """Return how often the steps run."""
        return max(1, self.run_count)

    def due_ms(self, occurrence: int) -> int:
        """Return when an occurrence may start, ms since 1970."""
        if self.run_count == 0:
            return self.submitted_ms
        return self.start_at_ms + occurrence * self.interval_ms
