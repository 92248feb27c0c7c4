"""Rate limiter for appends to the log."""

from __future__ import annotations

from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from magnoliapitch.clock import Clock


class TokenBucket:
    """Token bucket that starts full.

    :param rate_per_s: tokens that are added each second.
    :param burst: maximum number of stored tokens.
    :param clock: clock by which tokens are added.
    """

    def __init__(self, rate_per_s: float, burst: float, clock: Clock) -> None:
        self.rate_per_s = rate_per_s
        self._burst = burst
        self._clock = clock
        self._tokens = burst
        self._refilled_ms = clock.now_ms()

    def take(self) -> int:
        """Take one token if one is available.

        :return: 0 if a token was taken, else the milliseconds until the
            next one is available, at least 1.
        """
        now_ms = self._clock.now_ms()
        added = (now_ms - self._refilled_ms) * self.rate_per_s / 1000
        self._tokens = min(self._burst, self._tokens + added)
        self._refilled_ms = now_ms
        if self._tokens >= 1:
            self._tokens -= 1
            return 0
        missing_ms = (1 - self._tokens) * 1000 / self.rate_per_s
        return max(1, int(missing_ms + 0.999))
