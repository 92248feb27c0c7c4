from __future__ import annotations

from typing import Any

import orjson
import pytest

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from magnoliapitch.catalogue.entry import CatalogueEntry
from magnoliapitch.catalogue.entry import WorkClass
from magnoliapitch.journal import ClusterState
from magnoliapitch.journal import apply_record
from magnoliapitch.journal import decode_record
from magnoliapitch.journal import encode_record
from magnoliapitch.journal.exceptions import DamagedRecordError
from magnoliapitch.journal.log import LogRecord
from magnoliapitch.journal.record import CataloguePut
from magnoliapitch.journal.record import adapters_by_kind
from magnoliapitch.journal.record import kinds_by_type
from magnoliapitch.journal.snapshot import load_snapshot
from magnoliapitch.journal.snapshot import state_digest
from magnoliapitch.journal.snapshot import take_snapshot


NAMES = sorted(
    {
        field
        for kind in kinds_by_type
        for field in kind._fields  # type: ignore[attr-defined]
    }
)
SCALARS = (
    st.none()
    | st.booleans()
    | st.integers(-(2**63), 2**64 - 1)
    | st.floats()
    | st.text(max_size=8)
    | st.sampled_from(["9" * 40, "a", "rack", "finished", "batch"])
)
VALUES = st.recursive(
    SCALARS,
    lambda inner: (
        st.lists(inner, max_size=5)
        | st.dictionaries(
            st.sampled_from([*NAMES, "name", "owner", "job_id"]), inner
        )
    ),
    max_leaves=12,
)
VALID: list[dict[str, Any]] = [
    {"kind": "catalogue.put", "entry": {"name": "a", "owner": "a",
     "work_class": "batch"}, "expected_version": 0},
    {"kind": "catalogue.delete", "name": "a", "expected_version": 1},
    {"kind": "entry.join", "instance_id": "a", "incarnation": "a",
     "zone": "a", "peer_address": "a"},
    {"kind": "entry.presence", "incarnation": "a"},
    {"kind": "entry.leave", "incarnation": "a"},
    {"kind": "unit.claim", "unit": "rack", "zone": "a", "incarnation": "a",
     "previous_epoch": 0},
    {"kind": "unit.release", "unit": "rack", "incarnation": "a", "epoch": 1},
    {"kind": "job.submit", "unit": "rack", "job": {"job_id": "a",
     "entry": "a", "tasks": 2, "resources": {}}},
    {"kind": "job.move", "job_id": "a", "from_unit": "rack",
     "to_unit": "a", "epoch": 1},
    {"kind": "job.cancel", "job_id": "a"},
    {"kind": "task.end", "job_id": "a", "task": 0, "attempt": 0,
     "outcome": "finished"},
    {"kind": "request.intent", "key": "a", "entry": "a", "incarnation": "a",
     "digest": "a"},
    {"kind": "snapshot.part", "offset": 1, "digest": "a", "part": 0,
     "parts": 2, "data": "a"},
]  # fmt: skip
ENTRIES = st.builds(
    lambda entry, fields: entry | fields,
    st.sampled_from(VALID),
    st.dictionaries(st.sampled_from(NAMES), SCALARS, max_size=1),
)
RECORDS = st.fixed_dictionaries(
    {"v": st.just(1), "entries": st.lists(ENTRIES | VALUES, max_size=6)},
    optional={"writer": SCALARS, "seq": SCALARS, "base": SCALARS},
)


def dump(value: Any) -> bytes:
    return orjson.dumps(value, option=orjson.OPT_NON_STR_KEYS)


def test_valid_entries_cover_every_kind() -> None:
    assert {entry["kind"] for entry in VALID} == set(adapters_by_kind)


@settings(derandomize=True, max_examples=400, deadline=None)
@given(st.binary(max_size=200) | VALUES.map(dump))
def test_decode_record_raises_only_its_own_error(data: bytes) -> None:
    try:
        decode_record(data)
    except DamagedRecordError:
        return


@settings(derandomize=True, max_examples=200, deadline=None)
@given(st.lists(RECORDS.map(dump), max_size=6))
def test_fold_is_total_and_its_result_can_be_stored(
    records: list[bytes],
) -> None:
    state = ClusterState()
    for offset, data in enumerate(records):
        apply_record(state, LogRecord(offset, data))
    assert state.next_offset == len(records)
    loaded = load_snapshot(take_snapshot(state))
    assert loaded is not None
    assert state_digest(loaded) == state_digest(state)


@pytest.mark.parametrize(
    "data",
    [
        b'{"v": 1, "seq": 1e400, "entries": []}',
        b'{"v": 1, "seq": NaN, "entries": []}',
        b'{"v": 1, "seq": ' + b"9" * 400 + b', "entries": []}',
        b'{"v": true, "entries": []}',
        b'{"v": 2, "entries": []}',
        b'{"v": 1, "writer": 7, "entries": []}',
        b'{"v": 1, "writer": "\xff", "entries": []}',
        b'{"v": 1, "entries": {}}',
        b"[" * 100_000 + b"]" * 100_000,
        b'{"v": 1, "entries": ["\\ud800"]}',
    ],
)
def test_decode_record_rejects_malformed_data(data: bytes) -> None:
    with pytest.raises(DamagedRecordError):
        decode_record(data)


def test_codec_names_every_field_of_nested_values() -> None:
    entry = CatalogueEntry("seat-check", "clubs", WorkClass.URGENT)
    change = CataloguePut(entry, 0)
    data = encode_record((change,), "writer", 1)
    (fields,) = orjson.loads(data)["entries"]
    assert fields["entry"]["limits"]["share"] == 1
    assert decode_record(data).entries == (change,)
