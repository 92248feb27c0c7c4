"""Age of what an instance knows of the configuration."""

from __future__ import annotations

import threading

from typing import TYPE_CHECKING
from typing import NamedTuple


if TYPE_CHECKING:
    from magnoliapitch.clock import Clock


MAX_AGE_MS = 2_000
MAX_WAIT_MS = 300


class ConfigurationCheck(NamedTuple):
    """A check of the configuration that has begun.

    :param number: checks are numbered in the order of their begin.
    :param started_ms: when it was sent to the store.
    """

    number: int
    started_ms: int


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
        self._begun_count = 0
        self._last_ended_number = 0
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

    def begin_check(self) -> ConfigurationCheck:
        """Record that a check is about to be sent to the store."""
        with self._lock:
            self._begun_count += 1
            return ConfigurationCheck(self._begun_count, self._clock.now_ms())

    def end_check(
        self, check: ConfigurationCheck, has_succeeded: bool
    ) -> None:
        """Record the end of a check and wake the calls that wait for one.

        :param has_succeeded: whether the newest configuration is applied.
        """
        with self._lock:
            self._last_ended_number = max(
                self._last_ended_number, check.number
            )
            if has_succeeded:
                self._succeeded_ms = max(
                    self._succeeded_ms or check.started_ms, check.started_ms
                )
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
        deadline_ms = self._clock.now_ms() + MAX_WAIT_MS
        with self._lock:
            begun_count = self._begun_count
        while self.is_stale():
            with self._lock:
                has_ended = self._last_ended_number > begun_count
                check_ended = self._check_ended
            remaining_ms = deadline_ms - self._clock.now_ms()
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
