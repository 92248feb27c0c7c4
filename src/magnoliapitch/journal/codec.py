"""JSON form of log records.

A record is ``{"v": 1, "writer": W, "seq": N, "base": N, "entries": [...]}``;
each entry is an object with its ``kind`` and the fields of that kind.
Operators who append records themselves leave out ``writer``, ``seq`` and
``base``.
"""

from __future__ import annotations

from typing import Any

import orjson

from pydantic import ValidationError

from magnoliapitch.journal.exceptions import DamagedRecordError
from magnoliapitch.journal.record import Envelope
from magnoliapitch.journal.record import InvalidEntry
from magnoliapitch.journal.record import RecordEntry
from magnoliapitch.journal.record import UnknownEntry
from magnoliapitch.journal.record import adapters_by_kind
from magnoliapitch.journal.record import kinds_by_type
from magnoliapitch.json_value import to_json_value


RECORD_VERSION = 1


def encode_entry(entry: RecordEntry) -> bytes:
    """Encode one entry as it stands in a record."""
    kind = kinds_by_type[type(entry)]
    return orjson.dumps({"kind": kind, **to_json_value(entry)})


def encode_batch(
    entries: list[bytes], writer: str = "", seq: int = 0, base: int = 0
) -> bytes:
    """Join encoded entries to one log record."""
    record: dict[str, Any] = {"v": RECORD_VERSION}
    if writer:
        record |= {"writer": writer, "seq": seq, "base": base}
    record["entries"] = [orjson.Fragment(entry) for entry in entries]
    return orjson.dumps(record)


def encode_record(
    entries: tuple[RecordEntry, ...],
    writer: str = "",
    seq: int = 0,
    base: int = 0,
) -> bytes:
    """Encode entries as one log record."""
    return encode_batch(list(map(encode_entry, entries)), writer, seq, base)


def decode_record(data: bytes) -> Envelope:
    """Decode one log record.

    :raises DamagedRecordError: if the bytes are not an envelope.
    """
    try:
        record = orjson.loads(data)
    except orjson.JSONDecodeError as error:
        raise DamagedRecordError(str(error)) from error
    if not isinstance(record, dict) or not _is_version(record.get("v")):
        raise DamagedRecordError("not an object with v = 1")
    entries = record.get("entries")
    if not isinstance(entries, list):
        raise DamagedRecordError("entries is not a list")
    writer = record.get("writer", "")
    seq = record.get("seq", 0)
    base = record.get("base", 0)
    if not isinstance(writer, str):
        raise DamagedRecordError("writer is not a string")
    if type(seq) is not int or type(base) is not int:
        raise DamagedRecordError("seq or base is not an integer")
    return Envelope(tuple(map(_decode_entry, entries)), writer, seq, base)


def _is_version(value: object) -> bool:
    return type(value) is int and value == RECORD_VERSION


def _decode_entry(value: Any) -> RecordEntry | UnknownEntry | InvalidEntry:
    if not isinstance(value, dict) or not isinstance(value.get("kind"), str):
        return InvalidEntry("", "entry is not an object with a kind")
    fields = dict(value)
    kind = fields.pop("kind")
    adapter = adapters_by_kind.get(kind)
    if adapter is None:
        return UnknownEntry(kind)
    try:
        entry: RecordEntry = adapter.validate_python(fields)
    except ValidationError as error:
        first = error.errors(include_url=False, include_input=False)[0]
        return InvalidEntry(kind, f"{first['loc']}: {first['msg']}")
    return entry
