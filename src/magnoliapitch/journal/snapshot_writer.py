"""Appends snapshots before the log drops the records that they cover."""

from __future__ import annotations

from typing import TYPE_CHECKING

import xxhash

from magnoliapitch.event import log_event
from magnoliapitch.journal.snapshot import split_snapshot


if TYPE_CHECKING:
    from magnoliapitch.journal.journal import Journal
    from magnoliapitch.journal.pending_record_entry import PendingRecordEntry
    from magnoliapitch.journal.state import ClusterState


SNAPSHOT_INTERVAL_RECORDS = 20_000
CHECK_INTERVAL_MS = 1_000
# The member of rank N writes a snapshot from the urgency 1 + N * the first
# value on, but at the latest from 1 + the second value on.
EXTRA_URGENCY_PER_RANK = 0.1
MAX_EXTRA_URGENCY = 0.5


class SnapshotWriter:
    """Appends snapshots of the state to the log.

    Usually only one instance writes each snapshot. The live members are
    ranked by a hash of their incarnation and the previous snapshot's
    offset, and each rank waits a little longer than the one before it.

    :param snapshot_interval_records: number of records after which a new
        snapshot is due.
    """

    def __init__(
        self,
        journal: Journal,
        snapshot_interval_records: int = SNAPSHOT_INTERVAL_RECORDS,
    ) -> None:
        self._journal = journal
        self._snapshot_interval_records = snapshot_interval_records
        self._parts: tuple[PendingRecordEntry, ...] = ()

    def step(self) -> int:
        """Append a snapshot if one is due and it is this instance's turn.

        :return: milliseconds to wait before the next step.
        """
        if not self._journal.is_complete or self._is_writing():
            return CHECK_INTERVAL_MS
        with self._journal.locked_state() as state:
            urgency = self._urgency(state)
            rank = _rank(state, self._journal.incarnation)
        if rank is not None and urgency >= 1 + min(
            rank * EXTRA_URGENCY_PER_RANK, MAX_EXTRA_URGENCY
        ):
            self._write()
        return CHECK_INTERVAL_MS

    def _is_writing(self) -> bool:
        return any(part.outcome is None for part in self._parts)

    def _urgency(self, state: ClusterState) -> float:
        """Return how urgent a snapshot is; it is due from 1 on.

        The urgency grows with the records since the last snapshot. It is 1
        after ``snapshot_interval_records``, or once these records are
        half of those that the log retains, whichever comes first.
        """
        lag = state.next_offset - state.snapshot_offset
        urgency = lag / self._snapshot_interval_records
        follower = self._journal.follower
        if follower.oldest > 0:
            retained = max(follower.head - follower.oldest, 1)
            urgency = max(urgency, 2 * lag / retained)
        return urgency

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
    """Return the rank of a live member, from 0, ``None`` for any other."""
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
