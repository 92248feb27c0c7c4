"""Keeps an instance's configuration up to date."""

from __future__ import annotations

import threading

from typing import TYPE_CHECKING
from typing import Protocol

from result import Err
from result import Result


if TYPE_CHECKING:
    from collections.abc import Callable

    from magnoliapitch.access import ConfigurationFreshness
    from magnoliapitch.verdict import Failure
    from magnoliapitch.workload.configuration import Configuration


POLL_WAIT_MS = 700
POLL_TIMEOUT_MS = 600
POLL_RETRY_MS = 200
# A call waits at most this long for the check that it requests.
CHECK_TIMEOUT_MS = 300
REQUEST_WAIT_MS = 200


class ConfigurationSource(Protocol):
    """Reads the configuration from the store."""

    def configuration(
        self, wait_ms: int, timeout_ms: int
    ) -> Result[Configuration | None, Failure]:
        """Return the newest configuration, or None if it is unreadable."""


class ConfigurationWatch:
    """Reads the configuration and applies newer versions; thread-safe.

    ``poll`` and ``check`` are steps of loops with a thread each, since a poll
    under way cannot be hastened when a call needs a check.

    :param apply: called with each newer version, one at a time.
    """

    def __init__(
        self,
        source: ConfigurationSource,
        freshness: ConfigurationFreshness,
        apply: Callable[[Configuration], None],
    ) -> None:
        self._source = source
        self._freshness = freshness
        self._apply = apply
        self._lock = threading.Lock()
        self._version: int | None = None

    def poll(self) -> int:
        """Wait for a newer configuration; return the ms until the next."""
        has_succeeded = self._read(POLL_WAIT_MS, POLL_TIMEOUT_MS)
        return 0 if has_succeeded else POLL_RETRY_MS

    def check(self) -> int:
        """Read the configuration as soon as a call waits for a check."""
        if self._freshness.take_request(REQUEST_WAIT_MS):
            self._read(0, CHECK_TIMEOUT_MS)
        return 0

    def _read(self, wait_ms: int, timeout_ms: int) -> bool:
        check = self._freshness.begin_check()
        found = self._source.configuration(wait_ms, timeout_ms)
        has_succeeded = not isinstance(found, Err)
        if not isinstance(found, Err) and found.ok_value is not None:
            self._apply_newer(found.ok_value)
        self._freshness.end_check(check, has_succeeded)
        return has_succeeded

    def _apply_newer(self, configuration: Configuration) -> None:
        with self._lock:
            if (
                self._version is not None
                and configuration.version <= self._version
            ):
                return
            self._version = configuration.version
            self._apply(configuration)
