"""Runs of tasks on workers: orders, reports and permits.

A run is one attempt of a task on a worker.
"""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple

from magnoliapitch.workload.job import TaskKey


class EndKind(StrEnum):
    """Way in which a run ended.

    The last two apply to the run of a gang's member: another member has
    ended, or other members are missing.
    """

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LEASE_EXPIRED = "lease-expired"
    MEMBER_ENDED = "member-ended"
    MEMBERS_MISSING = "members-missing"


class ActiveRun(NamedTuple):
    """A run that a worker reports as active.

    :param run: number of the run.
    :param checkpoint: newest saved checkpoint; empty if there is none.
    :param percent: progress from 0 to 100; a long-running task is at 100
        once it is working.
    :param load: approximate load over the last half second: the tail
        latency in milliseconds of a task with a tail target, the used
        ``cpu_millis`` of any other; 0 if it is not reported.
    """

    task: TaskKey
    run: int
    checkpoint: str = ""
    percent: float = 0.0
    load: float = 0.0


class EndedRun(NamedTuple):
    """A run that has ended and whose end is not acknowledged yet.

    :param sequence: sequence number among the ended runs of the worker,
        from 1.
    :param run: number of the run.
    :param checkpoint: newest saved checkpoint; empty if there is none.
    """

    sequence: int
    task: TaskKey
    run: int
    kind: EndKind
    checkpoint: str = ""


class StartOrder(NamedTuple):
    """Order to start a run of a task.

    :param run: number of the run; all members of a gang share it.
    :param token: fencing token of the leader.
    :param deadline_ms: end of the worker's lease on its own clock.
    :param checkpoint: checkpoint to resume from; empty to start afresh.
    :param ticket: ticket of the advisor's permit; empty if none is needed.
    """

    task: TaskKey
    run: int
    payload: str
    token: int
    deadline_ms: int
    checkpoint: str = ""
    ticket: str = ""


class StopOrder(NamedTuple):
    """Order to stop a run."""

    task: TaskKey
    run: int
    token: int


class WorkerReport(NamedTuple):
    """Answer of a worker to the renewal of its lease.

    :param clock_ms: the worker's own monotonic clock.
    :param ended: ended runs that are not acknowledged yet, the oldest ones.
    :param has_all_ends: whether these are certainly all; otherwise the next
        reports list further ones, once these are acknowledged.
    """

    clock_ms: int
    running: tuple[ActiveRun, ...]
    ended: tuple[EndedRun, ...]
    has_all_ends: bool = True


class Permit(NamedTuple):
    """Permission of the advisor to run a step on a worker.

    :param ticket: text that a start order must carry.
    """

    worker_id: str
    ticket: str
