"""Limit of the start orders in flight, adapted to their latency."""

from __future__ import annotations

import threading

from magnoliapitch.control.recent_answers import RecentAnswers
from magnoliapitch.planner.permit_budget import TARGET_ORDER_LATENCY_MS


INITIAL_LIMIT = 32.0
MIN_LIMIT = 16.0
MAX_LIMIT = 512.0
DECREASE_FACTOR = 0.7


class OrderWindow:
    """Limits the orders in flight by the latency of their answers.

    The limit grows additively and shrinks by a factor (AIMD); until it has
    shrunk for the first time it grows by one with each answer. Thread-safe.

    Without a limit, orders of an overloaded machine queue until they time
    out. Each then has to be stopped and sent again, which adds to the load.

    An unanswered order occupies the window until it is given up. It does not
    shrink the limit unless most orders stay unanswered, since the cause may
    be the worker.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._limit = INITIAL_LIMIT
        self._in_flight_count = 0
        self._decreased_ms: int | None = None
        self._recent_answers = RecentAnswers()

    def available(self) -> int:
        """Return how many more orders may be sent now."""
        with self._lock:
            return max(0, int(self._limit) - self._in_flight_count)

    def limit(self) -> int:
        """Return how many orders may be in flight."""
        with self._lock:
            return int(self._limit)

    def record_sent(self) -> None:
        """Record an order that is being sent."""
        with self._lock:
            self._in_flight_count += 1

    def record_unanswered(self, now_ms: int) -> None:
        """Record an order that was given up."""
        with self._lock:
            self._in_flight_count -= 1
            self._recent_answers.record(is_answered=False)
            if self._recent_answers.are_mostly_missing():
                self._recent_answers.clear()
                self._shrink(now_ms)

    def record_answered(self, sent_ms: int, now_ms: int) -> None:
        """Record an answered order.

        The limit decreases at most once for the orders that were in flight
        together.

        :param sent_ms: when the order was handed over for sending; later by
            the time that the worker alone has cost, such as an attempt
            without an answer.
        """
        with self._lock:
            is_near_limit = 2 * self._in_flight_count >= self._limit
            self._in_flight_count -= 1
            self._recent_answers.record(is_answered=True)
            if now_ms - sent_ms <= TARGET_ORDER_LATENCY_MS:
                if is_near_limit:
                    self._grow()
            elif self._decreased_ms is None or sent_ms >= self._decreased_ms:
                self._shrink(now_ms)

    def _grow(self) -> None:
        is_first_growth = self._decreased_ms is None
        increase = 1.0 if is_first_growth else 1.0 / self._limit
        self._limit = min(self._limit + increase, MAX_LIMIT)

    def _shrink(self, now_ms: int) -> None:
        self._decreased_ms = now_ms
        self._limit = max(self._limit * DECREASE_FACTOR, MIN_LIMIT)
