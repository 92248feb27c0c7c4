"""Jobs as callers submit them: jobs have steps, steps have tasks."""

from __future__ import annotations

from typing import NamedTuple

from magnoliapitch.resource import NO_RESOURCES
from magnoliapitch.resource import Resources
from magnoliapitch.workload.configuration import QueueSnapshot


class TaskKey(NamedTuple):
    """Identity of a task. Its runs are numbered from 1.

    :param occurrence: index of the occurrence of a recurring job.
    :param step: index of the step in its job.
    :param position: index of the task in its step.
    """

    job_id: str
    occurrence: int
    step: int
    position: int

    @property
    def step_key(self) -> StepKey:
        """Return the key of the step that the task belongs to."""
        return StepKey(self.job_id, self.occurrence, self.step)


class StepKey(NamedTuple):
    """Identity of a step in one occurrence of a job."""

    job_id: str
    occurrence: int
    step: int

    def task(self, position: int) -> TaskKey:
        """Return the key of one of the step's tasks."""
        return TaskKey(self.job_id, self.occurrence, self.step, position)


class StepSpec(NamedTuple):
    """A step of a job: a number of tasks with the same requirements.

    :param task_count: number of tasks.
    :param resources: capacity that each task needs.
    :param estimate_ms: declared duration of a task; 0 if none was given.
    :param depends_on: indexes of earlier steps that must be done first.
    :param saves_progress: whether tasks save checkpoints while they run.
    :param is_gang: whether the tasks start and end only together.
    :param same_rack: whether the tasks are slower when spread over several
        racks.
    :param label: label that a worker must have; empty for any worker.
    :param data_rack: rack that holds the data; tasks are slower elsewhere.
        Empty if it does not matter.
    :param max_per_worker: most tasks of the step on one worker; 0 for no
        limit.
    :param is_speculative: whether copies of a task may run in parallel; the
        first that is done counts. Gangs and long-running tasks have none.
    :param is_long_running: whether tasks run until the job is cancelled. They
        start again however they end, so that no step that depends on theirs
        ever starts.
    :param image: name of the program; tasks of one image behave alike.
    :param tail_target_ms: tail latency that long-running tasks must keep
        for their own users; 0 if there is no target.
    :param uses_leftover: whether the tasks use only CPU time that other
        tasks leave; their ``cpu_millis`` does not count against the
        capacity.
    :param max_unavailable: most long-running tasks that this system may
        take down at once; None if there is no limit.
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

    @property
    def may_have_copies(self) -> bool:
        """Return whether a task may have several runs at the same time."""
        return self.is_speculative and not (
            self.is_gang or self.is_long_running
        )

    @property
    def reservation(self) -> Resources:
        """Return the capacity that one task reserves on a worker."""
        if self.uses_leftover:
            return self.resources._replace(cpu_millis=0)
        return self.resources


class JobSpec(NamedTuple):
    """A submitted job.

    :param job_id: id that the caller chose; unique over all queues.
    :param queue: name of the queue.
    :param payload: text that is passed to every task.
    :param run_count: number of occurrences; 0 for a job that runs once and
        starts immediately.
    :param start_at_ms: wall-clock time of occurrence 0, ms since 1970.
    :param interval_ms: time between the starts of occurrences.
    :param submitted_ms: wall-clock time of the submission, ms since 1970,
        by the clock of the instance that accepted it.
    :param workspace: name of the workspace whose API key the caller sent;
        empty if the queue is public or there are no workspaces.
    :param accepting_queue: the queue when it accepted the job; None in jobs
        of releases that did not store it.
    """

    job_id: str
    queue: str
    payload: str
    steps: tuple[StepSpec, ...]
    run_count: int = 0
    start_at_ms: int = 0
    interval_ms: int = 0
    submitted_ms: int = 0
    workspace: str = ""
    accepting_queue: QueueSnapshot | None = None

    @property
    def occurrences(self) -> int:
        """Return the number of occurrences, at least 1."""
        return max(1, self.run_count)

    def due_ms(self, occurrence: int) -> int:
        """Return the earliest start of an occurrence, ms since 1970."""
        if self.run_count == 0:
            return self.submitted_ms
        return self.start_at_ms + occurrence * self.interval_ms
