"""Limits retries to a fraction of the requests."""

from __future__ import annotations

import threading


TOKENS_MAX = 50.0
TOKENS_PER_REQUEST = 0.2


class RetryBudget:
    """Token bucket that each request refills and each retry empties.

    It allows a burst of ``TOKENS_MAX`` retries, and after that one retry for
    every five requests.
    """

    def __init__(self) -> None:
        self._tokens = TOKENS_MAX
        self._lock = threading.Lock()

    def deposit(self) -> None:
        """Add the tokens of a new request."""
        with self._lock:
            self._tokens = min(self._tokens + TOKENS_PER_REQUEST, TOKENS_MAX)

    def withdraw(self) -> bool:
        """Take a token for a retry; return whether there was one."""
        with self._lock:
            if self._tokens < 1:
                return False
            self._tokens -= 1
            return True
