"""Interfaces for calls to peers and for serving their calls."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Protocol


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Mapping

    from result import Result

    from magnoliapitch.peer.message import ForwardedAnswer
    from magnoliapitch.peer.message import ForwardedRequest
    from magnoliapitch.peer.message import Heartbeat
    from magnoliapitch.peer.message import LogPage
    from magnoliapitch.peer.message import StateSnapshot
    from magnoliapitch.verdict import Failure


class PeerLink(Protocol):
    """Client for calls to peers, addressed by ``IP:PORT``; thread-safe."""

    def heartbeat(
        self, address: str, heartbeat: Heartbeat, timeout_ms: int
    ) -> Result[Heartbeat, Failure]:
        """Send a heartbeat and return the peer's."""

    def heartbeat_all(
        self,
        heartbeats_by_address: Mapping[str, Heartbeat],
        timeout_ms: int,
        on_answer: Callable[[str, Heartbeat], None],
    ) -> None:
        """Send heartbeats to many peers concurrently.

        :param on_answer: called with a peer's address and its heartbeat as
            soon as it arrives; not called for peers that fail.
        """

    def forward(
        self, address: str, request: ForwardedRequest, timeout_ms: int
    ) -> Result[ForwardedAnswer, Failure]:
        """Have a peer execute a request."""

    def read_log(
        self, address: str, from_offset: int, limit: int, timeout_ms: int
    ) -> Result[LogPage, Failure]:
        """Fetch log records from a peer.

        :param from_offset: offset of the first record to return.
        :param limit: maximum number of records.
        """

    def snapshot(
        self, address: str, timeout_ms: int
    ) -> Result[StateSnapshot, Failure]:
        """Fetch the encoded replicated state of a peer."""


class PeerHandler(Protocol):
    """Handler of the calls that peers make to an entry instance."""

    def heartbeat(self, heartbeat: Heartbeat) -> Heartbeat:
        """Record a peer's heartbeat and answer with one of this instance."""

    def forward(
        self, request: ForwardedRequest
    ) -> Result[ForwardedAnswer, Failure]:
        """Execute a forwarded request; called in a pool thread."""

    def read_log(self, from_offset: int, limit: int) -> LogPage:
        """Return log records from the local copy.

        :param from_offset: offset of the first record to return.
        :param limit: maximum number of records.
        """

    def snapshot(self) -> StateSnapshot:
        """Return the encoded replicated state."""
