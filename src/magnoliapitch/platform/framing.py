"""Records of the platform's log as bytes: length, key, value."""

from __future__ import annotations

import struct

from typing import TYPE_CHECKING

from magnoliapitch.ledger.stream import KeyedRecord


if TYPE_CHECKING:
    from collections.abc import Iterable


_LENGTH = struct.Struct(">I")
_READ_HEAD = struct.Struct(">QQ")
KEY_MAX_BYTES = 255


class DamagedReplyError(ValueError):
    """An answer whose records cannot be told apart."""


def encode_records(records: Iterable[KeyedRecord]) -> bytes:
    """Return the body of an append to a keyed topic.

    :raises ValueError: if a key is empty or too long.
    """
    parts: list[bytes] = []
    for record in records:
        key = record.key.encode()
        if not 0 < len(key) <= KEY_MAX_BYTES:
            raise ValueError(f"key of {len(key)} bytes: 1 to 255 are allowed")
        parts += (
            _LENGTH.pack(1 + len(key) + len(record.value)),
            bytes((len(key),)),
            key,
            record.value,
        )
    return b"".join(parts)


def decode_read(data: bytes) -> tuple[int, int, list[KeyedRecord]]:
    """Decode a read: end of the partition, first offset, records.

    :raises DamagedReplyError: if the bytes end inside a record.
    """
    if len(data) < _READ_HEAD.size:
        raise DamagedReplyError("the answer has no head")
    end, first = _READ_HEAD.unpack_from(data)
    records: list[KeyedRecord] = []
    position = _READ_HEAD.size
    while position < len(data):
        stop = position + _LENGTH.size
        if stop > len(data):
            raise DamagedReplyError("the answer ends inside a length")
        (length,) = _LENGTH.unpack_from(data, position)
        position, stop = stop, stop + length
        if stop > len(data):
            raise DamagedReplyError("the answer ends inside a record")
        records.append(_decode_record(data[position:stop]))
        position = stop
    return end, first, records


def _decode_record(data: bytes) -> KeyedRecord:
    key_bytes = data[0] if data else 0
    key = data[1 : 1 + key_bytes].decode("utf-8", "replace")
    return KeyedRecord(key, data[1 + key_bytes :])
