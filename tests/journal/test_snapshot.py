from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from magnoliapitch.catalogue.entry import CatalogueEntry
from magnoliapitch.catalogue.entry import WorkClass
from magnoliapitch.job.spec import JobSpec
from magnoliapitch.journal import Journal
from magnoliapitch.journal import encode_record
from magnoliapitch.journal import retention
from magnoliapitch.journal.record import CatalogueDelete
from magnoliapitch.journal.record import CataloguePut
from magnoliapitch.journal.record import JobCancel
from magnoliapitch.journal.record import JobSubmit
from magnoliapitch.journal.record import MemberJoin
from magnoliapitch.journal.record import MemberLeave
from magnoliapitch.journal.record import RequestIntent
from magnoliapitch.journal.record import SnapshotPart
from magnoliapitch.journal.snapshot import PART_MAX_BYTES
from magnoliapitch.journal.snapshot import load_snapshot
from magnoliapitch.journal.snapshot import split_snapshot
from magnoliapitch.journal.snapshot import state_digest
from magnoliapitch.journal.snapshot import take_snapshot
from magnoliapitch.journal.snapshot_writer import SnapshotWriter
from magnoliapitch.journal.state import ClusterState
from magnoliapitch.peer.message import StateSnapshot
from magnoliapitch.resource import NO_RESOURCES


if TYPE_CHECKING:
    from magnoliapitch.clock import ManualClock
    from magnoliapitch.journal.record import RecordEntry
    from magnoliapitch.standin import StandinLog


def put(name: str, expected_version: int = 0) -> CataloguePut:
    entry = CatalogueEntry(name, "clubs", WorkClass.BATCH)
    return CataloguePut(entry, expected_version)


def append(log: StandinLog, *entries: RecordEntry) -> int:
    return log.append(encode_record(entries)).unwrap()


def digest_of(journal: Journal) -> str:
    with journal.locked_state() as state:
        return state_digest(state)


def joined_journal(log: StandinLog, clock: ManualClock, name: str) -> Journal:
    journal = Journal(log, name, clock)
    journal.enqueue(MemberJoin(name, name, "zone", "address"))
    journal.append_step()
    journal.follow_step()
    return journal


def large_state() -> ClusterState:
    state = ClusterState(next_offset=7)
    for number in range(20_000):
        digest = f"{number * 7919 % 104729:032x}{number:x}"
        state.intents_by_key[digest] = RequestIntent(digest, "a", "b", digest)
    return state


def test_snapshot_parts_replace_records_that_the_log_dropped(
    log: StandinLog, clock: ManualClock
) -> None:
    journal = joined_journal(log, clock, "a")
    append(log, put("x"))
    journal.follow_step()
    for part in split_snapshot(journal.snapshot()):
        append(log, part)
    append(log, put("y"))
    log.expire(2)
    cold_journal = Journal(log, "b", clock)
    cold_journal.follow_step()
    assert not cold_journal.is_complete
    cold_journal.follow_step()
    journal.follow_step()
    assert cold_journal.is_complete
    assert cold_journal.next_offset == journal.next_offset == 4
    assert digest_of(cold_journal) == digest_of(journal)


@pytest.mark.parametrize("damage", ["digest", "data", "missing", "future"])
def test_cold_start_never_serves_from_a_damaged_snapshot(
    log: StandinLog, clock: ManualClock, damage: str
) -> None:
    journal = joined_journal(log, clock, "a")
    (part,) = split_snapshot(journal.snapshot())
    damaged = {
        "digest": part._replace(digest="0"),
        "data": part._replace(data=part.data[:-8] + "AAAAAAA="),
        "missing": part._replace(parts=2),
        "future": part._replace(offset=3),
    }
    append(log, damaged[damage])
    append(log, put("x"))
    log.expire(1)
    cold_journal = Journal(log, "b", clock)
    for _ in range(3):
        cold_journal.follow_step()
    assert not cold_journal.is_complete
    assert cold_journal.next_offset == 0


def test_cold_start_skips_a_snapshot_older_than_the_oldest_record(
    log: StandinLog, clock: ManualClock
) -> None:
    journal = joined_journal(log, clock, "a")
    old = split_snapshot(journal.snapshot())
    append(log, put("x"))
    for part in old:
        append(log, part)
    log.expire(2)
    cold_journal = Journal(log, "b", clock)
    cold_journal.follow_step()
    assert not cold_journal.is_complete
    assert cold_journal.next_offset == 0


def test_cold_start_falls_back_to_the_older_valid_snapshot(
    log: StandinLog, clock: ManualClock
) -> None:
    journal = joined_journal(log, clock, "a")
    for part in split_snapshot(journal.snapshot()):
        append(log, part)
    newer = SnapshotPart(2, "0", 0, 1, "AAAA")
    append(log, newer)
    log.expire(1)
    cold_journal = Journal(log, "b", clock)
    cold_journal.follow_step()
    cold_journal.follow_step()
    assert cold_journal.is_complete
    assert cold_journal.next_offset == 3


