"""Delay and memory of the next attempt of a failed task."""

from __future__ import annotations

from typing import TYPE_CHECKING


if TYPE_CHECKING:
    import numpy as np


BASE_DELAY_MS = 1_000
MAX_DELAY_MS = 600_000
BUDGET_RETRIES_PER_START = 0.2
MAX_BUDGET_RETRIES = 50.0
EMPTY_BUDGET_DELAY_MS = 30_000
MEMORY_GROWTH_FACTOR = 1.5
MAX_BACKOFF_EXPONENT = 10


class RetryPolicy:
    """Exponential backoff with full jitter, and a retry budget by entry.

    Each start of a task adds a fraction of a retry to the budget of its
    entry. Without budget an entry waits longer, so that tasks that always
    fail take little capacity from others.

    :param random: seeded random number generator for the jitter.
    """

    def __init__(self, random: np.random.Generator) -> None:
        self._random = random
        self._budget_by_entry: dict[str, float] = {}
        self._failures_by_task: dict[str, int] = {}

    def record_start(self, entry: str) -> None:
        """Add to the budget of an entry after a start."""
        budget = self._budget_by_entry.get(entry, MAX_BUDGET_RETRIES)
        earned = min(MAX_BUDGET_RETRIES, budget + BUDGET_RETRIES_PER_START)
        self._budget_by_entry[entry] = earned

    def record_failure(self, attempt_id: str) -> None:
        """Record that an attempt of a task failed.

        :param attempt_id: id of the attempt, ``JOB/TASK/ATTEMPT``.
        """
        key = _task_key(attempt_id)
        self._failures_by_task[key] = self._failures_by_task.get(key, 0) + 1

    def forget_task(self, attempt_id: str) -> None:
        """Remove the failures of a task that needs no more attempts."""
        self._failures_by_task.pop(_task_key(attempt_id), None)

    def failures(self, attempt_id: str) -> int:
        """Return how many attempts of a task have failed."""
        return self._failures_by_task.get(_task_key(attempt_id), 0)

    def delay_ms(self, entry: str, attempt_id: str) -> int:
        """Return the delay of the next attempt, 0 if none has failed.

        This takes one retry from the budget of the entry. If less than one is
        left there, the budget stays and the delay may be longer.
        """
        failures = self.failures(attempt_id)
        if not failures:
            return 0
        exponent = min(failures - 1, MAX_BACKOFF_EXPONENT)
        limit_ms = min(MAX_DELAY_MS, BASE_DELAY_MS << exponent)
        budget = self._budget_by_entry.get(entry, MAX_BUDGET_RETRIES)
        if budget < 1:
            limit_ms = max(limit_ms, EMPTY_BUDGET_DELAY_MS)
        else:
            self._budget_by_entry[entry] = budget - 1
        return 1 + int(self._random.integers(limit_ms))

    def min_memory_mb(self, attempt_id: str, declared_mb: int) -> int:
        """Return the least memory for the next attempt, 0 if none has failed.

        :param declared_mb: memory that the task declares.
        """
        failures = self.failures(attempt_id)
        if not failures:
            return 0
        return int(declared_mb * MEMORY_GROWTH_FACTOR**failures)


def _task_key(attempt_id: str) -> str:
    """Return the ``JOB/TASK`` part of an attempt id."""
    return attempt_id.rpartition("/")[0]
