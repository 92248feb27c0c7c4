"""Concurrent sending of orders to workers, with retries."""

from __future__ import annotations

from concurrent.futures import ThreadPoolExecutor
from typing import TYPE_CHECKING

from result import Err
from result import Result

from magnoliapitch.control.events import StartAnswered
from magnoliapitch.control.events import StopAnswered
from magnoliapitch.verdict import FailureCode
from magnoliapitch.verdict import Verdict


if TYPE_CHECKING:
    from collections.abc import Callable

    from magnoliapitch.clock import Clock
    from magnoliapitch.control.events import Event
    from magnoliapitch.metric import Metrics
    from magnoliapitch.planner.plan import PlannedStart
    from magnoliapitch.verdict import Failure
    from magnoliapitch.workload.client import WorkerClient
    from magnoliapitch.workload.run import StartOrder
    from magnoliapitch.workload.run import StopOrder
    from magnoliapitch.workload.worker import WorkerInfo


# Unanswered orders must not delay others: enough for 1,000 orders a second of
# which one in ten is unanswered for 150 ms, while 40 orders are under way to
# an unreachable zone.
SENDER_THREAD_COUNT = 96
# Workers normally answer within a few milliseconds, so the first retry is
# early.
ATTEMPT_TIMEOUTS_MS = (150, 200, 350)


class OrderSender:
    """Sends orders from a thread pool and posts the outcome of each.

    Orders are idempotent: a worker that has begun a run, or has ended or
    stopped it, does not begin it again. So an unanswered order is sent
    again, which is faster than stopping the run and starting another.
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
        self._executor = ThreadPoolExecutor(SENDER_THREAD_COUNT, "orders")

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
        self._executor.submit(
            self._start_now, worker, planned, order, post, now_ms
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
        self._executor.submit(self._stop_now, worker, order, post, now_ms)

    def _start_now(
        self,
        worker: WorkerInfo,
        planned: PlannedStart,
        order: StartOrder,
        post: Callable[[Event], None],
        queued_ms: int,
    ) -> None:
        sent_ms = self._record_queue_time("start", queued_ms)
        outcome = retry_unanswered(
            lambda timeout_ms: self._workers.start(worker, order, timeout_ms)
        )
        now_ms = self._clock.now_ms()
        post(StartAnswered(planned, outcome, sent_ms, now_ms))

    def _stop_now(
        self,
        worker: WorkerInfo,
        order: StopOrder,
        post: Callable[[Event], None],
        queued_ms: int,
    ) -> None:
        self._record_queue_time("stop", queued_ms)
        outcome = retry_unanswered(
            lambda timeout_ms: self._workers.stop(worker, order, timeout_ms)
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

    def _record_queue_time(self, kind: str, queued_ms: int) -> int:
        sent_ms = self._clock.now_ms()
        self._metrics.observe("order_queued", sent_ms - queued_ms, kind)
        return sent_ms


def retry_unanswered(
    call: Callable[[int], Result[int, Failure]],
) -> Result[int, Failure]:
    """Make an idempotent call until it is answered or the attempts are used.

    :param call: takes the timeout for the answer, in milliseconds.
    :return: the last outcome. A refusal after an unanswered attempt gets the
        verdict ``may_have_run``, since that attempt may have been carried
        out.
    """
    has_unanswered_attempt = False
    outcome: Result[int, Failure]
    for timeout_ms in ATTEMPT_TIMEOUTS_MS:
        outcome = call(timeout_ms)
        if not isinstance(outcome, Err):
            return outcome
        failure = outcome.err_value
        if failure.code is not FailureCode.TIMEOUT:
            break
        has_unanswered_attempt = True
    if has_unanswered_attempt:
        failure = failure._replace(verdict=Verdict.MAY_HAVE_RUN)
    return Err(failure)
