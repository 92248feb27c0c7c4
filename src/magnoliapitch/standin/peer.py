"""In-memory stand-in for the network between entry instances."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import TypeVar

from result import Err
from result import Ok

from magnoliapitch.verdict import FailureCode
from magnoliapitch.verdict import may_have_run
from magnoliapitch.verdict import not_run


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Mapping

    from result import Result

    from magnoliapitch.peer.link import PeerHandler
    from magnoliapitch.peer.message import ForwardedAnswer
    from magnoliapitch.peer.message import ForwardedRequest
    from magnoliapitch.peer.message import Heartbeat
    from magnoliapitch.peer.message import LogPage
    from magnoliapitch.peer.message import StateSnapshot
    from magnoliapitch.verdict import Failure


ValueT = TypeVar("ValueT")


class StandinNetwork:
    """Network that connects peer handlers by address.

    :ivar blocked_links: pairs ``(sender, receiver)`` of addresses; messages
        and responses in this direction are lost.
    :ivar handlers_by_address: handlers of the reachable instances.
    """

    def __init__(self) -> None:
        self.blocked_links: set[tuple[str, str]] = set()
        self.handlers_by_address: dict[str, PeerHandler] = {}

    def link(self, address: str) -> StandinLink:
        """Return the link through which the instance at an address calls."""
        return StandinLink(self, address)

    def find_handler(
        self, source: str, target: str
    ) -> Result[PeerHandler, Failure]:
        """Return the handler that a message from ``source`` reaches.

        It fails if nothing serves at ``target`` or the link is blocked.
        """
        handler = self.handlers_by_address.get(target)
        if handler is None or (source, target) in self.blocked_links:
            return Err(
                not_run(
                    FailureCode.UNAVAILABLE, f"peer {target} is unreachable"
                )
            )
        return Ok(handler)


class StandinLink:
    """Link of one instance that calls the handlers of its peers directly."""

    def __init__(self, network: StandinNetwork, address: str) -> None:
        self._network = network
        self._address = address

    def heartbeat(
        self,
        address: str,
        beat: Heartbeat,
        timeout_ms: int,  # noqa: ARG002
    ) -> Result[Heartbeat, Failure]:
        """Exchange heartbeats with a peer."""
        found = self._network.find_handler(self._address, address)
        answer = found.map(lambda handler: handler.heartbeat(beat))
        return self._drop_if_blocked(address, answer)

    def heartbeat_all(
        self,
        beats_by_address: Mapping[str, Heartbeat],
        timeout_ms: int,
        on_answer: Callable[[str, Heartbeat], None],
    ) -> None:
        """Exchange heartbeats with several peers, one after another."""
        for address, beat in beats_by_address.items():
            answer = self.heartbeat(address, beat, timeout_ms)
            if isinstance(answer, Ok):
                on_answer(address, answer.ok_value)

    def forward(
        self,
        address: str,
        request: ForwardedRequest,
        timeout_ms: int,  # noqa: ARG002
    ) -> Result[ForwardedAnswer, Failure]:
        """Forward a request to a peer that executes it."""
        found = self._network.find_handler(self._address, address)
        answer = found.and_then(lambda handler: handler.forward(request))
        return self._drop_if_blocked(address, answer)

    def read_log(
        self,
        address: str,
        from_offset: int,
        limit: int,
        timeout_ms: int,  # noqa: ARG002
    ) -> Result[LogPage, Failure]:
        """Fetch log records from a peer."""
        found = self._network.find_handler(self._address, address)
        page = found.map(lambda handler: handler.read_log(from_offset, limit))
        return self._drop_if_blocked(address, page)

    def snapshot(
        self,
        address: str,
        timeout_ms: int,  # noqa: ARG002
    ) -> Result[StateSnapshot, Failure]:
        """Fetch a peer's encoded state."""
        found = self._network.find_handler(self._address, address)
        return self._drop_if_blocked(
            address, found.map(lambda handler: handler.snapshot())
        )

    def _drop_if_blocked(
        self, address: str, answer: Result[ValueT, Failure]
    ) -> Result[ValueT, Failure]:
        if isinstance(answer, Ok) and (
            (address, self._address) in self._network.blocked_links
        ):
            return Err(
                may_have_run(
                    FailureCode.TIMEOUT, f"peer {address} did not respond"
                )
            )
        return answer
