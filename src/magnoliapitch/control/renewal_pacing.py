"""How long the looks at one worker wait, and the pauses between them."""

from __future__ import annotations

from typing import NamedTuple


# A look without a wait; one that is answered gives the worker's clock.
IMMEDIATE_WAIT_MS = 0
WAIT_MS = 1_000
TIMEOUT_MS = 500
FIRST_BACKOFF_MS = 20
PAUSE_MS = 300
# What ended while an answer was lost is known only after the next look, so
# looks are short on a link that has lost one lately.
LOSSY_MS = 10_000
LOSSY_WAIT_MS = 250
LOSSY_TIMEOUT_MS = 300


class RenewalTiming(NamedTuple):
    """Times of the next look, in milliseconds.

    :param wait_ms: how long the worker may wait for an end.
    :param timeout_ms: how long to wait for the answer after that.
    """

    wait_ms: int
    timeout_ms: int


class RenewalPacing:
    """Learns from the looks at one worker how to make the next ones."""

    def __init__(self) -> None:
        self._lost_ms: int | None = None
        self._lost_in_turn = 0
        self._without_lease = 0
        self._is_first = True

    def next_renewal(self, now_ms: int) -> RenewalTiming:
        """Return the times of a look that begins now."""
        if self._is_first or self._lost_in_turn:
            return RenewalTiming(IMMEDIATE_WAIT_MS, TIMEOUT_MS)
        if self._lost_ms is not None and now_ms - self._lost_ms < LOSSY_MS:
            return RenewalTiming(LOSSY_WAIT_MS, LOSSY_TIMEOUT_MS)
        return RenewalTiming(WAIT_MS, TIMEOUT_MS)

    def record_unanswered(self, now_ms: int) -> int:
        """Note an unanswered look and return the pause after it."""
        self._is_first = False
        self._lost_ms = now_ms
        self._lost_in_turn += 1
        return FIRST_BACKOFF_MS if self._lost_in_turn == 1 else PAUSE_MS

    def record_answered(self, *, lease_granted: bool) -> int:
        """Note an answered look and return the pause after it.

        Without a lease the worker does not wait. The first answer of a
        worker makes a lease possible, so the next look follows at once.
        """
        self._is_first = False
        self._lost_in_turn = 0
        if lease_granted:
            self._without_lease = 0
            return 0
        self._without_lease += 1
        return FIRST_BACKOFF_MS if self._without_lease == 1 else PAUSE_MS
