"""JSON encoding of log records.

A record is ``{"v": 1, "writer": W, "seq": N, "base": N, "entries": [...]}``;
each entry is an object with its ``kind`` and the fields of that kind. A
record that an operator appends by hand has no ``writer``, ``seq`` and
``base``; it takes no part in the detection of duplicates.
"""

from __future__ import annotations

from typing import Any

import orjson

from pydantic import ValidationError

from magnoliapitch.journal.exceptions import DamagedRecordError
from magnoliapitch.journal.record import Envelope
from magnoliapitch.journal.record import InvalidRecordEntry
from magnoliapitch.journal.record import RecordEntry
from magnoliapitch.journal.record import UnknownRecordEntry
from magnoliapitch.journal.record import adapters_by_kind
from magnoliapitch.journal.record import kinds_by_type
from magnoliapitch.json_value import to_json_value


RECORD_VERSION = 1


def encode_entry(entry: RecordEntry) -> bytes:
    """Encode one record entry as a JSON object with its kind."""
    kind = kinds_by_type[type(entry)]
    return orjson.dumps({"kind": kind, **to_json_value(entry)})


def encode_batch(
    entries: list[bytes], writer: str = "", seq: int = 0, base: int = 0
) -> bytes:
    """Build one log record from encoded record entries.

    :param writer: incarnation that appends the record; empty to leave out
        ``writer``, ``seq`` and ``base``.
    :param seq: sequence number among the writer's records, from 1.
    :param base: the writer's next offset to apply.
    """
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
    """Encode record entries as one log record.

    The other parameters are those of :func:`encode_batch`.
    """
    return encode_batch(list(map(encode_entry, entries)), writer, seq, base)


def decode_record(data: bytes) -> Envelope:
    """Decode one log record.

    Record entries that are unknown or invalid are part of the result.

    :raises DamagedRecordError: if the bytes are not a valid envelope.
    """
    try:
        record = orjson.loads(data)
    except orjson.JSONDecodeError as error:
        raise DamagedRecordError(str(error)) from error
    if not isinstance(record, dict) or not _is_version(record.get("v")):
        raise DamagedRecordError("the record is not an object with v = 1")
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


def _decode_entry(
    value: Any,
) -> RecordEntry | UnknownRecordEntry | InvalidRecordEntry:
    if not isinstance(value, dict) or not isinstance(value.get("kind"), str):
        return InvalidRecordEntry("", "not an object with a string kind")
    fields = dict(value)
    kind = fields.pop("kind")
    adapter = adapters_by_kind.get(kind)
    if adapter is None:
        return UnknownRecordEntry(kind)
    try:
        entry: RecordEntry = adapter.validate_python(fields)
    except ValidationError as error:
        first = error.errors(include_url=False, include_input=False)[0]
        return InvalidRecordEntry(kind, f"{first['loc']}: {first['msg']}")
    return entry
