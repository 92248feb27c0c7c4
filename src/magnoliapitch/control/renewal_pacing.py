"""Wait times of lease renewals, and the pauses between them."""

from __future__ import annotations

from typing import NamedTuple


# The worker answers at once. The first answer reports the worker's clock,
# which a lease needs.
IMMEDIATE_WAIT_MS = 0
LONG_POLL_WAIT_MS = 1_000
ANSWER_TIMEOUT_MS = 500
FIRST_PAUSE_MS = 20
REPEATED_PAUSE_MS = 300
# A run that ended while an answer was lost is reported only by the next
# renewal, so renewals are short for a while after an unanswered one.
LOSSY_PERIOD_MS = 10_000
LOSSY_WAIT_MS = 250
LOSSY_TIMEOUT_MS = 300


class RenewalTiming(NamedTuple):
    """Wait times of one renewal, in milliseconds.

    :param wait_ms: how long the worker may hold back its answer until a run
        ends (long polling).
    :param timeout_ms: how long to wait for the answer after that.
    """

    wait_ms: int
    timeout_ms: int


class RenewalPacing:
    """Adapts the renewals of one worker to its latest answers."""

    def __init__(self) -> None:
        self._last_unanswered_ms: int | None = None
        self._consecutive_unanswered_count = 0
        self._answers_without_lease_count = 0
        self._is_first = True

    def next_renewal(self, now_ms: int) -> RenewalTiming:
        """Return the wait times of a renewal that starts now."""
        if self._is_first or self._consecutive_unanswered_count:
            return RenewalTiming(IMMEDIATE_WAIT_MS, ANSWER_TIMEOUT_MS)
        if (
            self._last_unanswered_ms is not None
            and now_ms - self._last_unanswered_ms < LOSSY_PERIOD_MS
        ):
            return RenewalTiming(LOSSY_WAIT_MS, LOSSY_TIMEOUT_MS)
        return RenewalTiming(LONG_POLL_WAIT_MS, ANSWER_TIMEOUT_MS)

    def record_unanswered(self, now_ms: int) -> int:
        """Record an unanswered renewal; return the pause after it, in ms."""
        self._is_first = False
        self._last_unanswered_ms = now_ms
        self._consecutive_unanswered_count += 1
        return (
            FIRST_PAUSE_MS
            if self._consecutive_unanswered_count == 1
            else REPEATED_PAUSE_MS
        )

    def record_answered(self, *, lease_granted: bool) -> int:
        """Record an answered renewal; return the pause after it, in ms.

        Without a lease the worker answers at once, so a pause is needed.
        The first answer of a worker makes a lease possible, so the next
        renewal follows after a short one.

        :param lease_granted: whether the renewal extended the lease.
        """
        self._is_first = False
        self._consecutive_unanswered_count = 0
        if lease_granted:
            self._answers_without_lease_count = 0
            return 0
        self._answers_without_lease_count += 1
        return (
            FIRST_PAUSE_MS
            if self._answers_without_lease_count == 1
            else REPEATED_PAUSE_MS
        )
