"""Back-off from workers on which runs fail repeatedly."""

from __future__ import annotations


# Consecutive failures before a worker is avoided: the first may be due to the
# task, a second one in a row is attributed to the worker.
MIN_CONSECUTIVE_FAILURES = 2
FIRST_BACKOFF_MS = 2_000
MAX_BACKOFF_MS = 16_000


class WorkerBackoff:
    """Avoids a worker after consecutive failures, exponentially longer."""

    def __init__(self) -> None:
        self._failures_by_worker: dict[str, int] = {}
        self._avoid_until_by_worker: dict[str, int] = {}

    def record_done(self, worker_id: str) -> None:
        """Reset a worker's failures, since a run on it was done."""
        self._failures_by_worker.pop(worker_id, None)
        self._avoid_until_by_worker.pop(worker_id, None)

    def record_failed(self, worker_id: str, now_ms: int) -> int:
        """Count a failure of a worker.

        :return: how long the worker is avoided, in milliseconds; 0 if it is
            not avoided yet.
        """
        failures = self._failures_by_worker.get(worker_id, 0) + 1
        self._failures_by_worker[worker_id] = failures
        if failures < MIN_CONSECUTIVE_FAILURES:
            return 0
        doublings = failures - MIN_CONSECUTIVE_FAILURES
        pause_ms = min(FIRST_BACKOFF_MS << min(doublings, 8), MAX_BACKOFF_MS)
        self.avoid(worker_id, now_ms + pause_ms)
        return pause_ms

    def avoid(self, worker_id: str, until_ms: int) -> None:
        """Avoid a worker until a time, or longer if that was set before."""
        current_ms = self._avoid_until_by_worker.get(worker_id, 0)
        self._avoid_until_by_worker[worker_id] = max(current_ms, until_ms)

    def is_avoided(self, worker_id: str, now_ms: int) -> bool:
        """Return whether a worker is to get no new runs for now."""
        return now_ms < self._avoid_until_by_worker.get(worker_id, 0)

    def forget(self, worker_id: str) -> None:
        """Drop the data of a worker that is gone."""
        self.record_done(worker_id)
