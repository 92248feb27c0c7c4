from __future__ import annotations

import threading
import time

from typing import TYPE_CHECKING
from typing import cast

import pytest

from result import Ok
from result import Result

from magnoliapitch.control.events import StartAnswered
from magnoliapitch.control.events import StopAnswered
from magnoliapitch.control.order_sender import MAX_QUEUED_MS
from magnoliapitch.control.order_sender import OrderSender
from magnoliapitch.control.worker_group import WorkerGroup
from magnoliapitch.entry.job_node import WORKER_CONNECTIONS
from magnoliapitch.http.client import HttpClient
from magnoliapitch.metric import Metrics
from magnoliapitch.planner.plan import PlannedStart
from magnoliapitch.platform import PlatformWorkers
from magnoliapitch.verdict import Failure
from magnoliapitch.verdict import FailureCode
from magnoliapitch.verdict import Verdict
from magnoliapitch.workload.job import TaskKey
from magnoliapitch.workload.run import StartOrder
from magnoliapitch.workload.run import StopOrder
from magnoliapitch.workload.worker import WorkerInfo
from tests.control.limited_worker import LimitedWorker


if TYPE_CHECKING:
    from collections.abc import Iterator
    from collections.abc import Mapping

    from magnoliapitch.clock import Clock
    from magnoliapitch.control.events import Event
    from magnoliapitch.http.client import HttpReply
    from magnoliapitch.workload.client import WorkerClient


SOON_S = 15.0
MAX_CONNECTIONS = 64
LOST_LEADERS = MAX_CONNECTIONS // WORKER_CONNECTIONS - 1


class PatientClient(HttpClient):
    """Waits long for answers, since the machine of a test may be busy."""

    def exchange(
        self,
        method: str,
        url: str,
        timeout_ms: int,
        body: bytes | None = None,
        headers: Mapping[str, str] | None = None,
    ) -> Result[HttpReply, Failure]:
        timeout_ms += int(SOON_S * 1_000)
        return super().exchange(method, url, timeout_ms, body, headers)


class SteppedClock:
    def __init__(self) -> None:
        self.time_ms = 0

    def now_ms(self) -> int:
        return self.time_ms


class Caller:
    """An instance that renews a worker's lease and sends it orders."""

    def __init__(self, worker: LimitedWorker) -> None:
        self.client = PatientClient(WORKER_CONNECTIONS)
        self.outcomes: list[Result[int, Failure]] = []
        self._answered = threading.Semaphore(0)
        workers = PlatformWorkers(self.client)
        clock = cast("Clock", SteppedClock())
        self.group = WorkerGroup(
            workers,
            clock,
            OrderSender(workers, clock, Metrics()),
            lambda *_: 10_000,
            self._record,
        )
        self._info = WorkerInfo("w", "app", worker.address, "z")
        self.group.add(self._info, 1)

    def call(self, count: int) -> None:
        """Send starts and stops all at once, and wait for the answers."""
        for number in range(count):
            start = start_order(number)
            planned = PlannedStart(start.task, 1, "w", "")
            self.group.start(self._info, planned, start)
            self.group.order_stop(self._info, StopOrder(start.task, 1, 1))
        for _ in range(2 * count):
            assert self._answered.acquire(timeout=SOON_S)

    def _record(self, event: Event) -> None:
        if isinstance(event, StartAnswered | StopAnswered):
            self.outcomes.append(event.outcome)
            self._answered.release()


def start_order(number: int) -> StartOrder:
    return StartOrder(TaskKey("a", 0, 0, number), 1, "text", 1, 10_000)


@pytest.fixture
def worker() -> Iterator[LimitedWorker]:
    worker = LimitedWorker(MAX_CONNECTIONS)
    yield worker
    worker.shutdown()
    worker.server_close()


def wait_until_open(worker: LimitedWorker, count: int) -> None:
    end_s = time.monotonic() + SOON_S
    while worker.open_count != count and time.monotonic() < end_s:
        time.sleep(0.01)
    assert worker.open_count == count


# Orders that were sent at the same time opened one connection each, which
# stayed open as long as the instance lived.
def test_many_orders_at_once_share_a_connection(worker: LimitedWorker) -> None:
    caller = Caller(worker)
    caller.call(20)
    assert all(outcome.is_ok() for outcome in caller.outcomes)
    assert worker.max_open <= WORKER_CONNECTIONS
    caller.group.close()


# A worker keeps the connections of machines that lose power, and those of a
# few leaders used up what it accepts: all calls of later leaders were reset.
def test_leaders_that_vanish_in_turn_leave_room_for_the_next(
    worker: LimitedWorker,
) -> None:
    vanished = []
    for _ in range(LOST_LEADERS):
        caller = Caller(worker)
        caller.call(4)
        caller.group.close()
        vanished.append(caller)
    last = Caller(worker)
    last.call(4)
    assert all(outcome.is_ok() for outcome in last.outcomes)
    assert worker.refused == 0
    last.group.close()


# Each instance that had ever led kept its idle connections to every worker.
def test_an_instance_that_leads_no_more_closes_its_connections(
    worker: LimitedWorker,
) -> None:
    caller = Caller(worker)
    caller.call(1)
    caller.client.close_unused()
    caller.call(1)
    assert worker.opened <= WORKER_CONNECTIONS
    caller.group.close()
    wait_until_open(worker, WORKER_CONNECTIONS)
    caller.client.close_unused()
    caller.client.close_unused()
    wait_until_open(worker, 0)


class HangingWorkers:
    """Answers no start order before it is released."""

    def __init__(self) -> None:
        self.called = threading.Event()
        self.released = threading.Event()
        self.starts: list[StartOrder] = []

    def start(
        self, worker: WorkerInfo, order: StartOrder, timeout_ms: int
    ) -> Result[int, Failure]:
        del worker, timeout_ms
        self.starts.append(order)
        self.called.set()
        self.released.wait(SOON_S)
        return Ok(1)


# A start that waits for an unanswered order must go to another worker.
def test_a_start_that_waited_long_for_another_is_not_sent() -> None:
    clock = SteppedClock()
    workers = HangingWorkers()
    client = cast("WorkerClient", workers)
    sender = OrderSender(client, cast("Clock", clock), Metrics())
    answers: list[StartAnswered] = []
    both = threading.Semaphore(0)

    def post(event: Event) -> None:
        assert isinstance(event, StartAnswered)
        answers.append(event)
        both.release()

    info = WorkerInfo("w", "app", "127.0.0.1:1", "z")
    for number in range(2):
        start = start_order(number)
        planned = PlannedStart(start.task, 1, "w", "")
        sender.start(info, planned, start, post)
    assert workers.called.wait(SOON_S)
    clock.time_ms += MAX_QUEUED_MS + 1
    workers.released.set()
    for _ in range(2):
        assert both.acquire(timeout=SOON_S)
    assert workers.starts == [start_order(0)]
    failure = answers[1].outcome.unwrap_err()
    assert failure.verdict is Verdict.NOT_RUN
    assert failure.code is FailureCode.OVERLOADED
