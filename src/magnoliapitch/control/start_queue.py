"""Planned starts on their way to the workers."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING
from typing import NamedTuple

from magnoliapitch.planner.permit_budget import TARGET_ORDER_LATENCY_MS


if TYPE_CHECKING:
    from collections.abc import Iterable

    from magnoliapitch.planner.plan import PlannedStart


# Bounds the starts that a store which answers very slowly lets accumulate.
MAX_STORE_DELAY_FACTOR = 16.0


class StartCounts(NamedTuple):
    """Starts that wait, by what they wait for.

    :param planned: for the next commit.
    :param in_commit: for the commit that is under way.
    :param stored: for room in the window of orders.
    """

    planned: int
    in_commit: int
    stored: int


class StartQueue:
    """Starts that are planned, then being stored, then waiting to be sent.

    A start is ordered only once it is stored, and then as soon as the limit
    of orders in flight allows. While the store is slow, more starts may be
    planned than orders be in flight: what waits for the store uses neither
    the machine nor its link. Otherwise each answer of the store would be
    followed by one window of orders, however much waits.
    """

    def __init__(self) -> None:
        self._planned: list[PlannedStart] = []
        self._in_commit: list[PlannedStart] = []
        self._stored: deque[PlannedStart] = deque()
        self._commit_began_ms: int | None = None
        self._store_duration_ms = 0

    @property
    def has_planned(self) -> bool:
        """Return whether starts wait for the next commit."""
        return bool(self._planned)

    def add(self, starts: Iterable[PlannedStart]) -> None:
        """Add starts that were planned in a round."""
        self._planned.extend(starts)

    def begin_commit(self, now_ms: int) -> None:
        """Record that the planned starts are being stored."""
        self._in_commit, self._planned = self._planned, []
        self._commit_began_ms = now_ms if self._in_commit else None

    def record_stored(self, now_ms: int) -> None:
        """Record that the starts of the commit are stored."""
        if self._commit_began_ms is not None:
            self._store_duration_ms = now_ms - self._commit_began_ms
            self._commit_began_ms = None
        self._stored.extend(self._in_commit)
        self._in_commit = []

    def take_stored(self, max_count: int) -> list[PlannedStart]:
        """Remove and return stored starts that can be sent, oldest first."""
        count = min(max_count, len(self._stored))
        return [self._stored.popleft() for _ in range(count)]

    def counts(self) -> StartCounts:
        """Return how many starts wait for what."""
        return StartCounts(
            len(self._planned), len(self._in_commit), len(self._stored)
        )

    def store_duration_ms(self, now_ms: int) -> int:
        """Return how long the newest commit with starts takes, or took."""
        duration_ms = self._store_duration_ms
        if self._commit_began_ms is not None:
            duration_ms = max(duration_ms, now_ms - self._commit_began_ms)
        return duration_ms

    def max_unanswered(self, max_orders: int, now_ms: int) -> int:
        """Return how many starts may be planned and not yet answered.

        While the store takes as long as this, as many orders as may be in
        flight can be answered again and again.

        :param max_orders: number of orders that may be in flight.
        """
        factor = self.store_duration_ms(now_ms) / TARGET_ORDER_LATENCY_MS
        return int(max_orders * min(max(1.0, factor), MAX_STORE_DELAY_FACTOR))

    def available(
        self, available_orders: int, max_orders: int, now_ms: int
    ) -> int:
        """Return how many more starts may be planned.

        :param available_orders: number of orders that can be sent now.
        :param max_orders: number of orders that may be in flight.
        """
        unsent_count = sum(self.counts())
        in_flight_count = max_orders - available_orders
        limit = self.max_unanswered(max_orders, now_ms)
        return max(0, limit - in_flight_count - unsent_count)


__all__ = ["StartCounts", "StartQueue"]
