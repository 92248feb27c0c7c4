"""Concurrent sending of orders to workers, with retries."""

from __future__ import annotations

from typing import TYPE_CHECKING

from result import Err
from result import Result

from magnoliapitch.control.events import StartAnswered
from magnoliapitch.control.events import StopAnswered
from magnoliapitch.control.guard import guarded
from magnoliapitch.control.order_queues import OrderQueues
from magnoliapitch.control.order_window import OrderWindow
from magnoliapitch.control.round_trip import MIN_TIMEOUT_MS
from magnoliapitch.control.round_trip import RoundTripEstimator
from magnoliapitch.verdict import FailureCode
from magnoliapitch.verdict import Verdict
from magnoliapitch.verdict import not_run


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence

    from magnoliapitch.clock import Clock
    from magnoliapitch.control.events import Event
    from magnoliapitch.metric import Metrics
    from magnoliapitch.planner.plan import PlannedStart
    from magnoliapitch.verdict import Failure
    from magnoliapitch.workload.client import WorkerClient
    from magnoliapitch.workload.run import StartOrder
    from magnoliapitch.workload.run import StopOrder
    from magnoliapitch.workload.worker import WorkerInfo


# An order that has waited longer for others to the same worker is not sent,
# so that a start can go to another worker.
MAX_QUEUED_MS = 500
# Timeouts of the attempts of one order, as multiples of the timeout that
# follows from the measured round trips. Workers normally answer within a few
# milliseconds, so the first retry is early.
ATTEMPT_TIMEOUT_FACTORS = (1.0, 4 / 3, 7 / 3)
_RETRIED_CODES = (FailureCode.TIMEOUT, FailureCode.UNAVAILABLE)


class OrderSender:
    """Sends orders from a thread pool and posts the outcome of each.

    Orders are idempotent: a worker that has begun a run, or has ended or
    stopped it, does not begin it again. So an unanswered order is sent
    again, which is faster than stopping the run and starting another.

    :ivar window: limit of the start orders in flight, which the caller must
        respect.
    """

    def __init__(
        self,
        workers: WorkerClient,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self._workers = workers
        self._clock = clock
        self._metrics = metrics
        self._queues = OrderQueues(clock)
        self._round_trips = RoundTripEstimator()
        self.window = OrderWindow()

    def start(
        self,
        worker: WorkerInfo,
        planned: PlannedStart,
        order: StartOrder,
        post: Callable[[Event], None],
    ) -> None:
        """Order a worker to start a run.

        :param post: called with the outcome.
        """
        now_ms = self._clock.now_ms()
        self.window.record_sent()
        self._queues.submit(
            worker.worker_id,
            lambda waited_ms: self._start_now(
                worker, planned, order, post, now_ms, waited_ms
            ),
        )

    def order_stop(
        self,
        worker: WorkerInfo,
        order: StopOrder,
        post: Callable[[Event], None],
    ) -> None:
        """Order a worker to stop a run.

        :param post: called with the outcome.
        """
        now_ms = self._clock.now_ms()
        self._queues.submit(
            worker.worker_id,
            lambda waited_ms: self._stop_now(
                worker, order, post, now_ms, waited_ms
            ),
        )

    def _start_now(
        self,
        worker: WorkerInfo,
        planned: PlannedStart,
        order: StartOrder,
        post: Callable[[Event], None],
        queued_ms: int,
        waited_ms: int,
    ) -> None:
        sent_ms = self._record_queue_time("start", queued_ms)
        lost_ms = 0

        def call(timeout_ms: int) -> Result[int, Failure]:
            nonlocal lost_ms
            began_ms = self._clock.now_ms()
            outcome = self._workers.start(worker, order, timeout_ms)
            if is_unanswered(outcome):
                lost_ms += self._clock.now_ms() - began_ms
            return outcome

        outcome = self._send(call, waited_ms)
        now_ms = self._clock.now_ms()
        if is_unanswered(outcome) or waited_ms > MAX_QUEUED_MS:
            self.window.record_unanswered(now_ms)
        else:
            # What other orders to the worker and lost attempts took is no
            # sign of load here.
            begun_ms = queued_ms + waited_ms + lost_ms
            self.window.record_answered(begun_ms, now_ms)
        post(StartAnswered(planned, outcome, sent_ms, now_ms))

    def _stop_now(
        self,
        worker: WorkerInfo,
        order: StopOrder,
        post: Callable[[Event], None],
        queued_ms: int,
        waited_ms: int,
    ) -> None:
        self._record_queue_time("stop", queued_ms)
        outcome = self._send(
            lambda timeout_ms: self._workers.stop(worker, order, timeout_ms),
            waited_ms,
        )
        post(
            StopAnswered(
                order.task,
                order.run,
                worker.worker_id,
                outcome,
                self._clock.now_ms(),
            )
        )

    def _send(
        self, call: Callable[[int], Result[int, Failure]], waited_ms: int
    ) -> Result[int, Failure]:
        if waited_ms > MAX_QUEUED_MS:
            detail = f"waited {waited_ms} ms for other orders to the worker"
            return Err(not_run(FailureCode.OVERLOADED, detail))
        timeout_ms = self._round_trips.timeout_ms()
        timeouts_ms = tuple(
            int(timeout_ms * factor) for factor in ATTEMPT_TIMEOUT_FACTORS
        )
        return guarded(
            "order",
            lambda: retry_unanswered(
                lambda attempt_ms: self._measure(call, attempt_ms), timeouts_ms
            ),
        )

    def _measure(
        self, call: Callable[[int], Result[int, Failure]], timeout_ms: int
    ) -> Result[int, Failure]:
        started_ms = self._clock.now_ms()
        outcome = call(timeout_ms)
        if is_unanswered(outcome):
            self._round_trips.record_unanswered()
        else:
            duration_ms = self._clock.now_ms() - started_ms
            self._round_trips.record_answered(duration_ms)
        return outcome

    def _record_queue_time(self, kind: str, queued_ms: int) -> int:
        sent_ms = self._clock.now_ms()
        self._metrics.observe("order_queued", sent_ms - queued_ms, kind)
        return sent_ms


def is_first_attempt(event: StartAnswered) -> bool:
    """Return whether the first attempt of a start order was the only one.

    The answer came before any attempt could time out.
    """
    return event.received_ms - event.sent_ms < MIN_TIMEOUT_MS


def is_unanswered(outcome: Result[int, Failure]) -> bool:
    """Return whether a call failed without an answer from the worker."""
    return isinstance(outcome, Err) and (
        outcome.err_value.code in _RETRIED_CODES
    )


def retry_unanswered(
    call: Callable[[int], Result[int, Failure]],
    timeouts_ms: Sequence[int],
) -> Result[int, Failure]:
    """Make an idempotent call until it is answered or the attempts are used.

    :param call: takes the timeout for the answer, in milliseconds.
    :param timeouts_ms: timeout of each attempt.
    :return: the last outcome. A refusal after an unanswered attempt gets the
        verdict ``may_have_run``, since that attempt may have been carried
        out.
    """
    may_have_run = False
    outcome: Result[int, Failure]
    for timeout_ms in timeouts_ms:
        outcome = call(timeout_ms)
        if not isinstance(outcome, Err):
            return outcome
        failure = outcome.err_value
        may_have_run |= failure.code is FailureCode.TIMEOUT
        if not is_unanswered(outcome):
            break
    if may_have_run:
        failure = failure._replace(verdict=Verdict.MAY_HAVE_RUN)
    return Err(failure)
