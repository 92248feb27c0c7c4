"""When a failed task is tried again."""

from __future__ import annotations

from typing import TYPE_CHECKING


if TYPE_CHECKING:
    import numpy as np


BASE_DELAY_MS = 1_000
MAX_DELAY_MS = 600_000
BUDGET_PER_START = 0.2
MAX_BUDGET = 50.0
EMPTY_BUDGET_DELAY_MS = 30_000
GROWTH = 1.5
MAX_EXPONENT = 10


class RetryPolicy:
    """Backoff with full jitter, and a budget for each entry.

    Every start of an entry earns a part of a retry. An entry that has
    spent its budget waits longer, so that what always fails takes little
    capacity from what does not.

    :param random: seeded source of jitter.
    """

    def __init__(self, random: np.random.Generator) -> None:
        self._random = random
        self._budget_by_entry: dict[str, float] = {}
        self._failures_by_task: dict[str, int] = {}

    def started(self, entry: str) -> None:
        """Earn budget with a start."""
        budget = self._budget_by_entry.get(entry, MAX_BUDGET)
        earned = min(MAX_BUDGET, budget + BUDGET_PER_START)
        self._budget_by_entry[entry] = earned

    def failed(self, task_id: str) -> None:
        """Count a failure of an attempt."""
        key = _task_of(task_id)
        self._failures_by_task[key] = self._failures_by_task.get(key, 0) + 1

    def finished(self, task_id: str) -> None:
        """Forget a task that needs no more attempts."""
        self._failures_by_task.pop(_task_of(task_id), None)

    def failures(self, task_id: str) -> int:
        """Return how often the task of an attempt has failed."""
        return self._failures_by_task.get(_task_of(task_id), 0)

    def delay_ms(self, entry: str, task_id: str) -> int:
        """Return how long the next attempt of a task has to wait."""
        failures = self.failures(task_id)
        if not failures:
            return 0
        exponent = min(failures - 1, MAX_EXPONENT)
        limit_ms = min(MAX_DELAY_MS, BASE_DELAY_MS << exponent)
        budget = self._budget_by_entry.get(entry, MAX_BUDGET)
        if budget < 1:
            limit_ms = max(limit_ms, EMPTY_BUDGET_DELAY_MS)
        else:
            self._budget_by_entry[entry] = budget - 1
        return 1 + int(self._random.integers(limit_ms))

    def floor_mb(self, task_id: str, reserved_mb: int) -> int:
        """Return the memory for the next attempt of a failed task."""
        failures = self.failures(task_id)
        if not failures:
            return 0
        return int(reserved_mb * GROWTH**failures)


def _task_of(task_id: str) -> str:
    return task_id.rpartition("/")[0]
