"""Reads the log through peers while it cannot be read directly."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import TypeVar

from result import Err
from result import Result

from magnoliapitch.verdict import Failure
from magnoliapitch.verdict import FailureCode
from magnoliapitch.verdict import not_run


if TYPE_CHECKING:
    from collections.abc import Callable

    from magnoliapitch.membership.membership import Membership
    from magnoliapitch.membership.status import PeerStatus
    from magnoliapitch.peer.link import PeerLink
    from magnoliapitch.peer.message import LogPage
    from magnoliapitch.peer.message import StateSnapshot


AnswerT = TypeVar("AnswerT")

CALL_TIMEOUT_MS = 1_000
SNAPSHOT_TIMEOUT_MS = 10_000
MAX_PEERS_TRIED = 3
MIN_ROUNDS_BEFORE_SERVING = 2


class PeerLogSource:
    """Fetches log records and snapshots from peers that are ahead.

    Peers with the highest offset in their heartbeats are tried first.
    """

    def __init__(self, membership: Membership, link: PeerLink) -> None:
        self._membership = membership
        self._link = link

    def read_log(
        self, from_offset: int, limit: int
    ) -> Result[LogPage, Failure]:
        """Fetch records from a peer that has applied a given offset.

        :param from_offset: offset of the first record to return.
        :param limit: maximum number of records.
        """
        return self._call_peers_ahead(
            from_offset + 1,
            lambda peer: self._link.read_log(
                peer.join.peer_address, from_offset, limit, CALL_TIMEOUT_MS
            ),
        )

    def snapshot(self, min_offset: int) -> Result[StateSnapshot, Failure]:
        """Fetch a snapshot of the state from a peer.

        :param min_offset: lowest next offset that the peer must have.
        """
        return self._call_peers_ahead(
            min_offset,
            lambda peer: self._link.snapshot(
                peer.join.peer_address, SNAPSHOT_TIMEOUT_MS
            ),
        )

    def highest_known_offset(self) -> int | None:
        """Return the highest offset that any reachable peer knows of.

        The first peers to answer may name others that are further ahead,
        so the result is only known after some rounds of heartbeats.

        :return: None before these rounds, or while no reachable peer has
            the complete history.
        """
        if self._membership.completed_rounds < MIN_ROUNDS_BEFORE_SERVING:
            return None
        heartbeats = [
            heartbeat for _, heartbeat in self._membership.reachable()
        ]
        if not any(heartbeat.complete for heartbeat in heartbeats):
            return None
        return max(
            max(heartbeat.seen_offset, heartbeat.next_offset)
            for heartbeat in heartbeats
        )

    def _call_peers_ahead(
        self,
        min_offset: int,
        call: Callable[[PeerStatus], Result[AnswerT, Failure]],
    ) -> Result[AnswerT, Failure]:
        ahead = [
            peer
            for peer, heartbeat in self._membership.reachable()
            if heartbeat.complete and peer.next_offset >= min_offset
        ]
        ahead.sort(key=lambda peer: peer.next_offset, reverse=True)
        for peer in ahead[:MAX_PEERS_TRIED]:
            answer = call(peer)
            if not isinstance(answer, Err):
                return answer
        return Err(
            not_run(
                FailureCode.UNAVAILABLE,
                f"no peer with next offset {min_offset} or higher answered",
            )
        )
