from __future__ import annotations

import struct

import pytest

from magnoliapitch.ledger.stream import KeyedRecord
from magnoliapitch.platform.framing import MalformedReplyError
from magnoliapitch.platform.framing import decode_read
from magnoliapitch.platform.framing import encode_records


HEADER = struct.pack(">QQ", 9, 7)
RECORDS = [KeyedRecord("a", b"1"), KeyedRecord("bb", b"")]


def test_records_are_read_as_they_were_written() -> None:
    data = HEADER + encode_records(RECORDS)
    assert decode_read(data) == (9, 7, RECORDS)


@pytest.mark.parametrize("missing_bytes", [1, 3, 5, 10])
def test_a_reply_that_ends_early_is_refused(missing_bytes: int) -> None:
    data = HEADER + encode_records(RECORDS)
    with pytest.raises(MalformedReplyError):
        decode_read(data[:-missing_bytes])


@pytest.mark.parametrize("key", ["", "k" * 256])
def test_key_of_a_wrong_length_is_refused(key: str) -> None:
    with pytest.raises(ValueError, match="key"):
        encode_records([KeyedRecord(key, b"1")])
