from __future__ import annotations

import threading

from typing import TYPE_CHECKING

import pytest

from result import Err
from result import Ok
from result import Result

from magnoliapitch.clock import ManualClock
from magnoliapitch.clock import MonotonicClock
from magnoliapitch.control.events import StartAnswered
from magnoliapitch.control.order_sender import ATTEMPT_TIMEOUT_FACTORS
from magnoliapitch.control.order_sender import OrderSender
from magnoliapitch.control.order_sender import retry_unanswered
from magnoliapitch.control.order_window import INITIAL_LIMIT
from magnoliapitch.control.order_window import MIN_LIMIT
from magnoliapitch.control.round_trip import MIN_TIMEOUT_MS
from magnoliapitch.metric import Metrics
from magnoliapitch.planner.plan import PlannedStart
from magnoliapitch.resource import Resources
from magnoliapitch.verdict import Failure
from magnoliapitch.verdict import FailureCode
from magnoliapitch.verdict import Verdict
from magnoliapitch.verdict import may_have_run
from magnoliapitch.verdict import not_run
from magnoliapitch.workload.job import TaskKey
from magnoliapitch.workload.run import StartOrder
from magnoliapitch.workload.worker import WorkerInfo


if TYPE_CHECKING:
    from collections.abc import Callable

LOST = Err(may_have_run(FailureCode.TIMEOUT, "lost"))
NOT_CONNECTED = Err(not_run(FailureCode.UNAVAILABLE, "connect timeout"))
TIMEOUTS_MS = [
    int(MIN_TIMEOUT_MS * factor) for factor in ATTEMPT_TIMEOUT_FACTORS
]


def call_with_outcomes(
    *outcomes: Result[int, Failure],
) -> Callable[[int], Result[int, Failure]]:
    remaining = list(outcomes)
    return lambda _: remaining.pop(0)


def test_an_unanswered_order_is_retried() -> None:
    call = call_with_outcomes(LOST, Ok(7))
    assert retry_unanswered(call, TIMEOUTS_MS) == Ok(7)


def test_an_order_without_a_connection_is_retried() -> None:
    call = call_with_outcomes(NOT_CONNECTED, Ok(7))
    assert retry_unanswered(call, TIMEOUTS_MS) == Ok(7)


def test_an_order_that_never_had_a_connection_has_not_run() -> None:
    call = call_with_outcomes(NOT_CONNECTED, NOT_CONNECTED, NOT_CONNECTED)
    assert retry_unanswered(call, TIMEOUTS_MS) == NOT_CONNECTED


def test_an_order_that_lost_one_answer_may_have_run() -> None:
    call = call_with_outcomes(LOST, NOT_CONNECTED, NOT_CONNECTED)
    outcome = retry_unanswered(call, TIMEOUTS_MS)
    assert isinstance(outcome, Err)
    assert outcome.err_value.verdict is Verdict.MAY_HAVE_RUN


def test_a_call_that_is_never_answered_ends_within_700_ms() -> None:
    timeouts_ms: list[int] = []

    def call(timeout_ms: int) -> Result[int, Failure]:
        timeouts_ms.append(timeout_ms)
        return LOST

    assert retry_unanswered(call, TIMEOUTS_MS) == LOST
    assert sum(timeouts_ms) <= 700


@pytest.mark.parametrize(
    "code", [FailureCode.STALE, FailureCode.NO_ROOM, FailureCode.TICKET]
)
def test_a_refused_retry_leaves_the_first_attempt_uncertain(
    code: FailureCode,
) -> None:
    outcome = retry_unanswered(
        call_with_outcomes(LOST, Err(not_run(code, "409"))), TIMEOUTS_MS
    )
    assert isinstance(outcome, Err)
    assert outcome.err_value.verdict is Verdict.MAY_HAVE_RUN
    assert outcome.err_value.code is code


def test_a_refused_first_attempt_is_not_retried() -> None:
    refused = Err(not_run(FailureCode.STALE, "the run is stale"))
    call = call_with_outcomes(refused)
    assert retry_unanswered(call, TIMEOUTS_MS) == refused


