"""Delay after which the caller of a rejected job may try again."""

from __future__ import annotations

import math

from typing import TYPE_CHECKING


if TYPE_CHECKING:
    import random


MIN_RETRY_S = 1
# Half of the longest delay: the random part is as long as the fixed one.
MAX_FIXED_RETRY_MS = 5_000.0


def retry_after_ms(excess_ms: float, randomness: random.Random) -> int:
    """Return the delay: whole seconds from 1 to 10, in milliseconds.

    The fixed part grows with the wait, so that callers come back in the order
    in which capacity becomes free. The random part, up to as much, keeps them
    from coming back all at once.

    :param excess_ms: time until the queue admits jobs again.
    """
    fixed_ms = min(max(0.0, excess_ms), MAX_FIXED_RETRY_MS)
    delay_ms = fixed_ms * (1 + randomness.random())
    return max(MIN_RETRY_S, math.ceil(delay_ms / 1000)) * 1000


__all__ = ["retry_after_ms"]
