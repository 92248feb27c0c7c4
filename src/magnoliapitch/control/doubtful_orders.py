"""Start orders that were not answered and may be carried out late."""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

from magnoliapitch.planner.plan import PlannedStart
from magnoliapitch.workload.worker import Incarnation


# An order is not carried out later than this after it was given up.
LATE_ORDER_MS = 12_000


class _DoubtfulOrder(NamedTuple):
    planned: PlannedStart
    failed_ms: int


class DoubtfulOrders:
    """Remembers unanswered start orders for as long as they may be late.

    A worker that has accepted the stop of a run refuses a late order to start
    it, but forgets that when it restarts.
    """

    def __init__(self) -> None:
        self._orders: deque[_DoubtfulOrder] = deque()

    def __len__(self) -> int:
        """Return the number of remembered orders."""
        return len(self._orders)

    def add(self, planned: PlannedStart, now_ms: int) -> None:
        """Add an order that may or may not have been carried out."""
        self._forget_old(now_ms)
        self._orders.append(_DoubtfulOrder(planned, now_ms))

    def of(self, name: str, now_ms: int) -> list[PlannedStart]:
        """Return the orders that a worker may still carry out.

        :param name: name of the worker, whichever incarnation was meant.
        """
        self._forget_old(now_ms)
        return [
            order.planned
            for order in self._orders
            if Incarnation.from_worker_id(order.planned.worker_id).name == name
        ]

    def _forget_old(self, now_ms: int) -> None:
        while (
            self._orders and now_ms - self._orders[0].failed_ms > LATE_ORDER_MS
        ):
            self._orders.popleft()
