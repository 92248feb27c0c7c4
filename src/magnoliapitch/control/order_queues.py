"""Queues of orders, one for each worker."""

from __future__ import annotations

import threading

from collections import Counter
from collections import deque
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from typing import TYPE_CHECKING
from typing import NamedTuple


if TYPE_CHECKING:
    from magnoliapitch.clock import Clock


# Unanswered orders must not delay others: enough for 1,000 orders a second of
# which one in ten is unanswered for 150 ms, while 40 orders are under way to
# an unreachable zone.
SENDER_THREAD_COUNT = 96
# Each order under way needs a connection. Those of a machine that lost power
# stay open at the worker, which accepts a limited number.
MAX_ORDERS_PER_WORKER = 1


class _QueuedOrder(NamedTuple):
    send: Callable[[int], None]
    queued_ms: int


class OrderQueues:
    """Sends orders from a thread pool, few at a time to each worker.

    Orders to one worker are sent in the order of their submission. Those
    that wait for others occupy no thread. Thread-safe.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._executor = ThreadPoolExecutor(SENDER_THREAD_COUNT, "orders")
        self._lock = threading.Lock()
        self._sending_count_by_worker: Counter[str] = Counter()
        self._waiting_by_worker: dict[str, deque[_QueuedOrder]] = {}

    def submit(self, worker_id: str, send: Callable[[int], None]) -> None:
        """Send an order as soon as few enough are under way to a worker.

        :param worker_id: id of the worker.
        :param send: called in a thread with the time in milliseconds that
            the order has waited for other orders to the same worker.
        """
        order = _QueuedOrder(send, self._clock.now_ms())
        with self._lock:
            count = self._sending_count_by_worker[worker_id]
            if count >= MAX_ORDERS_PER_WORKER:
                waiting = self._waiting_by_worker.setdefault(
                    worker_id, deque()
                )
                waiting.append(order)
                return
            self._sending_count_by_worker[worker_id] += 1
        self._executor.submit(self._send, worker_id, order, 0)

    def _send(
        self, worker_id: str, order: _QueuedOrder, waited_ms: int
    ) -> None:
        try:
            order.send(waited_ms)
        finally:
            self._send_next(worker_id)

    def _send_next(self, worker_id: str) -> None:
        with self._lock:
            waiting = self._waiting_by_worker.get(worker_id)
            if not waiting:
                self._waiting_by_worker.pop(worker_id, None)
                self._sending_count_by_worker[worker_id] -= 1
                if not self._sending_count_by_worker[worker_id]:
                    del self._sending_count_by_worker[worker_id]
                return
            order = waiting.popleft()
        waited_ms = self._clock.now_ms() - order.queued_ms
        self._executor.submit(self._send, worker_id, order, waited_ms)
