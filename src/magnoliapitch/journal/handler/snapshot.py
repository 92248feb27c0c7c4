"""Applies parts of snapshots: only how far the newest one reaches."""

from __future__ import annotations

from magnoliapitch.journal.state_machine import APPLIED
from magnoliapitch.journal.state_machine import EntryOutcome
from magnoliapitch.journal.state_machine import handles
from magnoliapitch.journal.state_machine import rejected
from magnoliapitch.journal.record import SnapshotPart
from magnoliapitch.journal.state import ClusterState
from magnoliapitch.journal.state import SnapshotProgress


PROGRESS_MAX = 16


@handles(SnapshotPart)
def add_part(
    state: ClusterState, offset: int, part: SnapshotPart
) -> EntryOutcome:
    """Count the parts of a snapshot, which follow each other in order."""
    if not state.snapshot_offset < part.offset <= offset:
        return rejected(f"snapshot of offset {part.offset} is not needed")
    key = f"{part.offset}:{part.digest}"
    current = state.progress_by_snapshot.get(key)
    if current is None:
        if len(state.progress_by_snapshot) >= PROGRESS_MAX:
            return rejected("too many snapshots are being written")
        current = SnapshotProgress(
            part.offset, part.digest, 0, part.parts, offset
        )
    if (part.part, part.parts) != (current.next_part, current.parts):
        return rejected(f"expected part {current.next_part}")
    if part.part + 1 >= part.parts:
        state.progress_by_snapshot.pop(key, None)
        state.snapshot_offset = part.offset
        return APPLIED
    state.progress_by_snapshot[key] = current._replace(
        next_part=part.part + 1, record_offset=offset
    )
    return APPLIED
