from __future__ import annotations

import pytest

from magnoliapitch.job.spec import JobSpec
from magnoliapitch.journal.codec import encode_record
from magnoliapitch.journal.log import LogRecord
from magnoliapitch.journal.record import JobMove
from magnoliapitch.journal.record import JobSubmit
from magnoliapitch.journal.record import MemberJoin
from magnoliapitch.journal.record import MemberPresence
from magnoliapitch.journal.record import MoveReason
from magnoliapitch.journal.record import RecordEntry
from magnoliapitch.journal.record import UnitClaim
from magnoliapitch.journal.state import ClusterState
from magnoliapitch.journal.state_machine import apply_record
from magnoliapitch.resource import Resources


HISTORY: tuple[RecordEntry, ...] = (
    MemberJoin("entry-1", "a", "norte", "10.0.0.1:1"),
    UnitClaim("rack", "norte", "a", 0),
    JobSubmit(JobSpec("job", "roster", 1, Resources(1_000)), "rack"),
    MemberPresence("a"),
)


@pytest.mark.parametrize(
    ("reason", "seen_offset", "unit"),
    [
        (MoveReason.ZONE_CUT, 2, "rack"),
        (MoveReason.ZONE_CUT, 3, "other"),
        (MoveReason.BALANCE, -1, "other"),
    ],
)
def test_job_move_out_of_a_cut_zone_is_rejected_after_a_newer_heartbeat(
    reason: MoveReason, seen_offset: int, unit: str
) -> None:
    state = ClusterState()
    move = JobMove("job", "rack", "other", 1, reason, seen_offset)
    for offset, entry in enumerate((*HISTORY, move)):
        apply_record(state, LogRecord(offset, encode_record((entry,))))
    assert state.jobs_by_id["job"].unit == unit
