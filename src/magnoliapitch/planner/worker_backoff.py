"""Which workers are avoided because what they start fails."""

from __future__ import annotations


# Single failures are the tasks' own; a second one in a row is a pattern.
SUSPECT_FAILURES = 2
FIRST_PAUSE_MS = 2_000
LONGEST_PAUSE_MS = 16_000


class Trust:
    """Counts failures in a row by worker."""

    def __init__(self) -> None:
        self._failures_by_worker: dict[str, int] = {}
        self._avoid_until_by_worker: dict[str, int] = {}

    def note_done(self, worker_id: str) -> None:
        """Note that a run was done, which clears the worker."""
        self._failures_by_worker.pop(worker_id, None)
        self._avoid_until_by_worker.pop(worker_id, None)

    def note_failed(self, worker_id: str, now_ms: int) -> int:
        """Note that a run failed.

        :return: how long the worker is avoided, in milliseconds.
        """
        failures = self._failures_by_worker.get(worker_id, 0) + 1
        self._failures_by_worker[worker_id] = failures
        if failures < SUSPECT_FAILURES:
            return 0
        doublings = failures - SUSPECT_FAILURES
        pause_ms = min(FIRST_PAUSE_MS << min(doublings, 8), LONGEST_PAUSE_MS)
        self.avoid(worker_id, now_ms + pause_ms)
        return pause_ms

    def avoid(self, worker_id: str, until_ms: int) -> None:
        """Give a worker nothing before a time."""
        known_ms = self._avoid_until_by_worker.get(worker_id, 0)
        self._avoid_until_by_worker[worker_id] = max(known_ms, until_ms)

    def is_avoided(self, worker_id: str, now_ms: int) -> bool:
        """Return whether a worker gets nothing for now."""
        return now_ms < self._avoid_until_by_worker.get(worker_id, 0)

    def forget(self, worker_id: str) -> None:
        """Forget a worker that is gone."""
        self.note_done(worker_id)
