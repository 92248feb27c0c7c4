"""Entries of the book: jobs, steps, tasks, runs and workers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from magnoliapitch.resource import NO_RESOURCES
from magnoliapitch.resource import Resources
from magnoliapitch.workload.job import StepKey
from magnoliapitch.workload.progress import JobOutcome


if TYPE_CHECKING:
    from magnoliapitch.workload.configuration import Queue
    from magnoliapitch.workload.job import JobSpec
    from magnoliapitch.workload.job import StepSpec
    from magnoliapitch.workload.worker import WorkerInfo


class RunEntry:
    """A run that was ordered and whose end is not known.

    :ivar resources: what it takes of the worker's capacity.
    :ivar confirmed_ms: when the worker had accepted or listed it.
    :ivar is_restored: a former leader stored it and may have ordered it.
    :ivar is_stopping: it is to be stopped.
    :ivar stop_sent_ms: when the newest order to stop it was sent.
    :ivar stopped_ms: when the worker had accepted an order to stop it.
    :ivar percent: newest progress that the worker has listed.
    """

    __slots__ = (
        "confirmed_ms",
        "is_restored",
        "is_stopping",
        "load",
        "ordered_ms",
        "percent",
        "percent_ms",
        "resources",
        "resumed_percent",
        "run",
        "started_ms",
        "stop_sent_ms",
        "stopped_ms",
        "task",
        "worker_id",
    )

    def __init__(
        self, task: TaskEntry, run: int, worker_id: str, now_ms: int
    ) -> None:
        self.task = task
        self.run = run
        self.worker_id = worker_id
        self.resources = task.step.charge
        self.ordered_ms = now_ms
        self.started_ms: int | None = None
        self.confirmed_ms: int | None = None
        self.is_restored = False
        self.is_stopping = False
        self.stop_sent_ms: int | None = None
        self.stopped_ms: int | None = None
        self.percent = 0.0
        self.percent_ms = now_ms
        self.resumed_percent = 0.0
        self.load = 0.0


class TaskEntry:
    """A task and its runs.

    :ivar runs: highest run number ordered so far.
    :ivar live: runs that may be going on.
    """

    __slots__ = (
        "checkpoint",
        "failures",
        "is_done",
        "key",
        "live",
        "runs",
        "step",
    )

    def __init__(self, step: StepEntry, position: int) -> None:
        self.step = step
        self.key = step.key.task(position)
        self.runs = 0
        self.failures = 0
        self.is_done = False
        self.checkpoint = ""
        self.live: list[RunEntry] = []


class StepEntry:
    """A step of one occurrence.

    :ivar charge: what one task takes of a worker's capacity.
    :ivar latest_ms: when the rest of the job must begin at the latest.
    :ivar objective_ms: time within which the job should complete.
    :ivar ranked_ms: when both were computed.
    :ivar ready_ms: when all that it depends on was done; None before.
    :ivar good: workers that the advisor has permitted.
    :ivar asked: workers that the advisor was asked about.
    :ivar failed_on: workers on which a run of it has failed.
    :ivar undone: number of tasks that are not done.
    :ivar waiting: number of tasks that are neither done nor may be running.
    :ivar tickets_by_worker: ticket and end of its validity.
    :ivar asking: workers in a call to the advisor that is under way.
    """

    __slots__ = (
        "asked",
        "asking",
        "charge",
        "failed_on",
        "failed_runs",
        "good",
        "job",
        "key",
        "latest_ms",
        "objective_ms",
        "ranked_ms",
        "ready_ms",
        "retry_ms",
        "spec",
        "tasks",
        "tickets_by_worker",
        "undone",
        "waiting",
    )

    def __init__(self, job: JobEntry, occurrence: int, number: int) -> None:
        self.job = job
        self.key = StepKey(job.spec.job_id, occurrence, number)
        self.spec: StepSpec = job.spec.steps[number]
        self.charge = _charge(self.spec)
        self.tasks = [
            TaskEntry(self, position)
            for position in range(self.spec.task_count)
        ]
        self.undone = self.spec.task_count
        self.waiting = self.spec.task_count
        self.ready_ms: int | None = None
        self.retry_ms = 0
        self.good: set[str] = set()
        self.asked: set[str] = set()
        self.tickets_by_worker: dict[str, tuple[str, int]] = {}
        self.asking: frozenset[str] = frozenset()
        self.failed_on: set[str] = set()
        self.failed_runs: set[int] = set()
        self.latest_ms: float | None = None
        self.objective_ms = 0.0
        self.ranked_ms = 0

    @property
    def is_asking(self) -> bool:
        """Return whether a call to the advisor is under way."""
        return bool(self.asking)

    @property
    def is_done(self) -> bool:
        """Return whether every task is done."""
        return self.undone == 0

    def waiting_tasks(self) -> list[TaskEntry]:
        """Return the tasks that are neither done nor may be running."""
        return [
            task for task in self.tasks if not task.is_done and not task.live
        ]

    def live_runs(self) -> list[RunEntry]:
        """Return every run that may be going on."""
        return [run for task in self.tasks for run in task.live]


class JobEntry:
    """An accepted job.

    :ivar known_ms: when this instance learned of it, by its own clock.
    :ivar outcome: final state, or ``OPEN``.
    :ivar has_begun: a worker has surely begun one of its tasks.
    """

    __slots__ = (
        "has_begun",
        "known_ms",
        "outcome",
        "queue",
        "spec",
        "steps",
    )

    def __init__(self, spec: JobSpec, queue: Queue, known_ms: int) -> None:
        self.spec = spec
        self.queue = queue
        self.known_ms = known_ms
        self.outcome = JobOutcome.OPEN
        self.has_begun = False
        self.steps = [
            [
                StepEntry(self, occurrence, number)
                for number in range(len(spec.steps))
            ]
            for occurrence in range(spec.occurrences)
        ]

    def all_steps(self) -> list[StepEntry]:
        """Return the steps of every occurrence."""
        return [step for steps in self.steps for step in steps]


class WorkerEntry:
    """A worker and what it may be running.

    :ivar info: None while the platform has not listed it.
    :ivar is_usable: it answers, its lease is held and it takes work.
    """

    __slots__ = ("free", "info", "is_usable", "runs", "worker_id")

    def __init__(self, worker_id: str) -> None:
        self.worker_id = worker_id
        self.info: WorkerInfo | None = None
        self.is_usable = False
        self.free = NO_RESOURCES
        self.runs: list[RunEntry] = []

    def update(self, info: WorkerInfo) -> None:
        """Take over what the platform lists."""
        self.info = info
        used = NO_RESOURCES
        for run in self.runs:
            used = used.plus(run.resources)
        self.free = info.capacity.minus(used)

    def add(self, run: RunEntry) -> None:
        """Reserve room for a run."""
        self.runs.append(run)
        self.free = self.free.minus(run.resources)

    def remove(self, run: RunEntry) -> None:
        """Free the room of a run."""
        self.runs.remove(run)
        self.free = self.free.plus(run.resources)


def _charge(spec: StepSpec) -> Resources:
    if spec.uses_leftover:
        return spec.resources._replace(cpu_millis=0)
    return spec.resources
