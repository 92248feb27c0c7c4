"""Publishes snapshots before the records they replace leave the log."""

from __future__ import annotations

from typing import TYPE_CHECKING

import xxhash

from magnoliapitch.event import log_event
from magnoliapitch.journal.snapshot import split_snapshot


if TYPE_CHECKING:
    from magnoliapitch.journal.journal import Journal
    from magnoliapitch.journal.pending_entry import Pending
    from magnoliapitch.journal.state import ClusterState


SNAPSHOT_RECORDS = 20_000
CHECK_INTERVAL_MS = 1_000
TURN_SHARE = 0.1
TURN_SHARE_MAX = 0.5


class SnapshotWriter:
    """Lets usually one instance write each snapshot.

    The members are ranked by a hash of the previous snapshot's offset;
    each rank waits for a little more need than the one before it.
    """

    def __init__(
        self, journal: Journal, snapshot_records: int = SNAPSHOT_RECORDS
    ) -> None:
        self._journal = journal
        self._snapshot_records = snapshot_records
        self._parts: tuple[Pending, ...] = ()

    def step(self) -> int:
        """Write a snapshot if it is this instance's turn.

        :return: milliseconds to wait before the next step.
        """
        if not self._journal.is_complete or self._is_writing():
            return CHECK_INTERVAL_MS
        with self._journal.reading() as state:
            need = self._need(state)
            rank = _rank(state, self._journal.incarnation)
        if rank is not None and need >= 1 + min(
            rank * TURN_SHARE, TURN_SHARE_MAX
        ):
            self._write()
        return CHECK_INTERVAL_MS

    def _is_writing(self) -> bool:
        return any(part.outcome is None for part in self._parts)

    def _need(self, state: ClusterState) -> float:
        """Return how much a snapshot is needed; from 1 on it is due."""
        lag = state.next_offset - state.snapshot_offset
        need = lag / self._snapshot_records
        follower = self._journal.follower
        if follower.oldest > 0:
            retained = max(follower.head - follower.oldest, 1)
            need = max(need, 2 * lag / retained)
        return need

    def _write(self) -> None:
        snapshot = self._journal.snapshot()
        parts = split_snapshot(snapshot)
        log_event(
            "snapshot-written",
            offset=snapshot.offset,
            size_bytes=len(snapshot.state),
            parts=len(parts),
        )
        self._parts = tuple(map(self._journal.enqueue, parts))


def _rank(state: ClusterState, incarnation: str) -> int | None:
    live = [
        name
        for name, member in state.members_by_incarnation.items()
        if not member.left
    ]
    if incarnation not in live:
        return None
    salt = str(state.snapshot_offset)
    live.sort(
        key=lambda name: xxhash.xxh3_64_intdigest(f"{salt}:{name}".encode())
    )
    return live.index(incarnation)
