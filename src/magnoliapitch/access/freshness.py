"""Age of what an instance knows of the configuration."""

from __future__ import annotations

import threading

from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from magnoliapitch.clock import Clock


MAX_AGE_MS = 2_000
MAX_WAIT_MS = 300


class ConfigurationFreshness:
    """Tracks the newest check of the configuration; thread-safe.

    A check is as old as its start: its answer may have waited in a socket
    while the process was paused.

    :param clock: clock that also counts the time of a suspension.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._succeeded_ms: int | None = None
        self._ended_ms: int | None = None
        self._check_ended = threading.Event()
        self._check_requested = threading.Event()

    def age_ms(self) -> int | None:
        """Return the age of the newest completed check, None before it."""
        if self._succeeded_ms is None:
            return None
        return self._clock.now_ms() - self._succeeded_ms

    def is_stale(self) -> bool:
        """Return whether the newest completed check is too old to rely on."""
        age_ms = self.age_ms()
        return age_ms is None or age_ms > MAX_AGE_MS

    def record_check(self, started_ms: int, has_succeeded: bool) -> None:
        """Record the end of a check and wake the calls that wait for one.

        :param started_ms: when the check was sent to the store.
        :param has_succeeded: whether the newest configuration is applied.
        """
        with self._lock:
            self._ended_ms = _later(self._ended_ms, started_ms)
            if has_succeeded:
                self._succeeded_ms = _later(self._succeeded_ms, started_ms)
            check_ended, self._check_ended = (
                self._check_ended,
                threading.Event(),
            )
        check_ended.set()

    def wait_for_check(self) -> None:
        """Wait until the configuration is fresh, for at most 300 ms.

        The wait also ends with a failed check that began after it, since the
        store is then out of reach.
        """
        arrived_ms = self._clock.now_ms()
        while self.is_stale():
            with self._lock:
                ended_ms = self._ended_ms
                check_ended = self._check_ended
            remaining_ms = arrived_ms + MAX_WAIT_MS - self._clock.now_ms()
            has_ended = ended_ms is not None and ended_ms >= arrived_ms
            if has_ended or remaining_ms <= 0:
                return
            self._check_requested.set()
            self._clock.wait(check_ended, remaining_ms)

    def take_request(self, timeout_ms: int) -> bool:
        """Return whether a call waits for a check.

        :param timeout_ms: longest time to wait for such a call.
        """
        is_requested = self._clock.wait(self._check_requested, timeout_ms)
        self._check_requested.clear()
        return is_requested


def _later(known_ms: int | None, started_ms: int) -> int:
    return started_ms if known_ms is None else max(known_ms, started_ms)
