"""Slots, circuit breaker and departure of one backend server."""

from __future__ import annotations

from typing import TYPE_CHECKING

from magnoliapitch.verdict import Failure
from magnoliapitch.verdict import FailureCode
from magnoliapitch.verdict import Verdict


if TYPE_CHECKING:
    from magnoliapitch.membership.instance import InstanceInfo


FAILURE_COUNT_TO_OPEN = 3
BACKOFF_FIRST_MS = 500
BACKOFF_MAX_MS = 15_000
LEAVING_EXCLUSION_MS = 60_000


class BackendServerState:
    """State of one backend server as this entry instance sees it.

    A request that failed, but may have run, may still occupy its slot on the
    server. So the slot counts as taken for the request's timeout once more.

    The circuit breaker opens on a refusal, or after
    ``FAILURE_COUNT_TO_OPEN`` other failures in a row. It then admits no
    request during a backoff, and one probe at a time after it.

    :ivar in_flight: number of requests sent and not yet answered.
    """

    __slots__ = (
        "_backoff_ms",
        "_consecutive_failures",
        "_leaving_until_ms",
        "_occupied_until_ms",
        "_open_until_ms",
        "_url",
        "in_flight",
    )

    def __init__(self, url: str) -> None:
        self.in_flight = 0
        self._url = url
        self._occupied_until_ms: list[int] = []
        self._consecutive_failures = 0
        self._backoff_ms = BACKOFF_FIRST_MS
        self._open_until_ms: int | None = None
        self._leaving_until_ms = 0

    @property
    def needs_probe(self) -> bool:
        """Whether the breaker is open, so that the next request is a probe."""
        return self._open_until_ms is not None

    def free_slots(self, info: InstanceInfo, now_ms: int) -> int:
        """Return the number of requests that may be sent to the server now."""
        if now_ms < self._leaving_until_ms:
            return 0
        max_in_flight = min(info.slots, info.connections)
        if self._open_until_ms is not None:
            if now_ms < self._open_until_ms:
                return 0
            max_in_flight = min(max_in_flight, 1)
        return max(max_in_flight - self._taken_slots(now_ms), 0)

    def update_url(self, info: InstanceInfo) -> None:
        """Reset the state if the server has another URL than before.

        A server that was replaced keeps its name and gets a new URL.
        """
        if info.url == self._url:
            return
        self._url = info.url
        self._leaving_until_ms = 0
        self._close_breaker()

    def note_success(self) -> None:
        """Close the circuit breaker after a complete answer."""
        self._close_breaker()

    def note_leaving(self, now_ms: int) -> None:
        """Send no requests for a while to a server that says it is leaving."""
        self._leaving_until_ms = now_ms + LEAVING_EXCLUSION_MS

    def note_failure(
        self, failure: Failure, occupied_ms: int, now_ms: int
    ) -> None:
        """Update the state after a failed request.

        :param occupied_ms: how long the request may still occupy its slot.
        """
        if failure.verdict is not Verdict.NOT_RUN:
            self._occupied_until_ms.append(now_ms + occupied_ms)
        if failure.code is FailureCode.SHUTTING_DOWN:
            self.note_leaving(now_ms)
            return
        self._consecutive_failures += 1
        is_refused = failure.verdict is Verdict.NOT_RUN
        if is_refused or self._consecutive_failures >= FAILURE_COUNT_TO_OPEN:
            self._open_breaker(now_ms)

    def dump(self, now_ms: int) -> dict[str, object]:
        """Return the server's part of the state dump."""
        return {
            "in_flight": self.in_flight,
            "held": len(self._occupied_until_ms),
            "failures": self._consecutive_failures,
            "leaving": now_ms < self._leaving_until_ms,
            "open": self._open_until_ms is not None,
        }

    def _taken_slots(self, now_ms: int) -> int:
        if self._occupied_until_ms:
            self._occupied_until_ms = [
                until for until in self._occupied_until_ms if until > now_ms
            ]
        return self.in_flight + len(self._occupied_until_ms)

    def _open_breaker(self, now_ms: int) -> None:
        self._open_until_ms = now_ms + self._backoff_ms
        self._backoff_ms = min(2 * self._backoff_ms, BACKOFF_MAX_MS)

    def _close_breaker(self) -> None:
        self._consecutive_failures = 0
        self._backoff_ms = BACKOFF_FIRST_MS
        self._open_until_ms = None
