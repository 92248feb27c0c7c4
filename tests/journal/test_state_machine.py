from __future__ import annotations

from magnoliapitch.catalogue.entry import CatalogueEntry
from magnoliapitch.catalogue.entry import WorkClass
from magnoliapitch.clock import ManualClock
from magnoliapitch.journal import Journal
from magnoliapitch.journal import encode_record
from magnoliapitch.journal.record import CatalogueDelete
from magnoliapitch.journal.record import CataloguePut
from magnoliapitch.standin import StandinLog


def entry_of(owner: str) -> CatalogueEntry:
    return CatalogueEntry("seat-check", owner, WorkClass.URGENT)


def test_first_of_two_competing_changes_is_applied() -> None:
    log = StandinLog()
    first = Journal(log, "a", ManualClock())
    second = Journal(log, "b", ManualClock())
    pending = [
        first.enqueue(CataloguePut(entry_of("x"), 0)),
        second.enqueue(CataloguePut(entry_of("y"), 0)),
    ]
    for journal in (first, second):
        journal.append_step()
    for journal in (first, second):
        journal.follow_step()
    applied = [item.wait(0).unwrap().applied for item in pending]
    assert applied == [True, False]


def test_record_that_is_appended_twice_is_applied_once() -> None:
    log = StandinLog()
    journal = Journal(log, "a", ManualClock())
    log.responses_to_lose = 1
    pending = journal.enqueue(CataloguePut(entry_of("x"), 0))
    journal.append_step()
    journal.append_step()
    journal.follow_step()
    assert pending.wait(0).unwrap().applied
    with journal.locked_state() as state:
        assert state.next_offset == 2
        assert state.catalogue_by_name["seat-check"].version == 1


def test_malformed_and_unknown_records_are_skipped_and_counted() -> None:
    log = StandinLog()
    log.append(b"\x00 not json")
    log.append(b'{"v": 1, "entries": [{"kind": "of-tomorrow"}]}')
    journal = Journal(log, "a", ManualClock())
    journal.follow_step()
    with journal.locked_state() as state:
        assert state.next_offset == 2
        assert state.skipped_records == 2
        assert state.catalogue_by_name == {}


def test_duplicate_record_does_not_restore_a_deleted_entry() -> None:
    log = StandinLog()
    journal = Journal(log, "a", ManualClock())
    log.responses_to_lose = 1
    journal.enqueue(CataloguePut(entry_of("x"), 0))
    journal.append_step()
    log.append(encode_record((CatalogueDelete("seat-check", 1),)))
    journal.append_step()
    journal.follow_step()
    with journal.locked_state() as state:
        assert state.next_offset == 3
        assert state.catalogue_by_name == {}
        assert state.last_version_by_name == {"seat-check": 2}
