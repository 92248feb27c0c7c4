"""Availability of the store, derived from this instance's calls."""

from __future__ import annotations

import threading

from typing import TYPE_CHECKING

from magnoliapitch.event import log_event
from magnoliapitch.verdict import FailureCode


if TYPE_CHECKING:
    from magnoliapitch.clock import Clock
    from magnoliapitch.verdict import Failure


# Shorter outages are hidden from callers: calls are retried meanwhile.
DOWN_AFTER_MS = 700

_OUTAGE_CODES = (
    FailureCode.UNAVAILABLE,
    FailureCode.TIMEOUT,
    FailureCode.OVERLOADED,
    FailureCode.BAD_RESPONSE,
)


class StoreHealth:
    """Tracks since when calls to the store have been failing.

    :ivar last_success_ms: time at which the latest successful call was sent,
        or None before the first one.
    """

    def __init__(self, clock: Clock) -> None:
        self.last_success_ms: int | None = None
        self._clock = clock
        self._lock = threading.Lock()
        self._failing_since_ms: int | None = None

    def note_success(self, sent_ms: int) -> None:
        """Record a successful call.

        :param sent_ms: time at which the call was sent.
        """
        with self._lock:
            failing_since_ms, self._failing_since_ms = (
                self._failing_since_ms,
                None,
            )
            self.last_success_ms = max(self.last_success_ms or 0, sent_ms)
        if failing_since_ms is not None:
            age_ms = self._clock.now_ms() - failing_since_ms
            log_event("store-available", failed_ms=age_ms)

    def note_failure(self, failure: Failure) -> None:
        """Record a failed call.

        Only failures that show an outage count: no answer, an unreadable
        answer or a temporary refusal.
        """
        if failure.code not in _OUTAGE_CODES:
            return
        with self._lock:
            is_first = self._failing_since_ms is None
            if is_first:
                self._failing_since_ms = self._clock.now_ms()
        if is_first:
            log_event("store-unavailable", reason=failure.detail)

    def is_down(self) -> bool:
        """Return whether calls have failed for more than ``DOWN_AFTER_MS``.

        Before the first call has succeeded or failed, the store counts as
        down.
        """
        failing_since_ms = self._failing_since_ms
        if failing_since_ms is None:
            return self.last_success_ms is None
        return self._clock.now_ms() - failing_since_ms > DOWN_AFTER_MS
