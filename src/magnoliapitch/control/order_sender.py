"""Sends orders to workers, several at a time, again when unanswered."""

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


# Unanswered orders must not hold up others: 1,000 orders a second, one in
# ten unanswered for 150 ms, and a cut zone with 40 orders on their way.
SENDER_THREAD_COUNT = 96
# An answer comes within a few milliseconds, so the first repeat is early.
ATTEMPT_TIMEOUTS_MS = (150, 200, 350)


class OrderSender:
    """Sends orders in threads of its own and posts their answers.

    OrderIssuer are idempotent: a worker that has begun a run, or has ended or
    stopped it, does not begin it again. So an order is repeated when no
    answer comes, which is faster than to stop the run and start another.

    :param post: takes every answer.
    """

    def __init__(
        self,
        workers: WorkerClient,
        clock: Clock,
        post: Callable[[Event], None],
        metrics: Metrics,
    ) -> None:
        self._workers = workers
        self._clock = clock
        self._post = post
        self._metrics = metrics
        self._pool = ThreadPoolExecutor(SENDER_THREAD_COUNT, "orders")

    def start(
        self, worker: WorkerInfo, planned: PlannedStart, order: StartOrder
    ) -> None:
        """Order a worker to start a run."""
        now_ms = self._clock.now_ms()
        self._pool.submit(self._start_now, worker, planned, order, now_ms)

    def order_stop(self, worker: WorkerInfo, order: StopOrder) -> None:
        """Order a worker to stop a run."""
        now_ms = self._clock.now_ms()
        self._pool.submit(self._stop_now, worker, order, now_ms)

    def _start_now(
        self,
        worker: WorkerInfo,
        planned: PlannedStart,
        order: StartOrder,
        given_ms: int,
    ) -> None:
        sent_ms = self._record_queue_time("start", given_ms)
        outcome = retry_unanswered(
            lambda timeout_ms: self._workers.start(worker, order, timeout_ms)
        )
        now_ms = self._clock.now_ms()
        self._post(StartAnswered(planned, outcome, sent_ms, now_ms))

    def _stop_now(
        self, worker: WorkerInfo, order: StopOrder, given_ms: int
    ) -> None:
        self._record_queue_time("stop", given_ms)
        outcome = retry_unanswered(
            lambda timeout_ms: self._workers.stop(worker, order, timeout_ms)
        )
        self._post(
            StopAnswered(
                order.task,
                order.run,
                worker.worker_id,
                outcome,
                self._clock.now_ms(),
            )
        )

    def _record_queue_time(self, kind: str, given_ms: int) -> int:
        sent_ms = self._clock.now_ms()
        self._metrics.observe("order_queued", sent_ms - given_ms, kind)
        return sent_ms


def retry_unanswered(
    call: Callable[[int], Result[int, Failure]],
) -> Result[int, Failure]:
    """Make an idempotent call until it is answered, a few times at most.

    :param call: takes the time to wait for the answer, in milliseconds.
    :return: the last outcome. A refusal after an unanswered attempt does
        not say that the attempt was not carried out.
    """
    is_unsure = False
    outcome: Result[int, Failure]
    for timeout_ms in ATTEMPT_TIMEOUTS_MS:
        outcome = call(timeout_ms)
        if not isinstance(outcome, Err):
            return outcome
        failure = outcome.err_value
        if failure.code is not FailureCode.TIMEOUT:
            break
        is_unsure = True
    if is_unsure:
        failure = failure._replace(verdict=Verdict.MAY_HAVE_RUN)
    return Err(failure)
