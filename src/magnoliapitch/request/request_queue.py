"""Queue of waiting requests, ordered by priority and deadline."""

from __future__ import annotations

import heapq
import threading

from typing import TYPE_CHECKING
from typing import NamedTuple

from magnoliapitch.catalogue.entry import PRIORITY_BY_CLASS


if TYPE_CHECKING:
    from magnoliapitch.catalogue.entry import CatalogueEntry
    from magnoliapitch.clock import Clock
    from magnoliapitch.membership.instance import InstanceInfo


GRANT_POLL_INTERVAL_MS = 50
RETRY_AFTER_MIN_MS = 100


class Rank(NamedTuple):
    """Sort key of a queued request; the lowest is served first.

    :param priority: from ``PRIORITY_BY_CLASS``.
    :param sequence: order of arrival, which breaks ties.
    """

    priority: int
    deadline_ms: int
    sequence: int


class QueuedRequest:
    """A request in the queue.

    :ivar granted: set when the request may proceed.
    :ivar server: backend server whose slot was granted, if any.
    :ivar is_abandoned: whether it gave up; the queue skips it.
    """

    __slots__ = ("entry", "granted", "is_abandoned", "rank", "server")

    def __init__(self, entry: CatalogueEntry, rank: Rank) -> None:
        self.entry = entry
        self.rank = rank
        self.granted = threading.Event()
        self.server: InstanceInfo | None = None
        self.is_abandoned = False

    def wait_for_grant(self, clock: Clock) -> bool:
        """Wait for the grant, at most ``GRANT_POLL_INTERVAL_MS``.

        The wait ends at the deadline of the request at the latest.

        :return: whether the request may proceed.
        """
        remaining_ms = self.rank.deadline_ms - clock.now_ms()
        return clock.wait(
            self.granted, max(min(GRANT_POLL_INTERVAL_MS, remaining_ms), 0)
        )

    def can_finish_in_time(self, now_ms: int, needed_ms: float) -> bool:
        """Return whether the request can finish before its deadline.

        :param needed_ms: expected duration once it runs.
        """
        return now_ms + needed_ms < self.rank.deadline_ms


class RequestQueue:
    """Priority queue of requests; callers synchronize access to it."""

    def __init__(self) -> None:
        self._heap: list[tuple[Rank, QueuedRequest]] = []
        self._count_by_entry: dict[str, int] = {}
        self._length = 0
        self._last_sequence = 0

    def __len__(self) -> int:
        return self._length

    def count_of(self, entry: str) -> int:
        """Return the number of queued requests of an entry."""
        return self._count_by_entry.get(entry, 0)

    def count_ahead_of(self, entry: CatalogueEntry, deadline_ms: int) -> int:
        """Return the number of queued requests ahead of a new one."""
        rank = self._rank_of(entry, deadline_ms)
        return sum(
            not queued.is_abandoned and queued_rank < rank
            for queued_rank, queued in self._heap
        )

    def add(self, entry: CatalogueEntry, deadline_ms: int) -> QueuedRequest:
        """Add a request to the queue."""
        self._last_sequence += 1
        queued = QueuedRequest(entry, self._rank_of(entry, deadline_ms))
        heapq.heappush(self._heap, (queued.rank, queued))
        self._count_by_entry[entry.name] = self.count_of(entry.name) + 1
        self._length += 1
        return queued

    def pop(self) -> QueuedRequest | None:
        """Remove and return the first request that was not abandoned."""
        while self._heap:
            _, queued = heapq.heappop(self._heap)
            if not queued.is_abandoned:
                self._decrement_counts(queued)
                return queued
        return None

    def abandon(self, queued: QueuedRequest) -> None:
        """Mark a queued request as given up; ``pop`` skips it."""
        queued.is_abandoned = True
        self._decrement_counts(queued)

    def _rank_of(self, entry: CatalogueEntry, deadline_ms: int) -> Rank:
        priority = PRIORITY_BY_CLASS[entry.work_class]
        return Rank(priority, deadline_ms, self._last_sequence)

    def _decrement_counts(self, queued: QueuedRequest) -> None:
        name = queued.entry.name
        self._length -= 1
        remaining = self._count_by_entry[name] - 1
        if remaining:
            self._count_by_entry[name] = remaining
        else:
            del self._count_by_entry[name]
