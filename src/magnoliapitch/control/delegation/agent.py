"""The agent: calls workers on behalf of the leader."""

from __future__ import annotations

import threading

from typing import TYPE_CHECKING

from result import Err
from result import Ok
from result import Result

from magnoliapitch.control.delegation.event_buffer import EventBuffer
from magnoliapitch.control.delegation.messages import AgentEvent
from magnoliapitch.control.delegation.messages import AgentEventKind
from magnoliapitch.control.delegation.messages import EventBatch
from magnoliapitch.control.events import StartAnswered
from magnoliapitch.control.events import StopAnswered
from magnoliapitch.control.events import WorkerReported
from magnoliapitch.control.log_fields import run_fields
from magnoliapitch.control.worker_group import WorkerGroup
from magnoliapitch.event import log_event
from magnoliapitch.planner.plan import PlannedStart
from magnoliapitch.verdict import FailureCode
from magnoliapitch.verdict import not_run
from magnoliapitch.workload.run import StartOrder
from magnoliapitch.workload.run import StopOrder
from magnoliapitch.workload.worker import WorkerInfo


if TYPE_CHECKING:
    from collections.abc import Hashable

    from magnoliapitch.clock import Clock
    from magnoliapitch.control.delegation.messages import CommandBatch
    from magnoliapitch.control.delegation.messages import DelegatedStart
    from magnoliapitch.control.delegation.messages import DelegatedStop
    from magnoliapitch.control.delegation.messages import SessionKey
    from magnoliapitch.control.events import Event
    from magnoliapitch.control.order_sender import OrderSender
    from magnoliapitch.verdict import Failure
    from magnoliapitch.workload.client import WorkerClient
    from magnoliapitch.workload.run import WorkerReport


# The leader asks for events several times a second. After this time without
# a call it has gone, or has given the workers to another agent.
ABANDONED_AFTER_MS = 3_000
CHECK_INTERVAL_MS = 500


class Agent:
    """Renews leases and sends orders for one leader at a time; thread-safe.

    :param workers: client of the workers.
    """

    def __init__(
        self, workers: WorkerClient, clock: Clock, order_sender: OrderSender
    ) -> None:
        self._workers = workers
        self._clock = clock
        self._order_sender = order_sender
        self._condition = threading.Condition()
        self._newest_key: SessionKey | None = None
        self._session: _Session | None = None
        self._called_ms = 0

    def exchange(self, batch: CommandBatch) -> Result[EventBatch, Failure]:
        """Apply a batch of commands and return the events.

        :return: a failure with the code ``FENCED`` if a later session has
            begun, or ``SEQUENCE`` if the session is not known here or a batch
            is missing; the leader then begins a new one.
        """
        with self._condition:
            found = self._session_of(batch)
            if isinstance(found, Err):
                return found
            self._called_ms = self._clock.now_ms()
            session = found.ok_value
            if batch.number == session.last_number + 1:
                session.apply(batch)
            session.events.drop(batch.received_event)
            if batch.wait_ms:
                self._condition.wait_for(
                    lambda: session.events or self._session is not session,
                    batch.wait_ms / 1000,
                )
            first, events = session.events.read()
            start_limit = self._order_sender.window.limit()
        return Ok(EventBatch(self._clock.now_ms(), first, start_limit, events))

    def step(self) -> int:
        """End the session if the leader has not called for some time.

        :return: pause until the next call, in milliseconds.
        """
        with self._condition:
            silent_ms = self._clock.now_ms() - self._called_ms
            if self._session is not None and silent_ms > ABANDONED_AFTER_MS:
                log_event(
                    "agent-session-ended",
                    epoch=self._session.key.epoch,
                    silent_ms=silent_ms,
                )
                self._end_session()
        return CHECK_INTERVAL_MS

    def _session_of(self, batch: CommandBatch) -> Result[_Session, Failure]:
        newest_key = self._newest_key
        if newest_key is not None and batch.session < newest_key:
            detail = f"session {newest_key} has begun"
            return Err(not_run(FailureCode.FENCED, detail))
        session = self._session
        if batch.number == 1 and batch.session != newest_key:
            session = self._begin_session(batch.session)
        if session is None or session.key != batch.session:
            detail = f"session {batch.session} is not known"
            return Err(not_run(FailureCode.SEQUENCE, detail))
        if batch.number > session.last_number + 1:
            detail = (
                f"batch {batch.number} follows batch {session.last_number}"
            )
            return Err(not_run(FailureCode.SEQUENCE, detail))
        return Ok(session)

    def _begin_session(self, key: SessionKey) -> _Session:
        self._end_session()
        log_event("agent-session-begun", epoch=key.epoch, number=key.number)
        session = _Session(
            key,
            self._workers,
            self._clock,
            self._order_sender,
            self._condition,
        )
        self._newest_key = key
        self._session = session
        return session

    def _end_session(self) -> None:
        if self._session is not None:
            self._session.group.close()
        self._session = None
        self._condition.notify_all()


