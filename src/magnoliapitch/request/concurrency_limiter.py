"""Bounds the requests of one catalogue entry that are in progress."""

from __future__ import annotations

import threading

from typing import TYPE_CHECKING

from magnoliapitch.request.duration_estimate import DurationEstimate
from magnoliapitch.request.request_queue import RETRY_MIN_MS
from magnoliapitch.request.request_queue import WaitQueue
from magnoliapitch.verdict import Failure
from magnoliapitch.verdict import FailureCode
from magnoliapitch.verdict import not_run


if TYPE_CHECKING:
    from magnoliapitch.catalogue.entry import CatalogueEntry
    from magnoliapitch.clock import Clock
    from magnoliapitch.request.request_queue import Waiter


class ConcurrencyGate:
    """Lets a bounded number of requests through, the others in turn."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._queue = WaitQueue()
        self._running = 0
        self._most = 0
        self._duration = DurationEstimate()

    def enter(
        self, entry: CatalogueEntry, most: int, deadline_ms: int
    ) -> Failure | None:
        """Wait for a place; a request that got none was not run.

        :param most: requests in progress at once.
        """
        with self._lock:
            self._most = most
            if self._running < most and not self._queue:
                self._running += 1
                return None
            refusal = self._refusal(entry, deadline_ms)
            if refusal is not None:
                return refusal
            waiter = self._queue.add(entry, deadline_ms)
            self._grant()
        return self._wait(waiter)

    def leave(self, duration_ms: int) -> None:
        """Give a place back."""
        with self._lock:
            self._duration.note(duration_ms)
            self._running -= 1
            self._grant()

    def dump(self) -> dict[str, int]:
        """Return the gate's part of the state dump."""
        with self._lock:
            return {
                "running": self._running,
                "most": self._most,
                "waiting": len(self._queue),
            }

    def _wait(self, waiter: Waiter) -> Failure | None:
        while not waiter.wait(self._clock):
            now_ms = self._clock.now_ms()
            with self._lock:
                if waiter.granted.is_set():
                    return None
                if waiter.can_finish(now_ms, self._duration.mean_ms):
                    continue
                self._queue.abandon(waiter)
                return _refused(
                    f"the limit of {self._most} requests of "
                    f"{waiter.entry.name} in progress left no time",
                    self._duration.wait_ms(len(self._queue), self._most),
                )
        return None

    def _refusal(
        self, entry: CatalogueEntry, deadline_ms: int
    ) -> Failure | None:
        waiting = len(self._queue)
        wait_ms = self._duration.wait_ms(waiting, self._most)
        if waiting >= entry.limits.queued:
            return _refused(
                f"{waiting} requests of {entry.name} wait already", wait_ms
            )
        needed_ms = wait_ms + self._duration.mean_ms
        if self._clock.now_ms() + needed_ms <= deadline_ms:
            return None
        return _refused(
            f"{entry.name} would wait about {wait_ms} ms, longer than "
            "its caller does",
            wait_ms,
        )

    def _grant(self) -> None:
        while self._running < self._most:
            waiter = self._queue.pop()
            if waiter is None:
                return
            self._running += 1
            waiter.granted.set()


def _refused(detail: str, retry_ms: int) -> Failure:
    return not_run(FailureCode.QUOTA, detail, max(retry_ms, RETRY_MIN_MS))
