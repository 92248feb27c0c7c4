"""Where records come from when the log cannot be read."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Protocol


if TYPE_CHECKING:
    from result import Result

    from magnoliapitch.peer.message import LogPage
    from magnoliapitch.peer.message import StateSnapshot
    from magnoliapitch.verdict import Failure


class RecordSource(Protocol):
    """The peers, as a replacement of the log."""

    def read_log(
        self, from_offset: int, limit: int
    ) -> Result[LogPage, Failure]:
        """Return records from a peer that is ahead of an offset."""

    def snapshot(self, min_offset: int) -> Result[StateSnapshot, Failure]:
        """Return a state of at least an offset."""

    def floor(self) -> int | None:
        """Return the highest offset that any reachable peer has heard of.

        :return: nothing while no peer with a complete history answers.
        """