class _Session:
    """Workers and events of one leader's session.

    :param condition: held by the caller of every method; notified of events.
    """

    def __init__(
        self,
        key: SessionKey,
        workers: WorkerClient,
        clock: Clock,
        order_sender: OrderSender,
        condition: threading.Condition,
    ) -> None:
        self.key = key
        self.last_number = 0
        self.events = EventBuffer()
        self.group = WorkerGroup(
            workers,
            clock,
            order_sender,
            lambda worker_id, _: self._deadline_by_worker.get(worker_id),
            self._record,
        )
        self._clock = clock
        self._condition = condition
        self._worker_by_id: dict[str, WorkerInfo] = {}
        self._token_by_worker: dict[str, int] = {}
        self._deadline_by_worker: dict[str, int | None] = {}
        self._running_by_worker: dict[str, Hashable] = {}

    def apply(self, batch: CommandBatch) -> None:
        """Apply the commands of the next batch."""
        self.last_number = batch.number
        for worker_id in batch.released_worker_ids:
            self._release(worker_id)
        for worker_id, address, token in batch.assigned:
            worker = WorkerInfo(worker_id, "", address, "")
            self._worker_by_id[worker_id] = worker
            self._token_by_worker[worker_id] = token
            self.group.add(worker, token)
        for grant in batch.grants:
            self._deadline_by_worker[grant.worker_id] = grant.deadline_ms
            self.group.acknowledge(
                grant.worker_id, grant.acknowledged_sequence
            )
        for start in batch.starts:
            payload = batch.payload_by_job[start.task.job_id]
            self._start(start, payload)
        for stop in batch.stops:
            self._stop(stop)

    def _release(self, worker_id: str) -> None:
        self.group.remove(worker_id)
        self._worker_by_id.pop(worker_id, None)
        self._token_by_worker.pop(worker_id, None)
        self._deadline_by_worker.pop(worker_id, None)
        self._running_by_worker.pop(worker_id, None)

    def _start(self, start: DelegatedStart, payload: str) -> None:
        planned = PlannedStart(
            start.task, start.run, start.worker_id, start.ticket
        )
        worker = self._worker_by_id.get(start.worker_id)
        if worker is None:
            now_ms = self._clock.now_ms()
            refused = Err(_not_assigned(start))
            self._record(StartAnswered(planned, refused, now_ms, now_ms))
            return
        order = StartOrder(
            start.task,
            start.run,
            payload,
            self._token_by_worker[start.worker_id],
            start.deadline_ms,
            start.checkpoint,
            start.ticket,
        )
        self.group.start(worker, planned, order)

    def _stop(self, stop: DelegatedStop) -> None:
        worker = self._worker_by_id.get(stop.worker_id)
        if worker is None:
            refused = Err(_not_assigned(stop))
            now_ms = self._clock.now_ms()
            self._record(
                StopAnswered(
                    stop.task, stop.run, stop.worker_id, refused, now_ms
                )
            )
            return
        token = self._token_by_worker[stop.worker_id]
        order = StopOrder(stop.task, stop.run, token)
        self.group.order_stop(worker, order)

    def _record(self, event: Event) -> None:
        with self._condition:
            if isinstance(event, WorkerReported):
                self._record_report(event)
            elif isinstance(event, StartAnswered):
                self._record_order(
                    AgentEventKind.START,
                    event.planned.worker_id,
                    event,
                    event.sent_ms,
                )
            elif isinstance(event, StopAnswered):
                self._record_order(
                    AgentEventKind.STOP,
                    event.worker_id,
                    event,
                    event.received_ms,
                )
            self._condition.notify_all()

    def _record_report(self, event: WorkerReported) -> None:
        if event.worker_id not in self._worker_by_id:
            return
        agent_event = AgentEvent(
            AgentEventKind.RENEWAL,
            event.worker_id,
            event.sent_ms,
            event.received_ms,
        )
        if isinstance(event.outcome, Err):
            failure = event.outcome.err_value
            self.events.append(agent_event._replace(failure=failure))
            return
        report = event.outcome.ok_value
        runs = _run_identities(report)
        is_unchanged = self._running_by_worker.get(event.worker_id) == runs
        self._running_by_worker[event.worker_id] = runs
        self.events.append(
            agent_event._replace(
                clock_ms=report.clock_ms,
                running=None if is_unchanged else report.running,
                ended=report.ended,
                has_all_ends=report.has_all_ends,
            )
        )

    def _record_order(
        self,
        kind: AgentEventKind,
        worker_id: str,
        event: StartAnswered | StopAnswered,
        sent_ms: int,
    ) -> None:
        order = event.planned if isinstance(event, StartAnswered) else event
        self.events.append(
            AgentEvent(
                kind,
                worker_id,
                sent_ms,
                event.received_ms,
                event.outcome.err(),
                event.outcome.unwrap_or(0),
                order.task,
                order.run,
            )
        )


def _not_assigned(order: DelegatedStart | DelegatedStop) -> Failure:
    log_event(
        "order-dropped",
        **run_fields(order.task, order.run, order.worker_id),
        reason="the worker is not assigned to this instance",
    )
    detail = "the worker is not assigned to the agent"
    return not_run(FailureCode.UNAVAILABLE, detail)


def _run_identities(report: WorkerReport) -> Hashable:
    """Return what the leader uses of a worker's active runs."""
    return tuple(
        (running.task, running.run, running.checkpoint)
        for running in report.running
    )
