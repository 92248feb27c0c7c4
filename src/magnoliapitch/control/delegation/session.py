"""The leader's side of a session with an agent."""

from __future__ import annotations

import threading

from typing import TYPE_CHECKING
from typing import NamedTuple

from result import Err
from result import Ok
from result import Result

from magnoliapitch.control.delegation.messages import AgentEventKind
from magnoliapitch.control.delegation.messages import CommandBatch
from magnoliapitch.control.delegation.messages import DelegatedStart
from magnoliapitch.control.delegation.messages import DelegatedStop
from magnoliapitch.control.delegation.messages import LeaseGrant
from magnoliapitch.control.delegation.messages import WorkerAddress
from magnoliapitch.control.events import StartAnswered
from magnoliapitch.control.events import StopAnswered
from magnoliapitch.control.events import WorkerReported
from magnoliapitch.event import log_event
from magnoliapitch.workload.job import TaskKey
from magnoliapitch.workload.run import WorkerReport


if TYPE_CHECKING:
    from collections.abc import Callable

    from magnoliapitch.clock import Clock
    from magnoliapitch.control.delegation.messages import AgentEvent
    from magnoliapitch.control.delegation.messages import EventBatch
    from magnoliapitch.control.delegation.messages import SessionKey
    from magnoliapitch.control.events import Event
    from magnoliapitch.planner.plan import PlannedStart
    from magnoliapitch.verdict import Failure
    from magnoliapitch.workload.run import ActiveRun
    from magnoliapitch.workload.run import StartOrder
    from magnoliapitch.workload.run import StopOrder
    from magnoliapitch.workload.worker import WorkerInfo


# Start orders that the agent may have in flight, until it has told.
FIRST_START_LIMIT = 32


class _RunKey(NamedTuple):
    task: TaskKey
    run: int
    worker_id: str


