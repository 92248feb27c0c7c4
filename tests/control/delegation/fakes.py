"""Workers and agents for tests of the delegation, without a network."""

from __future__ import annotations

import threading

from typing import TYPE_CHECKING

from result import Err
from result import Ok
from result import Result

from magnoliapitch.advice.peer_health import PeerHealth
from magnoliapitch.clock import ManualClock
from magnoliapitch.control.delegation.agent import Agent
from magnoliapitch.control.delegation.messages import SessionKey
from magnoliapitch.control.delegation.session import AgentSession
from magnoliapitch.control.order_sender import OrderSender
from magnoliapitch.ledger.members import Member
from magnoliapitch.metric import Metrics
from magnoliapitch.planner.plan import PlannedStart
from magnoliapitch.verdict import Failure
from magnoliapitch.verdict import FailureCode
from magnoliapitch.verdict import may_have_run
from magnoliapitch.workload.job import TaskKey
from magnoliapitch.workload.run import ActiveRun
from magnoliapitch.workload.run import StartOrder
from magnoliapitch.workload.run import StopOrder
from magnoliapitch.workload.run import WorkerReport
from magnoliapitch.workload.worker import WorkerInfo


if TYPE_CHECKING:
    from magnoliapitch.clock import Clock
    from magnoliapitch.control.delegation.messages import CommandBatch
    from magnoliapitch.control.delegation.messages import EventBatch
    from magnoliapitch.control.events import Event


UNANSWERED = Err(may_have_run(FailureCode.TIMEOUT, "no answer"))
SOON_S = 5.0


def worker(worker_id: str, zone: str = "a") -> WorkerInfo:
    return WorkerInfo(worker_id, "app", "10.0.0.1:1", zone, f"rack-{zone}")


def member(address: str, zone: str = "a", cores: float = 1.0) -> Member:
    return Member(address, zone, cores)


def start_order(
    position: int, worker_id: str
) -> tuple[PlannedStart, StartOrder]:
    task = TaskKey("job", 0, 0, position)
    planned = PlannedStart(task, 1, worker_id, "")
    return planned, StartOrder(task, 1, "text", 7, 1_000)


class FakeWorkers:
    """Workers whose long polls are answered when a run has begun.

    :ivar started: every start order that arrived.
    :ivar renewed_ids: worker of every renewal.
    """

    def __init__(self) -> None:
        self.started: list[StartOrder] = []
        self.stopped: list[StopOrder] = []
        self.renewed_ids: list[str] = []
        self.deadlines_ms: list[int | None] = []
        self._condition = threading.Condition()

    def start(
        self, worker: WorkerInfo, order: StartOrder, timeout_ms: int
    ) -> Result[int, Failure]:
        del worker, timeout_ms
        with self._condition:
            self.started.append(order)
            self._condition.notify_all()
        return Ok(1)

    def stop(
        self, worker: WorkerInfo, order: StopOrder, timeout_ms: int
    ) -> Result[int, Failure]:
        del worker, timeout_ms
        with self._condition:
            self.stopped.append(order)
            self._condition.notify_all()
        return Ok(1)

    def renew(
        self,
        worker: WorkerInfo,
        token: int,
        deadline_ms: int | None,
        acknowledged_sequence: int,
        wait_ms: int,
        timeout_ms: int,
    ) -> Result[WorkerReport, Failure]:
        del token, acknowledged_sequence, wait_ms, timeout_ms
        with self._condition:
            self.renewed_ids.append(worker.worker_id)
            self.deadlines_ms.append(deadline_ms)
            self._condition.wait(0.05)
            runs = tuple(
                ActiveRun(order.task, order.run) for order in self.started
            )
        return Ok(WorkerReport(5_000, runs, ()))


class LossyAgents:
    """Client of agents in the same process, whose replies can be lost.

    :ivar silent_addresses: agents that cannot be reached.
    :ivar replies_to_lose: number of batches that are applied without an
        answer.
    """

    def __init__(self) -> None:
        self.agent_by_address: dict[str, Agent] = {}
        self.silent_addresses: set[str] = set()
        self.replies_to_lose = 0

    def exchange(
        self, address: str, batch: CommandBatch, timeout_ms: int
    ) -> Result[EventBatch, Failure]:
        del timeout_ms
        if address in self.silent_addresses:
            return UNANSWERED
        reply = self.agent_by_address[address].exchange(batch)
        if batch.number and self.replies_to_lose:
            self.replies_to_lose -= 1
            return UNANSWERED
        return reply


class AnsweringPeers:
    """Peers that all answer each probe at once."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock

    def health_of(self, address: str) -> PeerHealth:
        del address
        return PeerHealth(is_known=True, answered_ms=self._clock.now_ms())

    def doubt_answers(self, since_ms: int) -> None:
        del since_ms


class AgentPair:
    """A session of the leader with one agent, driven step by step.

    :ivar events: events that the session has posted.
    """

    def __init__(self, session_number: int = 1) -> None:
        self.clock = ManualClock(1_000)
        self.workers = FakeWorkers()
        self.agent = Agent(
            self.workers,  # type: ignore[arg-type]
            self.clock,
            OrderSender(self.workers, self.clock, Metrics()),  # type: ignore[arg-type]
        )
        self.events: list[Event] = []
        self.session = self.new_session(session_number)

    def new_session(self, number: int) -> AgentSession:
        return AgentSession(
            SessionKey(7, number), self.clock, self.events.append
        )

    def send(self) -> None:
        """Send the next batch of commands and handle the reply."""
        self._exchange(self.session.next_batch())

    def poll(self, wait_ms: int = 500) -> None:
        """Ask for events and handle them."""
        self._exchange(self.session.request_for_events(wait_ms))

    def poll_until(self, kind: type) -> Event:
        """Poll until an event of a kind has arrived and return it."""
        for _ in range(100):
            found = [event for event in self.events if isinstance(event, kind)]
            if found:
                return found[-1]
            self.poll()
        raise TimeoutError(f"no {kind.__name__} has arrived")

    def _exchange(self, batch: CommandBatch) -> None:
        now_ms = self.clock.now_ms()
        reply = self.agent.exchange(batch).unwrap()
        self.session.handle_reply(batch, reply, now_ms, now_ms)
