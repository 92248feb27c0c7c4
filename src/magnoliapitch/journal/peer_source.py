"""Interface to the peers that replace a log that cannot be read."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Protocol


if TYPE_CHECKING:
    from result import Result

    from magnoliapitch.peer.message import LogPage
    from magnoliapitch.peer.message import StateSnapshot
    from magnoliapitch.verdict import Failure


class PeerRecordSource(Protocol):
    """Source of records and snapshots from other entry instances."""

    def read_log(
        self, from_offset: int, limit: int
    ) -> Result[LogPage, Failure]:
        """Return records from a peer that has applied more.

        :param from_offset: offset of the first record to return.
        :param limit: maximum number of records to return.
        """

    def snapshot(self, min_offset: int) -> Result[StateSnapshot, Failure]:
        """Return a snapshot of at least the given offset."""

    def highest_known_offset(self) -> int | None:
        """Return the highest offset known to any reachable peer.

        A state that has reached it may be served.

        :return: ``None`` if no reachable peer has a complete history.
        """
