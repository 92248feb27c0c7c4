"""Whether the store answers, as the calls of this instance show."""

from __future__ import annotations

import threading

from typing import TYPE_CHECKING

from magnoliapitch.event import log_event
from magnoliapitch.verdict import FailureCode


if TYPE_CHECKING:
    from magnoliapitch.clock import Clock
    from magnoliapitch.verdict import Failure


# Shorter failures are retried without being told to callers.
DOWN_AFTER_MS = 700

_AWAY_CODES = (
    FailureCode.UNAVAILABLE,
    FailureCode.TIMEOUT,
    FailureCode.OVERLOADED,
    FailureCode.BAD_ANSWER,
)


class StoreHealth:
    """Knows since when calls to the store have failed.

    :ivar last_success_ms: when the newest call that succeeded was sent.
    """

    def __init__(self, clock: Clock) -> None:
        self.last_success_ms: int | None = None
        self._clock = clock
        self._lock = threading.Lock()
        self._failing_since_ms: int | None = None

    def note_success(self, sent_ms: int) -> None:
        """Note that a call sent at a time was answered."""
        with self._lock:
            since, self._failing_since_ms = self._failing_since_ms, None
            self.last_success_ms = max(self.last_success_ms or 0, sent_ms)
        if since is not None:
            age_ms = self._clock.now_ms() - since
            log_event("store-available", failed_ms=age_ms)

    def note_failure(self, failure: Failure) -> None:
        """Note that a call was not answered or refused for now."""
        if failure.code not in _AWAY_CODES:
            return
        with self._lock:
            is_first = self._failing_since_ms is None
            if is_first:
                self._failing_since_ms = self._clock.now_ms()
        if is_first:
            log_event("store-unavailable", reason=failure.detail)

    def is_down(self) -> bool:
        """Return whether calls have failed for a while."""
        since = self._failing_since_ms
        if since is None:
            return self.last_success_ms is None
        return self._clock.now_ms() - since > DOWN_AFTER_MS
