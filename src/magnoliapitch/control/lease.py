"""What is known of a worker's clock and of its lease."""

from __future__ import annotations

from typing import TYPE_CHECKING

from magnoliapitch.control.timing import MIN_CLOCK_RATE_RATIO
from magnoliapitch.control.timing import LEASE_EXPIRY_MARGIN_MS


if TYPE_CHECKING:
    from magnoliapitch.control.timing import ControlTiming


class WorkerLease:
    """The lease of one worker, on its own clock.

    :param inherited_leases_end_ms: when a lease that a former leader gave is surely over.
    """

    def __init__(self, timing: ControlTiming, inherited_leases_end_ms: int) -> None:
        self._timing = timing
        self._inherited_leases_end_ms = inherited_leases_end_ms
        self._clock_ms: int | None = None
        self._sent_ms = 0
        self._received_ms = 0
        self._deadline_ms = 0

    @property
    def has_clock(self) -> bool:
        """Return whether the worker has told its clock."""
        return self._clock_ms is not None

    def record_clock(
        self, clock_ms: int, sent_ms: int, received_ms: int
    ) -> None:
        """Take over the worker's clock from an answer."""
        if sent_ms >= self._sent_ms:
            self._clock_ms = clock_ms
            self._sent_ms, self._received_ms = sent_ms, received_ms

    def next_deadline(self, now_ms: int) -> int:
        """Return the end of a lease that is given now, and remember it."""
        if self._clock_ms is None:
            raise ValueError("the worker's clock is not known")
        elapsed_ms = now_ms - self._received_ms
        deadline_ms = self._clock_ms + elapsed_ms + self._timing.lease_ms
        self._deadline_ms = max(self._deadline_ms, deadline_ms)
        return deadline_ms

    def all_leases_expired_at_ms(self) -> int:
        """Return when every lease given so far is surely over."""
        if self._clock_ms is None or not self._deadline_ms:
            return self._inherited_leases_end_ms
        left_ms = (self._deadline_ms - self._clock_ms) / MIN_CLOCK_RATE_RATIO
        own_ms = self._received_ms + int(left_ms) + LEASE_EXPIRY_MARGIN_MS
        return max(own_ms, self._inherited_leases_end_ms if self._sent_ms == 0 else own_ms)
