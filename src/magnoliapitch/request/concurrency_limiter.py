"""Bounds the requests of one catalogue entry that are in progress."""

from __future__ import annotations

import threading

from typing import TYPE_CHECKING

from magnoliapitch.request.duration_estimate import DurationEstimate
from magnoliapitch.request.request_queue import RETRY_AFTER_MIN_MS
from magnoliapitch.request.request_queue import RequestQueue
from magnoliapitch.verdict import Failure
from magnoliapitch.verdict import FailureCode
from magnoliapitch.verdict import not_run


if TYPE_CHECKING:
    from magnoliapitch.catalogue.entry import CatalogueEntry
    from magnoliapitch.clock import Clock
    from magnoliapitch.request.request_queue import QueuedRequest


class ConcurrencyLimiter:
    """Limits the requests of an entry in progress and queues the others."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._queue = RequestQueue()
        self._running = 0
        self._max_running = 0
        self._duration_estimate = DurationEstimate()

    def acquire(
        self, entry: CatalogueEntry, max_running: int, deadline_ms: int
    ) -> Failure | None:
        """Wait until the request may run.

        :param max_running: number of requests in progress at once.
        :param deadline_ms: local monotonic time, in milliseconds, by which
            the request has to be finished.
        :return: why the request is refused, if it is; it was not run then.
        """
        with self._lock:
            self._max_running = max_running
            if self._running < max_running and not self._queue:
                self._running += 1
                return None
            refusal = self._queue_refusal(entry, deadline_ms)
            if refusal is not None:
                return refusal
            queued = self._queue.add(entry, deadline_ms)
            self._grant_free_places()
        return self._wait(queued)

    def release(self, duration_ms: int) -> None:
        """Note the end of a request and let queued requests run."""
        with self._lock:
            self._duration_estimate.add_sample(duration_ms)
            self._running -= 1
            self._grant_free_places()

    def dump(self) -> dict[str, int]:
        """Return the limiter's part of the state dump."""
        with self._lock:
            return {
                "running": self._running,
                "most": self._max_running,
                "waiting": len(self._queue),
            }

    def _wait(self, queued: QueuedRequest) -> Failure | None:
        while not queued.wait_for_grant(self._clock):
            now_ms = self._clock.now_ms()
            with self._lock:
                if queued.granted.is_set():
                    return None
                if queued.can_finish_in_time(
                    now_ms, self._duration_estimate.mean_ms
                ):
                    continue
                self._queue.abandon(queued)
                return _quota_failure(
                    f"the limit of {self._max_running} concurrent requests "
                    f"of {queued.entry.name} delayed the request until too "
                    "little time was left to run it",
                    self._duration_estimate.wait_ms(
                        len(self._queue), self._max_running
                    ),
                )
        return None

    def _queue_refusal(
        self, entry: CatalogueEntry, deadline_ms: int
    ) -> Failure | None:
        queue_length = len(self._queue)
        wait_ms = self._duration_estimate.wait_ms(
            queue_length, self._max_running
        )
        if queue_length >= entry.limits.queued:
            return _quota_failure(
                f"{queue_length} requests of {entry.name} are queued "
                f"already, {entry.limits.queued} are allowed",
                wait_ms,
            )
        total_ms = wait_ms + self._duration_estimate.mean_ms
        if self._clock.now_ms() + total_ms <= deadline_ms:
            return None
        return _quota_failure(
            f"{entry.name}: the expected wait of {wait_ms} ms exceeds the "
            "time left to the request",
            wait_ms,
        )

    def _grant_free_places(self) -> None:
        while self._running < self._max_running:
            queued = self._queue.pop()
            if queued is None:
                return
            self._running += 1
            queued.granted.set()


def _quota_failure(detail: str, retry_after_ms: int) -> Failure:
    return not_run(
        FailureCode.QUOTA, detail, max(retry_after_ms, RETRY_AFTER_MIN_MS)
    )
