"""How an entry instance reaches its peers."""

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
    """Calls to peers by their ``IP:PORT`` address; safe from any thread."""

    def heartbeat(
        self, address: str, heartbeat: Heartbeat, timeout_ms: int
    ) -> Result[Heartbeat, Failure]:
        """Exchange heartbeats with a peer."""

    def heartbeat_all(
        self,
        heartbeats_by_address: Mapping[str, Heartbeat],
        timeout_ms: int,
        on_answer: Callable[[str, Heartbeat], None],
    ) -> None:
        """Exchange heartbeats with many peers at once.

        :param on_answer: is called with the address and the answer of each
            peer as soon as it arrives.
        """

    def forward(
        self, address: str, request: ForwardedRequest, timeout_ms: int
    ) -> Result[ForwardedAnswer, Failure]:
        """Let a peer execute a request."""

    def read_log(
        self, address: str, from_offset: int, limit: int, timeout_ms: int
    ) -> Result[LogPage, Failure]:
        """Fetch log records through a peer."""

    def snapshot(
        self, address: str, timeout_ms: int
    ) -> Result[StateSnapshot, Failure]:
        """Fetch a peer's encoded fold."""


class PeerHandler(Protocol):
    """What an entry instance does for its peers."""

    def heartbeat(self, heartbeat: Heartbeat) -> Heartbeat:
        """Take in a peer's heartbeat and return the own one."""

    def forward(
        self, request: ForwardedRequest
    ) -> Result[ForwardedAnswer, Failure]:
        """Execute a forwarded request; runs in a worker thread."""

    def read_log(self, from_offset: int, limit: int) -> LogPage:
        """Relay log records."""

    def snapshot(self) -> StateSnapshot:
        """Return the encoded fold."""
