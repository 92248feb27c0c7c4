"""Peer calls within one process, with cuts between instances."""

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
    """Connects peer handlers by address.

    :ivar cuts: pairs ``(from, to)`` of addresses; what the first sends to
        the second is lost, also its answers.
    """

    def __init__(self) -> None:
        self.cuts: set[tuple[str, str]] = set()
        self.handlers_by_address: dict[str, PeerHandler] = {}

    def link(self, address: str) -> StandinLink:
        """Return the link of the instance at an address."""
        return StandinLink(self, address)

    def reach(self, source: str, target: str) -> Result[PeerHandler, Failure]:
        """Return the handler at ``target`` unless it is cut off."""
        handler = self.handlers_by_address.get(target)
        if handler is None or (source, target) in self.cuts:
            return Err(not_run(FailureCode.UNAVAILABLE, "unreachable"))
        return Ok(handler)


class StandinLink:
    """Calls handlers of the network directly."""

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
        reached = self._network.reach(self._address, address)
        answer = reached.map(lambda handler: handler.heartbeat(beat))
        return self._unless_lost(address, answer)

    def heartbeat_all(
        self,
        beats_by_address: Mapping[str, Heartbeat],
        timeout_ms: int,
        on_answer: Callable[[str, Heartbeat], None],
    ) -> None:
        """Exchange heartbeats with many peers, one after another."""
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
        """Let a peer execute a request."""
        reached = self._network.reach(self._address, address)
        answer = reached.and_then(lambda handler: handler.forward(request))
        return self._unless_lost(address, answer)

    def read_log(
        self,
        address: str,
        from_offset: int,
        limit: int,
        timeout_ms: int,  # noqa: ARG002
    ) -> Result[LogPage, Failure]:
        """Fetch log records through a peer."""
        reached = self._network.reach(self._address, address)
        page = reached.map(lambda peer: peer.read_log(from_offset, limit))
        return self._unless_lost(address, page)

    def snapshot(
        self,
        address: str,
        timeout_ms: int,  # noqa: ARG002
    ) -> Result[StateSnapshot, Failure]:
        """Fetch a peer's encoded fold."""
        reached = self._network.reach(self._address, address)
        return self._unless_lost(
            address, reached.map(lambda peer: peer.snapshot())
        )

    def _unless_lost(
        self, address: str, answer: Result[ValueT, Failure]
    ) -> Result[ValueT, Failure]:
        if isinstance(answer, Ok) and (
            (address, self._address) in self._network.cuts
        ):
            return Err(may_have_run(FailureCode.TIMEOUT, "no answer"))
        return answer
