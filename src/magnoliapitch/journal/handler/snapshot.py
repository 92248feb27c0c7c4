"""Handler of snapshot parts.

The state only records which snapshots are complete, not their contents.
"""

from __future__ import annotations

from magnoliapitch.journal.record import SnapshotPart
from magnoliapitch.journal.state import ClusterState
from magnoliapitch.journal.state import SnapshotProgress
from magnoliapitch.journal.state_machine import APPLIED
from magnoliapitch.journal.state_machine import RecordEntryOutcome
from magnoliapitch.journal.state_machine import handles
from magnoliapitch.journal.state_machine import rejected


MAX_SNAPSHOTS_IN_PROGRESS = 16


@handles(SnapshotPart)
def add_part(
    state: ClusterState, offset: int, part: SnapshotPart
) -> RecordEntryOutcome:
    """Record a part of a snapshot; parts must arrive in order.

    The last part makes the snapshot the newest complete one.
    """
    if not state.snapshot_offset < part.offset <= offset:
        return rejected(
            f"the snapshot at offset {part.offset} is not newer than the "
            "newest complete one, or is later than its own record"
        )
    key = f"{part.offset}:{part.digest}"
    current = state.progress_by_snapshot.get(key)
    if current is None:
        if len(state.progress_by_snapshot) >= MAX_SNAPSHOTS_IN_PROGRESS:
            return rejected(
                f"{MAX_SNAPSHOTS_IN_PROGRESS} snapshots are incomplete, which "
                "is the maximum"
            )
        current = SnapshotProgress(
            part.offset, part.digest, 0, part.parts, offset
        )
    if (part.part, part.parts) != (current.next_part, current.parts):
        return rejected(
            f"found part index {part.part} of {part.parts} parts, but the "
            f"next one must be {current.next_part} of {current.parts}"
        )
    if part.part + 1 >= part.parts:
        state.progress_by_snapshot.pop(key, None)
        state.snapshot_offset = part.offset
        return APPLIED
    state.progress_by_snapshot[key] = current._replace(
        next_part=part.part + 1, record_offset=offset
    )
    return APPLIED
