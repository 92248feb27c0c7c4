"""Messages between the leader and an agent."""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple

from magnoliapitch.verdict import Failure
from magnoliapitch.workload.job import TaskKey
from magnoliapitch.workload.run import ActiveRun
from magnoliapitch.workload.run import EndedRun


class SessionKey(NamedTuple):
    """Identity of a session; a later one is greater.

    :param epoch: the leader's epoch, its lowest fencing token.
    :param number: number of the session among those of the leader.
    """

    epoch: int
    number: int


class WorkerAddress(NamedTuple):
    """A worker that the agent is to call.

    :param address: ``IP:PORT``.
    :param token: fencing token of all calls to it.
    """

    worker_id: str
    address: str
    token: int


class LeaseGrant(NamedTuple):
    """What the next renewals of a worker's lease carry.

    :param deadline_ms: end of the lease on the worker's clock; None to only
        get a report.
    :param acknowledged_sequence: the worker may drop ended runs up to this
        sequence number.
    """

    worker_id: str
    deadline_ms: int | None
    acknowledged_sequence: int


class DelegatedStart(NamedTuple):
    """Order to start a run; the payload is sent once for each job."""

    worker_id: str
    task: TaskKey
    run: int
    deadline_ms: int
    checkpoint: str
    ticket: str


class DelegatedStop(NamedTuple):
    """Order to stop a run."""

    worker_id: str
    task: TaskKey
    run: int


class CommandBatch(NamedTuple):
    """Commands of the leader, or a mere request for events.

    :param number: number among the session's batches with commands, from 1;
        0 for a request for events. The agent applies each number once. The
        first one begins the session.
    :param received_event: number of the last event that the leader has
        received; the agent drops the events up to it.
    :param wait_ms: how long the agent may wait for an event.
    :param released_worker_ids: workers that the agent calls no more.
    """

    session: SessionKey
    number: int
    received_event: int
    wait_ms: int = 0
    assigned: tuple[WorkerAddress, ...] = ()
    released_worker_ids: tuple[str, ...] = ()
    grants: tuple[LeaseGrant, ...] = ()
    payload_by_job: dict[str, str] = {}  # noqa: RUF012
    starts: tuple[DelegatedStart, ...] = ()
    stops: tuple[DelegatedStop, ...] = ()


class AgentEventKind(StrEnum):
    """Call to a worker whose outcome an event reports."""

    RENEWAL = "renewal"
    START = "start"
    STOP = "stop"


class AgentEvent(NamedTuple):
    """Outcome of a call to a worker.

    :param sent_ms: when the call was sent, by the agent's clock.
    :param received_ms: when it was answered or had failed, by the agent's
        clock.
    :param failure: None if the worker has carried out the call.
    :param clock_ms: the worker's own clock; 0 after a failure.
    :param task: task of an order; None for a renewal.
    :param run: number of the run of an order.
    :param running: active runs in the answer to a renewal; None if they are
        those of the worker's previous answer.
    :param ended: ended runs in the answer to a renewal.
    :param has_all_ends: whether the worker has certainly no further ones.
    """

    kind: AgentEventKind
    worker_id: str
    sent_ms: int
    received_ms: int
    failure: Failure | None = None
    clock_ms: int = 0
    task: TaskKey | None = None
    run: int = 0
    running: tuple[ActiveRun, ...] | None = None
    ended: tuple[EndedRun, ...] = ()
    has_all_ends: bool = True


class EventBatch(NamedTuple):
    """Events of an agent.

    :param clock_ms: the agent's clock when it answered.
    :param first_event: number of the first event in the batch.
    :param start_limit: number of start orders that the agent can have in
        flight.
    """

    clock_ms: int
    first_event: int
    start_limit: int
    events: tuple[AgentEvent, ...] = ()
