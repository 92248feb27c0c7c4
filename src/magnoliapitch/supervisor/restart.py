"""Decides when a failed child is started again."""

from __future__ import annotations

from collections import deque
from typing import NamedTuple


class RestartPolicy(NamedTuple):
    """How often and how fast children are restarted.

    :param limit: restarts of one child within the window.
    :param window_ms: length of the window, in milliseconds.
    :param first_backoff_ms: pause before the first restart.
    :param max_backoff_ms: longest pause; each one doubles the last.
    :param hung_after_ms: age of a heartbeat that counts as hung.
    """

    limit: int = 10
    window_ms: int = 60_000
    first_backoff_ms: int = 100
    max_backoff_ms: int = 5_000
    hung_after_ms: int = 30_000


class RestartRecord:
    """Failures of one child.

    :ivar total: restarts since the process started.
    :ivar due_ms: when the child is to be started, or ``None``.
    :ivar is_hung: whether its last heartbeat was too old.
    """

    def __init__(self, policy: RestartPolicy) -> None:
        self.total = 0
        self.due_ms: int | None = None
        self.is_hung = False
        self._policy = policy
        self._failures_ms: deque[int] = deque()

    def fail(self, now_ms: int) -> bool:
        """Note a failure and plan the restart.

        :return: whether the limit allows another restart.
        """
        self._failures_ms.append(now_ms)
        start_ms = now_ms - self._policy.window_ms
        while self._failures_ms[0] <= start_ms:
            self._failures_ms.popleft()
        recent = len(self._failures_ms)
        backoff_ms = self._policy.first_backoff_ms * 2 ** (recent - 1)
        self.due_ms = now_ms + min(backoff_ms, self._policy.max_backoff_ms)
        return recent <= self._policy.limit

    def restarted(self) -> None:
        """Note that the child was started again."""
        self.total += 1
        self.due_ms = None
        self.is_hung = False
