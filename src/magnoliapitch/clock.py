"""Monotonic clocks: those of the operating system, and a manual one."""

from __future__ import annotations

import time

from typing import TYPE_CHECKING
from typing import Protocol


if TYPE_CHECKING:
    import threading


__all__ = ["BootClock", "Clock", "ManualClock", "MonotonicClock"]


class Clock(Protocol):
    """A monotonic clock; wall-clock time is never used for decisions."""

    def now_ms(self) -> int:
        """Return the milliseconds since an arbitrary fixed point in time."""

    def wait(self, event: threading.Event, timeout_ms: int) -> bool:
        """Wait for an event for at most ``timeout_ms`` milliseconds.

        :return: whether the event is set.
        """


class MonotonicClock:
    """The operating system's monotonic clock."""

    def now_ms(self) -> int:
        """Return the time of the clock, in milliseconds."""
        return time.monotonic_ns() // 1_000_000

    def wait(self, event: threading.Event, timeout_ms: int) -> bool:
        """Wait for an event for at most ``timeout_ms`` milliseconds."""
        return event.wait(timeout_ms / 1000)


class BootClock(MonotonicClock):
    """A monotonic clock that keeps running while the machine is suspended.

    Leases are timed with it, so that they expire during a suspension.
    """

    def now_ms(self) -> int:
        """Return the time since the machine started, in milliseconds."""
        return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1_000_000


class ManualClock:
    """A clock that is advanced explicitly, for deterministic runs.

    :param now_ms: initial time in milliseconds.
    """

    def __init__(self, now_ms: int = 0) -> None:
        self._now_ms = now_ms

    def now_ms(self) -> int:
        """Return the time to which the clock was advanced."""
        return self._now_ms

    def advance(self, duration_ms: int) -> None:
        """Advance the clock.

        :param duration_ms: milliseconds, not negative.
        :raises ValueError: if the duration is negative.
        """
        if duration_ms < 0:
            raise ValueError(
                f"duration_ms must not be negative, found {duration_ms}"
            )
        self._now_ms += duration_ms

    def wait(self, event: threading.Event, timeout_ms: int) -> bool:
        """Advance the clock by the timeout unless the event is set."""
        if event.is_set():
            return True
        self.advance(timeout_ms)
        return event.is_set()