class UnresponsiveWorkers:
    """Lets calls to one worker hang until they are released."""

    def __init__(self) -> None:
        self.release = threading.Event()

    def start(
        self, worker: WorkerInfo, order: StartOrder, timeout_ms: int
    ) -> Result[int, Failure]:
        del order, timeout_ms
        if worker.worker_id == "unresponsive":
            self.release.wait(10)
            return LOST
        return Ok(1)


def test_orders_to_unresponsive_workers_do_not_delay_others() -> None:
    """1,000 starts a second, of which 5% stay unanswered for 0.7 s."""
    workers = UnresponsiveWorkers()
    answered = threading.Event()

    def post(event: object) -> None:
        if isinstance(event, StartAnswered) and event.outcome == Ok(1):
            answered.set()

    sender = OrderSender(workers, MonotonicClock(), Metrics())  # type: ignore[arg-type]
    unanswered = int(1_000 * 0.05 * sum(TIMEOUTS_MS) / 1_000)
    try:
        for number in range(unanswered):
            send(sender, "unresponsive", number, post)
        send(sender, "responsive", unanswered, post)
        assert answered.wait(5)
    finally:
        workers.release.set()


def send(
    sender: OrderSender,
    worker_id: str,
    number: int,
    post: Callable[[object], None],
) -> None:
    size = Resources(1_000, 1_000)
    info = WorkerInfo(worker_id, "app", "127.0.0.1:1", "az", capacity=size)
    planned = PlannedStart(TaskKey("a", 0, 0, number), 1, worker_id, "")
    order = StartOrder(planned.task, 1, "text", 1, 1_000)
    sender.start(info, planned, order, post)


class LateWorkers:
    """Leaves the first attempt of some orders unanswered.

    :param interval: one order in so many is concerned.
    """

    def __init__(self, clock: ManualClock, interval: int) -> None:
        self._clock = clock
        self._interval = interval
        self._attempted: set[TaskKey] = set()

    def start(
        self, worker: WorkerInfo, order: StartOrder, timeout_ms: int
    ) -> Result[int, Failure]:
        del worker
        is_first = order.task not in self._attempted
        self._attempted.add(order.task)
        if is_first and order.task.position % self._interval == 0:
            self._clock.advance(timeout_ms)
            return LOST
        self._clock.advance(5)
        return Ok(1)


def send_all(clock: ManualClock, workers: object, count: int) -> OrderSender:
    """Send orders one after the other and return their sender."""
    sender = OrderSender(workers, clock, Metrics())  # type: ignore[arg-type]
    for number in range(count):
        answered = threading.Event()
        send(sender, "w", number, lambda _, event=answered: event.set())  # type: ignore[misc]
        assert answered.wait(5)
    return sender


# Incident SHORT: workers that left one order in sixteen unanswered shrank the
# window to its minimum within a second, for all workers.
def test_attempts_that_workers_leave_unanswered_do_not_shrink_the_window() -> (
    None
):
    clock = ManualClock()
    sender = send_all(clock, LateWorkers(clock, 16), 160)
    assert sender.window.limit() >= INITIAL_LIMIT


class SlowWorkers:
    """Answers late, as through a full link, whatever the attempt."""

    def __init__(self, clock: ManualClock) -> None:
        self._clock = clock

    def start(
        self, worker: WorkerInfo, order: StartOrder, timeout_ms: int
    ) -> Result[int, Failure]:
        del worker, order
        is_lost = timeout_ms < 2 * MIN_TIMEOUT_MS
        self._clock.advance(timeout_ms if is_lost else 300)
        return LOST if is_lost else Ok(1)


def test_a_slow_answer_after_lost_attempts_shrinks_the_window() -> None:
    clock = ManualClock()
    sender = send_all(clock, SlowWorkers(clock), 40)
    assert sender.window.limit() == MIN_LIMIT
