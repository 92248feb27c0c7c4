"""Interface to the store: streams of keyed records."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple
from typing import Protocol


if TYPE_CHECKING:
    from collections.abc import Sequence

    from result import Result

    from magnoliapitch.verdict import Failure


# The store accepts no longer keys.
MAX_KEY_BYTES = 255
# The store refuses larger records, with the key and its length.
MAX_RECORD_BYTES = 262_144
# Length of the key, and of the record.
KEY_LENGTH_BYTES = 1
RECORD_LENGTH_BYTES = 4
# It refuses calls with more.
MAX_CALL_BYTES = 2_097_152


class KeyedRecord(NamedTuple):
    """A record to append.

    :param value: empty to delete the key.
    """

    key: str
    value: bytes

    @property
    def size_bytes(self) -> int:
        """Return the size that the store's limit of a record applies to."""
        return KEY_LENGTH_BYTES + len(self.key.encode()) + len(self.value)


class StoredRecord(NamedTuple):
    """A record of a stream and its offset."""

    offset: int
    key: str
    value: bytes


class StreamSlice(NamedTuple):
    """Consecutive records of a stream.

    :param first: lowest offset that can still be read.
    :param end: offset that the next appended record will get.
    """

    records: tuple[StoredRecord, ...]
    first: int
    end: int


class NewestPage(NamedTuple):
    """Newest records of some keys, in the order of the keys.

    Each page is read at another time, so that several pages together are not
    a consistent snapshot.

    :param has_more: whether there are further keys after the last one.
    :param end: end of the stream when the page was read.
    """

    records: tuple[StoredRecord, ...]
    has_more: bool
    end: int


class Writer(NamedTuple):
    """Identity by which the store orders and deduplicates appends.

    :param producer: name under which the store keeps the epoch and sequence.
    :param epoch: fencing token; the store refuses an epoch below the highest
        one it has seen from the producer.
    :param sequence: number of the append within the epoch; the store answers
        a repeated recent number as it did the first time, without appending.
    """

    producer: str
    epoch: int
    sequence: int


class Appended(NamedTuple):
    """Position of appended records.

    :param offset: offset of the first record.
    :param end: end of the stream after the append.
    """

    offset: int
    end: int


class KeyedStreams(Protocol):
    """Streams of keyed records; thread-safe.

    The store keeps the newest record of each key without limit and older
    records for a limited time.

    Failures with the verdict ``not_run`` have one of the codes

    - ``FENCED``: the store has seen a higher epoch of the producer;
    - ``CONFLICT``: the stream does not end at ``expected_end``;
    - ``SEQUENCE``: the sequence number does not follow the last one;
    - ``TRUNCATED``: the records at the offset have expired;
    - ``OVERLOADED`` or ``UNAVAILABLE``.

    ``TIMEOUT`` has the verdict ``may_have_run``: the store may still carry
    the call out seconds later.
    """

    def append(
        self,
        stream: str,
        records: Sequence[KeyedRecord],
        writer: Writer | None = None,
        expected_end: int | None = None,
        timeout_ms: int = 1_000,
    ) -> Result[Appended, Failure]:
        """Append all records or none.

        :param writer: identity for fencing and deduplication; None to append
            without them.
        :param expected_end: append only if the stream ends at this offset.
        """

    def read(
        self,
        stream: str,
        from_offset: int,
        wait_ms: int = 0,
        timeout_ms: int = 1_000,
    ) -> Result[StreamSlice, Failure]:
        """Read records from an offset, oldest first.

        :param wait_ms: how long the store may wait for a first record.
        :param timeout_ms: how long the call may take beyond that.
        """

    def newest(
        self, stream: str, after_key: str = "", timeout_ms: int = 1_000
    ) -> Result[NewestPage, Failure]:
        """Return a page of the newest record of each key.

        :param after_key: last key of the previous page, empty for the first.
        """
