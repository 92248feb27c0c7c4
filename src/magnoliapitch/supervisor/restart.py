"""Decides whether and when a failed child is restarted."""

from __future__ import annotations

from collections import deque
from typing import NamedTuple


class RestartPolicy(NamedTuple):
    """Limits and delays of restarting children.

    :param max_restarts: restarts of one child allowed within the window.
    :param window_ms: length of the sliding window, in milliseconds.
    :param first_backoff_ms: delay before the first restart; it doubles
        with each further failure within the window.
    :param max_backoff_ms: longest delay before a restart.
    :param hung_after_ms: age of a heartbeat above which a child counts as
        hung.
    """

    max_restarts: int = 10
    window_ms: int = 60_000
    first_backoff_ms: int = 100
    max_backoff_ms: int = 5_000
    hung_after_ms: int = 30_000


class RestartRecord:
    """Failures and restarts of one child.

    :ivar restart_count: restarts since the process started.
    :ivar restart_due_ms: time of the planned restart, or ``None`` if none
        is planned.
    :ivar is_hung: whether the last heartbeat was too old.
    """

    def __init__(self, policy: RestartPolicy) -> None:
        self.restart_count = 0
        self.restart_due_ms: int | None = None
        self.is_hung = False
        self._policy = policy
        self._failure_times_ms: deque[int] = deque()

    def record_failure(self, now_ms: int) -> bool:
        """Record a failure and plan the restart.

        :param now_ms: time of the failure.
        :return: whether another restart is allowed.
        """
        self._failure_times_ms.append(now_ms)
        window_start_ms = now_ms - self._policy.window_ms
        while self._failure_times_ms[0] <= window_start_ms:
            self._failure_times_ms.popleft()
        recent_failures = len(self._failure_times_ms)
        backoff_ms = self._policy.first_backoff_ms * 2 ** (recent_failures - 1)
        self.restart_due_ms = now_ms + min(
            backoff_ms, self._policy.max_backoff_ms
        )
        return recent_failures <= self._policy.max_restarts

    def record_restart(self) -> None:
        """Record that the child was restarted."""
        self.restart_count += 1
        self.restart_due_ms = None
        self.is_hung = False
