"""The lease of a worker and the offset of the worker's clock."""

from __future__ import annotations

from typing import TYPE_CHECKING

from magnoliapitch.control.timing import LEASE_EXPIRY_MARGIN_MS
from magnoliapitch.control.timing import MIN_CLOCK_RATE_RATIO


if TYPE_CHECKING:
    from magnoliapitch.control.timing import ControlTiming


class WorkerLease:
    """Lease of one worker, which ends by the worker's own clock.

    :param inherited_leases_end_ms: when every lease that a former leader
        granted has certainly expired, by this instance's clock.
    """

    def __init__(
        self, timing: ControlTiming, inherited_leases_end_ms: int
    ) -> None:
        self._timing = timing
        self._inherited_leases_end_ms = inherited_leases_end_ms
        self._clock_ms: int | None = None
        self._sent_ms = 0
        self._received_ms = 0
        self._deadline_ms = 0
        # Whether a lease was granted that outlasts those of former leaders.
        self._has_full_lease = False

    @property
    def has_clock(self) -> bool:
        """Return whether an answer has reported the worker's clock."""
        return self._clock_ms is not None

    @property
    def is_granted(self) -> bool:
        """Return whether this leader has granted a lease."""
        return self._deadline_ms > 0

    def record_clock(
        self, clock_ms: int, sent_ms: int, received_ms: int
    ) -> None:
        """Record the worker's clock from an answer.

        An answer to an earlier call than the newest recorded one is ignored.

        :param clock_ms: the worker's clock.
        :param sent_ms: when the call was sent, by this instance's clock.
        :param received_ms: when it was answered, by this instance's clock.
        """
        if sent_ms >= self._sent_ms:
            self._clock_ms = clock_ms
            self._sent_ms, self._received_ms = sent_ms, received_ms

    def estimated_clock_ms(self, now_ms: int) -> int | None:
        """Return the worker's clock as if no time passed on the way here.

        :return: the clock in ms, or None if no answer has reported it.
        """
        if self._clock_ms is None:
            return None
        return self._clock_ms + now_ms - self._received_ms

    def next_deadline(self, begin_ms: int, *, is_leaving: bool = False) -> int:
        """Return the end of a lease that begins at a time, and record it.

        :param is_leaving: whether the worker has said that it leaves; it may
            be gone at any moment, and gets shorter leases.
        :raises ValueError: if no answer has reported the worker's clock.
        """
        clock_ms = self.estimated_clock_ms(begin_ms)
        if clock_ms is None:
            raise ValueError(
                "no lease can be granted: the worker's clock is not known"
            )
        lease_ms = self._timing.lease_ms
        if is_leaving:
            lease_ms = min(lease_ms, self._timing.leaving_lease_ms)
        else:
            self._has_full_lease = True
        deadline_ms = clock_ms + lease_ms
        self._deadline_ms = max(self._deadline_ms, deadline_ms)
        return deadline_ms

    def all_leases_expired_at_ms(self) -> int:
        """Return when every lease granted so far has certainly expired.

        :return: time in ms, by this instance's clock.
        """
        if self._clock_ms is None or not self._deadline_ms:
            return self._inherited_leases_end_ms
        remaining_ms = (
            self._deadline_ms - self._clock_ms
        ) / MIN_CLOCK_RATE_RATIO
        granted_end_ms = (
            self._received_ms + int(remaining_ms) + LEASE_EXPIRY_MARGIN_MS
        )
        if self._has_full_lease and self._sent_ms:
            return granted_end_ms
        return max(granted_end_ms, self._inherited_leases_end_ms)
