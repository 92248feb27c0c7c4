from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from result import Err

from magnoliapitch.ledger.mirror import StreamMirror
from magnoliapitch.ledger.stream import KeyedRecord
from magnoliapitch.verdict import FailureCode
from magnoliapitch.verdict import may_have_run
from magnoliapitch.verdict import not_run
from tests.ledger.memory_streams import PAGE_RECORD_COUNT


if TYPE_CHECKING:
    import pytest

    from tests.ledger.memory_streams import MemoryStreams


def put(streams: MemoryStreams, key: str, value: bytes) -> None:
    streams.append("s", [KeyedRecord(key, value)])


def changed(mirror: StreamMirror) -> set[str]:
    return mirror.refresh().unwrap()


def test_refresh_loads_every_page_then_only_new_records(
    streams: MemoryStreams,
) -> None:
    for number in range(8):
        put(streams, f"k{number}", b"1")
    mirror = StreamMirror(streams, "s")
    assert len(changed(mirror)) == 8
    put(streams, "k3", b"2")
    assert changed(mirror) == {"k3"}
    assert mirror.values_by_key["k3"] == b"2"
    assert changed(mirror) == set()


def test_refresh_reloads_after_history_expired(
    streams: MemoryStreams,
) -> None:
    put(streams, "kept", b"1")
    put(streams, "dropped", b"1")
    mirror = StreamMirror(streams, "s")
    changed(mirror)
    put(streams, "dropped", b"")
    put(streams, "new", b"1")
    streams.expire("s")
    assert changed(mirror) == {"dropped", "new"}
    assert set(mirror.values_by_key) == {"kept", "new"}


def test_refresh_keeps_values_during_a_store_outage(
    streams: MemoryStreams,
) -> None:
    put(streams, "k", b"1")
    mirror = StreamMirror(streams, "s")
    changed(mirror)
    streams.outage = not_run(FailureCode.UNAVAILABLE, "the store is down")
    assert isinstance(mirror.refresh(), Err)
    assert mirror.values_by_key == {"k": b"1"}


def test_an_older_record_never_replaces_a_newer_one(
    streams: MemoryStreams,
) -> None:
    put(streams, "k", b"old")
    put(streams, "k", b"new")
    mirror = StreamMirror(streams, "s")
    changed(mirror)
    mirror.skip_to(0)
    assert changed(mirror) == set()
    assert mirror.values_by_key["k"] == b"new"


# Incident DRAIN: a read that returned a part was taken for the whole.
def test_refresh_reads_to_the_end_what_one_read_does_not_return(
    streams: MemoryStreams,
) -> None:
    streams.max_read_records = 4
    mirror = StreamMirror(streams, "s")
    changed(mirror)
    for number in range(30):
        put(streams, f"k{number % 10}", str(number).encode())
    assert len(changed(mirror)) == 10
    assert mirror.values_by_key["k9"] == b"29"


def test_keys_read_before_a_failure_are_returned_by_the_next_refresh(
    streams: MemoryStreams,
) -> None:
    streams.max_read_records = 2
    mirror = StreamMirror(streams, "s")
    changed(mirror)
    for number in range(6):
        put(streams, f"k{number}", b"1")
    streams.reads_until_outage = 2
    assert isinstance(mirror.refresh(), Err)
    streams.reads_until_outage = None
    assert changed(mirror) == {f"k{number}" for number in range(6)}


# Under a slow store, a new leader whose last page was late began anew with the
# first one.
def test_a_load_goes_on_after_the_pages_that_were_read(
    streams: MemoryStreams, monkeypatch: pytest.MonkeyPatch
) -> None:
    for number in range(2 * PAGE_RECORD_COUNT):
        put(streams, f"k{number}", b"1")
    newest = streams.newest
    after_keys: list[str] = []

    def answer_every_other(stream: str, after_key: str, _: int) -> Any:
        after_keys.append(after_key)
        if len(after_keys) % 2 == 0:
            return Err(may_have_run(FailureCode.TIMEOUT, "no answer"))
        return newest(stream, after_key)

    monkeypatch.setattr(streams, "newest", answer_every_other)
    mirror = StreamMirror(streams, "s")
    assert mirror.refresh().is_err()
    put(streams, "k0", b"2")
    assert len(changed(mirror)) == 2 * PAGE_RECORD_COUNT
    assert after_keys == ["", "k2", "k2"]
    assert changed(mirror) == {"k0"}


def test_an_appended_record_is_known_before_it_is_read(
    streams: MemoryStreams,
) -> None:
    put(streams, "a", b"1")
    mirror = StreamMirror(streams, "s")
    changed(mirror)
    put(streams, "b", b"1")
    put(streams, "c", b"1")
    assert mirror.add_appended([KeyedRecord("c", b"1")], 2)
    assert mirror.take_changes().value_by_key == {"c": b"1"}
    assert mirror.end == 1
    assert changed(mirror) == {"b"}
    assert mirror.end == 3
    assert not mirror.add_appended([KeyedRecord("c", b"1")], 2)


def test_an_appended_record_outlasts_the_reading_of_older_ones(
    streams: MemoryStreams,
) -> None:
    put(streams, "a", b"1")
    mirror = StreamMirror(streams, "s")
    changed(mirror)
    put(streams, "a", b"")
    put(streams, "a", b"2")
    mirror.add_appended([KeyedRecord("a", b"2")], 2)
    assert changed(mirror) == {"a"}
    assert mirror.values_by_key == {"a": b"2"}


def test_an_appended_deletion_waits_until_it_is_read(
    streams: MemoryStreams,
) -> None:
    put(streams, "a", b"1")
    mirror = StreamMirror(streams, "s")
    changed(mirror)
    put(streams, "a", b"2")
    put(streams, "a", b"")
    assert not mirror.add_appended([KeyedRecord("a", b"")], 2)
    assert changed(mirror) == {"a"}
    assert mirror.values_by_key == {}


def test_nothing_is_added_before_the_first_read(
    streams: MemoryStreams,
) -> None:
    put(streams, "a", b"1")
    mirror = StreamMirror(streams, "s")
    assert not mirror.add_appended([KeyedRecord("a", b"1")], 0)
    assert changed(mirror) == {"a"}
