"""Bounds retries to a share of the requests."""

from __future__ import annotations

import threading


TOKENS_MAX = 50.0
TOKENS_PER_REQUEST = 0.2


class RetryBudget:
    """Allows a burst of retries and then one for every five requests."""

    def __init__(self) -> None:
        self._tokens = TOKENS_MAX
        self._lock = threading.Lock()

    def deposit(self) -> None:
        """Count a first attempt."""
        with self._lock:
            self._tokens = min(self._tokens + TOKENS_PER_REQUEST, TOKENS_MAX)

    def withdraw(self) -> bool:
        """Return whether a retry is allowed, and count it."""
        with self._lock:
            if self._tokens < 1:
                return False
            self._tokens -= 1
            return True
