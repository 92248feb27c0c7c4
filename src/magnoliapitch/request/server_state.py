"""What an entry instance knows of one backend server."""

from __future__ import annotations

from typing import TYPE_CHECKING

from magnoliapitch.verdict import Failure
from magnoliapitch.verdict import FailureCode
from magnoliapitch.verdict import Verdict


if TYPE_CHECKING:
    from magnoliapitch.membership.instance import InstanceInfo


FAILURES_TO_OPEN = 3
BACKOFF_FIRST_MS = 500
BACKOFF_MAX_MS = 15_000
LEAVING_HOLD_MS = 60_000


class ServerState:
    """Slots, circuit breaker and departure of one backend server.

    A request that timed out may still hold its slot on the server, so the
    slot stays taken for as long again as the request was given.

    :ivar in_flight: requests sent and not yet answered.
    """

    __slots__ = (
        "_backoff_ms",
        "_failures",
        "_held_until_ms",
        "_leaving_until_ms",
        "_open_until_ms",
        "_url",
        "in_flight",
    )

    def __init__(self, url: str) -> None:
        self.in_flight = 0
        self._url = url
        self._held_until_ms: list[int] = []
        self._failures = 0
        self._backoff_ms = BACKOFF_FIRST_MS
        self._open_until_ms: int | None = None
        self._leaving_until_ms = 0

    @property
    def is_suspect(self) -> bool:
        """Whether the next request is a probe after failures."""
        return self._open_until_ms is not None

    def free_slots(self, info: InstanceInfo, now_ms: int) -> int:
        """Return how many more requests the server may be sent now."""
        if now_ms < self._leaving_until_ms:
            return 0
        limit = min(info.slots, info.connections)
        if self._open_until_ms is not None:
            if now_ms < self._open_until_ms:
                return 0
            limit = min(limit, 1)
        return max(limit - self._taken(now_ms), 0)

    def refresh(self, info: InstanceInfo) -> None:
        """Forget what was learnt of an earlier server of the same name."""
        if info.url == self._url:
            return
        self._url = info.url
        self._leaving_until_ms = 0
        self._close()

    def succeed(self) -> None:
        """Note a complete answer."""
        self._close()

    def announce_leaving(self, now_ms: int) -> None:
        """Note that the server itself said that it is leaving."""
        self._leaving_until_ms = now_ms + LEAVING_HOLD_MS

    def fail(self, failure: Failure, held_ms: int, now_ms: int) -> None:
        """Note a failed request.

        :param held_ms: how long the server may go on with the request.
        """
        if failure.verdict is not Verdict.NOT_RUN:
            self._held_until_ms.append(now_ms + held_ms)
        if failure.code is FailureCode.SHUTTING_DOWN:
            self.announce_leaving(now_ms)
            return
        self._failures += 1
        is_refused = failure.verdict is Verdict.NOT_RUN
        if is_refused or self._failures >= FAILURES_TO_OPEN:
            self._open(now_ms)

    def dump(self, now_ms: int) -> dict[str, object]:
        """Return the server's part of the state dump."""
        return {
            "in_flight": self.in_flight,
            "held": len(self._held_until_ms),
            "failures": self._failures,
            "leaving": now_ms < self._leaving_until_ms,
            "open": self._open_until_ms is not None,
        }

    def _taken(self, now_ms: int) -> int:
        if self._held_until_ms:
            self._held_until_ms = [
                until for until in self._held_until_ms if until > now_ms
            ]
        return self.in_flight + len(self._held_until_ms)

    def _open(self, now_ms: int) -> None:
        self._open_until_ms = now_ms + self._backoff_ms
        self._backoff_ms = min(2 * self._backoff_ms, BACKOFF_MAX_MS)

    def _close(self) -> None:
        self._failures = 0
        self._backoff_ms = BACKOFF_FIRST_MS
        self._open_until_ms = None