class AgentSession:
    """Collects commands for an agent and turns its events into the leader's.

    Commands are sent in numbered batches, one at a time. A batch whose answer
    was lost is sent again, and the agent applies it once. Thread-safe.

    Times of the agent's clock are converted so that an error is on the safe
    side: a call seems to have been sent no later, and answered no earlier,
    than it was.

    :param post: called with each event.
    :ivar start_limit: start orders that the agent may have in flight.
    """

    def __init__(
        self, key: SessionKey, clock: Clock, post: Callable[[Event], None]
    ) -> None:
        self.key = key
        self._clock = clock
        self._post = post
        self._lock = threading.Lock()
        self._has_commands = threading.Event()
        self._last_number = 0
        self._received_event = 0
        self.start_limit = FIRST_START_LIMIT
        self._unconfirmed: CommandBatch | None = None
        self._worker_ids: set[str] = set()
        self._running_by_worker: dict[str, tuple[ActiveRun, ...]] = {}
        self._planned_by_run: dict[_RunKey, PlannedStart] = {}
        self._stops: set[_RunKey] = set()
        self._acknowledged_by_worker: dict[str, int] = {}
        self._deadline_by_worker: dict[str, int | None] = {}
        # Commands of the next batch.
        self._new_workers_by_id: dict[str, WorkerAddress] = {}
        self._released_worker_ids: set[str] = set()
        self._changed_grants: set[str] = set()
        self._payload_by_job: dict[str, str] = {}
        self._new_starts: list[DelegatedStart] = []
        self._new_stops: list[DelegatedStop] = []

    @property
    def is_open(self) -> bool:
        """Return whether the agent has taken the first batch."""
        return self._last_number > 1 or (
            self._last_number == 1 and self._unconfirmed is None
        )

    @property
    def is_idle(self) -> bool:
        """Return whether no worker, order or command is left."""
        with self._lock:
            return not (
                self._worker_ids
                or self._planned_by_run
                or self._stops
                or self._unconfirmed
                or self._has_commands.is_set()
            )

    def assign(self, worker: WorkerInfo, token: int) -> None:
        """Let the agent call a worker.

        :param token: fencing token of all calls to it.
        """
        with self._lock:
            self._worker_ids.add(worker.worker_id)
            self._new_workers_by_id[worker.worker_id] = WorkerAddress(
                worker.worker_id, worker.address, token
            )
            self._has_commands.set()

    def release(self, worker_id: str) -> None:
        """Let the agent call a worker no more."""
        with self._lock:
            self._worker_ids.discard(worker_id)
            self._running_by_worker.pop(worker_id, None)
            self._deadline_by_worker.pop(worker_id, None)
            self._acknowledged_by_worker.pop(worker_id, None)
            self._changed_grants.discard(worker_id)
            self._new_workers_by_id.pop(worker_id, None)
            self._released_worker_ids.add(worker_id)
            self._has_commands.set()

    def grant(self, worker_id: str, deadline_ms: int | None) -> None:
        """Set the end of a worker's next lease on its own clock."""
        with self._lock:
            if worker_id not in self._worker_ids:
                return
            is_first = worker_id not in self._deadline_by_worker
            if is_first or self._deadline_by_worker[worker_id] != deadline_ms:
                self._deadline_by_worker[worker_id] = deadline_ms
                self._changed_grants.add(worker_id)
                self._has_commands.set()

    def acknowledge(self, worker_id: str, sequence: int) -> None:
        """Let a worker drop ended runs up to a sequence number."""
        with self._lock:
            last_sequence = self._acknowledged_by_worker.get(worker_id, 0)
            if worker_id in self._worker_ids and sequence > last_sequence:
                self._acknowledged_by_worker[worker_id] = sequence
                self._changed_grants.add(worker_id)
                self._has_commands.set()

    def start(self, planned: PlannedStart, order: StartOrder) -> None:
        """Order a worker to start a run."""
        key = _RunKey(planned.task, planned.run, planned.worker_id)
        with self._lock:
            self._planned_by_run[key] = planned
            self._payload_by_job[order.task.job_id] = order.payload
            self._new_starts.append(
                DelegatedStart(
                    planned.worker_id,
                    order.task,
                    order.run,
                    order.deadline_ms,
                    order.checkpoint,
                    order.ticket,
                )
            )
            self._has_commands.set()

    def order_stop(self, worker_id: str, order: StopOrder) -> None:
        """Order a worker to stop a run."""
        key = _RunKey(order.task, order.run, worker_id)
        with self._lock:
            self._stops.add(key)
            self._new_stops.append(
                DelegatedStop(worker_id, order.task, order.run)
            )
            self._has_commands.set()

    def available_start_orders(self) -> int:
        """Return the number of start orders that may be sent now."""
        with self._lock:
            return max(0, self.start_limit - len(self._planned_by_run))

    def wait_for_commands(self, timeout_ms: int) -> bool:
        """Wait until there are commands; return whether there are."""
        return self._has_commands.wait(timeout_ms / 1000)

    def next_batch(self) -> CommandBatch:
        """Return the batch to send now: an unconfirmed one, or a new one."""
        with self._lock:
            if self._unconfirmed is None:
                self._last_number += 1
                self._unconfirmed = self._take_commands()
            return self._unconfirmed._replace(
                received_event=self._received_event
            )

    def request_for_events(self, wait_ms: int) -> CommandBatch:
        """Return a batch without commands.

        :param wait_ms: how long the agent may wait for an event.
        """
        with self._lock:
            return CommandBatch(self.key, 0, self._received_event, wait_ms)

    def handle_reply(
        self,
        batch: CommandBatch,
        reply: EventBatch,
        sent_ms: int,
        received_ms: int,
    ) -> None:
        """Confirm a batch and post the events that are new.

        :param sent_ms: when the batch was sent, by the leader's clock.
        :param received_ms: when the reply arrived, by the leader's clock.
        """
        with self._lock:
            unconfirmed = self._unconfirmed
            if unconfirmed and batch.number == unconfirmed.number:
                self._unconfirmed = None
            self.start_limit = reply.start_limit
            earliest_offset_ms = sent_ms - reply.clock_ms
            latest_offset_ms = received_ms - reply.clock_ms
            for number, event in enumerate(reply.events, reply.first_event):
                if number == self._received_event + 1:
                    self._received_event = number
                    self._post_event(
                        event._replace(
                            sent_ms=event.sent_ms + earliest_offset_ms,
                            received_ms=event.received_ms + latest_offset_ms,
                        )
                    )

    def fail(self, failure: Failure) -> None:
        """End the session: post a failure for all that is unanswered."""
        now_ms = self._clock.now_ms()
        outcome = Err(failure)
        with self._lock:
            for worker_id in self._worker_ids:
                self._post(WorkerReported(worker_id, outcome, now_ms, now_ms))
            for planned in self._planned_by_run.values():
                self._post(StartAnswered(planned, outcome, now_ms, now_ms))
            for task, run, worker_id in self._stops:
                self._post(StopAnswered(task, run, worker_id, outcome, now_ms))
            self._worker_ids.clear()
            self._planned_by_run.clear()
            self._stops.clear()

    def _take_commands(self) -> CommandBatch:
        grants = tuple(
            LeaseGrant(
                worker_id,
                self._deadline_by_worker.get(worker_id),
                self._acknowledged_by_worker.get(worker_id, 0),
            )
            for worker_id in sorted(self._changed_grants)
        )
        batch = CommandBatch(
            self.key,
            self._last_number,
            self._received_event,
            0,
            tuple(self._new_workers_by_id.values()),
            tuple(sorted(self._released_worker_ids)),
            grants,
            self._payload_by_job,
            tuple(self._new_starts),
            tuple(self._new_stops),
        )
        self._new_workers_by_id = {}
        self._released_worker_ids = set()
        self._changed_grants = set()
        self._payload_by_job = {}
        self._new_starts, self._new_stops = [], []
        self._has_commands.clear()
        return batch

    def _post_event(self, event: AgentEvent) -> None:
        if event.kind is AgentEventKind.RENEWAL:
            self._post_report(event)
            return
        if event.task is None:
            log_event("record-unreadable", key=event.kind, reason="no task")
            return
        key = _RunKey(event.task, event.run, event.worker_id)
        outcome = _outcome_of(event)
        if event.kind is AgentEventKind.STOP:
            self._stops.discard(key)
            self._post(StopAnswered(*key, outcome, event.received_ms))
            return
        planned = self._planned_by_run.pop(key, None)
        if planned is not None:
            self._post(
                StartAnswered(
                    planned, outcome, event.sent_ms, event.received_ms
                )
            )

    def _post_report(self, event: AgentEvent) -> None:
        worker_id = event.worker_id
        if worker_id not in self._worker_ids:
            return
        outcome: Result[WorkerReport, Failure]
        if event.failure is not None:
            outcome = Err(event.failure)
        else:
            if event.running is not None:
                self._running_by_worker[worker_id] = event.running
            running = self._running_by_worker.get(worker_id)
            if running is None:
                # It repeats a report from before the worker was released and
                # assigned again.
                return
            outcome = Ok(
                WorkerReport(
                    event.clock_ms, running, event.ended, event.has_all_ends
                )
            )
        self._post(
            WorkerReported(
                worker_id, outcome, event.sent_ms, event.received_ms
            )
        )


def _outcome_of(event: AgentEvent) -> Result[int, Failure]:
    return Ok(event.clock_ms) if event.failure is None else Err(event.failure)
