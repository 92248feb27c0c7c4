"""Binary encoding of the records in the platform's store.

A record is its length (4 bytes), the length of its key (1 byte), the key and
the value. Numbers are big-endian.
"""

from __future__ import annotations

import struct

from typing import TYPE_CHECKING

from magnoliapitch.ledger.stream import MAX_KEY_BYTES
from magnoliapitch.ledger.stream import KeyedRecord


if TYPE_CHECKING:
    from collections.abc import Iterable


_LENGTH_PREFIX = struct.Struct(">I")
_READ_HEADER = struct.Struct(">QQ")


class MalformedReplyError(ValueError):
    """Raised when an answer ends inside its header or a record."""


def encode_records(records: Iterable[KeyedRecord]) -> bytes:
    """Encode records as the body of an append to a keyed topic.

    :raises ValueError: if a key is empty or longer than 255 bytes.
    """
    parts: list[bytes] = []
    for record in records:
        key = record.key.encode()
        if not 0 < len(key) <= MAX_KEY_BYTES:
            raise ValueError(f"key of {len(key)} bytes: 1 to 255 are allowed")
        parts += (
            _LENGTH_PREFIX.pack(1 + len(key) + len(record.value)),
            bytes((len(key),)),
            key,
            record.value,
        )
    return b"".join(parts)


def decode_read(data: bytes) -> tuple[int, int, list[KeyedRecord]]:
    """Decode the answer to a read.

    :return: end of the partition, lowest offset that can be read, records.
    :raises MalformedReplyError: if the data end inside the header or a record.
    """
    if len(data) < _READ_HEADER.size:
        raise MalformedReplyError(
            f"the answer has {len(data)} bytes, but its header alone has "
            f"{_READ_HEADER.size}"
        )
    end, first = _READ_HEADER.unpack_from(data)
    records: list[KeyedRecord] = []
    start = _READ_HEADER.size
    while start < len(data):
        stop = start + _LENGTH_PREFIX.size
        if stop > len(data):
            raise MalformedReplyError(
                f"the answer ends inside the record length at byte {start}"
            )
        (length,) = _LENGTH_PREFIX.unpack_from(data, start)
        start, stop = stop, stop + length
        if stop > len(data):
            raise MalformedReplyError(
                f"the answer ends inside the record at byte {start}"
            )
        records.append(_decode_record(data[start:stop]))
        start = stop
    return end, first, records


def _decode_record(data: bytes) -> KeyedRecord:
    key_bytes = data[0] if data else 0
    key = data[1 : 1 + key_bytes].decode("utf-8", "replace")
    return KeyedRecord(key, data[1 + key_bytes :])
