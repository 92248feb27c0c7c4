"""Runs of tasks on workers: orders, reports and permits."""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple

from magnoliapitch.workload.job import TaskKey


class EndKind(StrEnum):
    """How a run ended."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LEASE_EXPIRED = "lease-expired"
    MEMBER_ENDED = "member-ended"
    MEMBERS_MISSING = "members-missing"


class RunningTask(NamedTuple):
    """A run that a worker has listed as going on.

    :param checkpoint: newest saved progress, or empty.
    :param percent: progress from 0 to 100; of a long-running task 100
        once it is at work.
    :param load: rough figure of the last half second: the tail latency
        in milliseconds of a task with a tail target, the used
        ``cpu_millis`` of any other; 0 if not told.
    """

    task: TaskKey
    run: int
    checkpoint: str = ""
    percent: float = 0.0
    load: float = 0.0


class EndedRun(NamedTuple):
    """A run that has ended and whose end is not acknowledged yet.

    :param sequence: position in the worker's list of ends, from 1.
    :param checkpoint: newest saved progress, or empty.
    """

    sequence: int
    task: TaskKey
    run: int
    kind: EndKind
    checkpoint: str = ""


class StartOrder(NamedTuple):
    """An order to run a task.

    :param run: number of the run; all members of a gang share it.
    :param token: fencing token of the instance that decides.
    :param deadline_ms: end of the lease on the worker's own clock.
    :param checkpoint: progress to resume from, or empty.
    :param ticket: the advisor's permission, or empty.
    """

    task: TaskKey
    run: int
    payload: str
    token: int
    deadline_ms: int
    checkpoint: str = ""
    ticket: str = ""


class StopOrder(NamedTuple):
    """An order to stop a run."""

    task: TaskKey
    run: int
    token: int


class WorkerReport(NamedTuple):
    """What a worker answers when its lease is renewed.

    :param clock_ms: the worker's own steady clock.
    """

    clock_ms: int
    running: tuple[RunningTask, ...]
    ended: tuple[EndedRun, ...]


class Permit(NamedTuple):
    """Permission to run a step on a worker.

    :param ticket: what a start must carry.
    """

    worker_id: str
    ticket: str
