"""Requests that wait for a place, ordered by urgency and deadline."""

from __future__ import annotations

import heapq
import threading

from typing import TYPE_CHECKING
from typing import NamedTuple

from magnoliapitch.catalogue.entry import WorkClass


if TYPE_CHECKING:
    from magnoliapitch.catalogue.entry import CatalogueEntry
    from magnoliapitch.clock import Clock
    from magnoliapitch.membership.instance import InstanceInfo


URGENCY_BY_CLASS = {
    WorkClass.URGENT: 0,
    WorkClass.SERVICE: 1,
    WorkClass.GANG: 2,
    WorkClass.BATCH: 3,
}
WAIT_SLICE_MS = 50
RETRY_MIN_MS = 100


class Rank(NamedTuple):
    """Position in the queue; the lowest is served first."""

    urgency: int
    deadline_ms: int
    number: int


class Waiter:
    """One request in the queue.

    :ivar granted: set when the request has got its place.
    :ivar server: backend server whose slot was granted, if any.
    """

    __slots__ = ("entry", "granted", "is_abandoned", "rank", "server")

    def __init__(self, entry: CatalogueEntry, rank: Rank) -> None:
        self.entry = entry
        self.rank = rank
        self.granted = threading.Event()
        self.server: InstanceInfo | None = None
        self.is_abandoned = False

    def wait(self, clock: Clock) -> bool:
        """Wait a little; return whether the place was granted."""
        left_ms = self.rank.deadline_ms - clock.now_ms()
        return clock.wait(self.granted, max(min(WAIT_SLICE_MS, left_ms), 0))

    def can_finish(self, now_ms: int, needed_ms: float) -> bool:
        """Return whether enough time is left for an answer."""
        return now_ms + needed_ms < self.rank.deadline_ms


class WaitQueue:
    """Waiting requests; its users hold a lock."""

    def __init__(self) -> None:
        self._heap: list[tuple[Rank, Waiter]] = []
        self._count_by_entry: dict[str, int] = {}
        self._length = 0
        self._numbers = 0

    def __len__(self) -> int:
        return self._length

    def count(self, entry: str) -> int:
        """Return how many requests of an entry wait."""
        return self._count_by_entry.get(entry, 0)

    def ahead_of(self, entry: CatalogueEntry, deadline_ms: int) -> int:
        """Return how many waiting requests would be served earlier."""
        rank = self._rank(entry, deadline_ms)
        return sum(
            not waiter.is_abandoned and other < rank
            for other, waiter in self._heap
        )

    def add(self, entry: CatalogueEntry, deadline_ms: int) -> Waiter:
        """Append a request."""
        self._numbers += 1
        waiter = Waiter(entry, self._rank(entry, deadline_ms))
        heapq.heappush(self._heap, (waiter.rank, waiter))
        self._count_by_entry[entry.name] = self.count(entry.name) + 1
        self._length += 1
        return waiter

    def pop(self) -> Waiter | None:
        """Remove and return the first request that still waits."""
        while self._heap:
            _, waiter = heapq.heappop(self._heap)
            if not waiter.is_abandoned:
                self._forget(waiter)
                return waiter
        return None

    def abandon(self, waiter: Waiter) -> None:
        """Take a request out that gave up."""
        waiter.is_abandoned = True
        self._forget(waiter)

    def _rank(self, entry: CatalogueEntry, deadline_ms: int) -> Rank:
        urgency = URGENCY_BY_CLASS[entry.work_class]
        return Rank(urgency, deadline_ms, self._numbers)

    def _forget(self, waiter: Waiter) -> None:
        name = waiter.entry.name
        self._length -= 1
        count = self._count_by_entry[name] - 1
        if count:
            self._count_by_entry[name] = count
        else:
            del self._count_by_entry[name]