def test_large_snapshot_is_split_into_bounded_parts(
    log: StandinLog, clock: ManualClock
) -> None:
    state = large_state()
    snapshot = take_snapshot(state)
    parts = split_snapshot(snapshot)
    assert len(parts) > 2
    assert max(len(part.data) for part in parts) <= PART_MAX_BYTES * 4 // 3
    for _ in range(7):
        log.append(b"")
    for part in parts:
        append(log, part)
    log.expire(7)
    cold_journal = Journal(log, "b", clock)
    cold_journal.follow_step()
    cold_journal.follow_step()
    assert cold_journal.next_offset == 7 + len(parts)
    with cold_journal.locked_state() as loaded:
        assert loaded.intents_by_key == state.intents_by_key
        assert loaded.snapshot_offset == 7


def test_load_snapshot_rejects_a_wrong_offset_and_invalid_bytes() -> None:
    snapshot = take_snapshot(ClusterState())
    assert load_snapshot(snapshot._replace(offset=1)) is None
    assert load_snapshot(StateSnapshot(0, "", b"")) is None
    assert load_snapshot(snapshot) == ClusterState()


def test_snapshots_are_written_before_the_log_drops_records(
    log: StandinLog, clock: ManualClock
) -> None:
    journals = [joined_journal(log, clock, name) for name in "abc"]
    writers = [
        SnapshotWriter(item, snapshot_interval_records=50) for item in journals
    ]
    retained_records = 40
    written_count = 0
    for number in range(400):
        append(log, put(f"n{number}"))
        head = log.read(0, 1).unwrap().head
        log.expire(head - retained_records)
        clock.advance(1_000)
        for journal, writer in zip(journals, writers, strict=True):
            journal.follow_step()
            writer.step()
            written_count += journal.append_step() == 0
            journal.follow_step()
    cold_journal = Journal(log, "z", clock)
    for _ in range(3):
        cold_journal.follow_step()
    assert cold_journal.is_complete
    assert digest_of(cold_journal) == digest_of(journals[0])
    assert 400 // 50 <= written_count <= 3 * 400 // (retained_records // 2)


def test_expiry_depends_on_offsets_only(
    monkeypatch: pytest.MonkeyPatch, log: StandinLog, clock: ManualClock
) -> None:
    for name in ("WRITER", "MEMBER", "JOB", "INTENT"):
        monkeypatch.setattr(retention, f"{name}_RETENTION_RECORDS", 20)
    monkeypatch.setattr(retention, "EXPIRY_INTERVAL_RECORDS", 10)
    monkeypatch.setattr(retention, "MAX_DELETED_NAMES", 1)
    joined_journal(log, clock, "gone")
    append(log, MemberLeave("gone"))
    append(log, JobSubmit(JobSpec("j", "e", 1, NO_RESOURCES), "rack"))
    append(log, JobSubmit(JobSpec("k", "e", 1, NO_RESOURCES), "rack"))
    append(log, JobCancel("j"))
    append(log, RequestIntent("key", "e", "gone", ""))
    for name in ("x", "y"):
        append(log, put(name), CatalogueDelete(name, 1))
    for _ in range(50):
        append(log, JobCancel("none"))
    journal = Journal(log, "b", clock)
    journal.follow_step()
    with journal.locked_state() as state:
        assert state.marks_by_writer == {}
        assert state.members_by_incarnation == {}
        assert list(state.jobs_by_id) == ["k"]
        assert state.intents_by_key == {}
        assert state.intent_offset_by_key == {}
        assert list(state.last_version_by_name) == ["y"]
    append(log, put("x"))
    journal.follow_step()
    with journal.locked_state() as state:
        assert state.catalogue_by_name["x"].version == 3


def test_duplicate_whose_writer_mark_has_expired_is_rejected(
    monkeypatch: pytest.MonkeyPatch, log: StandinLog, clock: ManualClock
) -> None:
    for module in ("retention", "state_machine"):
        name = f"magnoliapitch.journal.{module}.WRITER_RETENTION_RECORDS"
        monkeypatch.setattr(name, 20)
    monkeypatch.setattr(retention, "EXPIRY_INTERVAL_RECORDS", 10)
    submit = JobSubmit(JobSpec("j", "e", 1, NO_RESOURCES), "rack")
    data = encode_record((submit,), "w", 1, base=0)
    log.append(data)
    journal = Journal(log, "b", clock)
    for _ in range(40):
        append(log, JobCancel("none"))
    journal.follow_step()
    with journal.locked_state() as state:
        assert "w" not in state.marks_by_writer
        del state.jobs_by_id["j"]
    log.append(data)
    journal.follow_step()
    with journal.locked_state() as state:
        assert state.jobs_by_id == {}
