"""Interface of streams of keyed records."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple
from typing import Protocol


if TYPE_CHECKING:
    from collections.abc import Sequence

    from result import Result

    from magnoliapitch.verdict import Failure


class KeyedRecord(NamedTuple):
    """A record to append.

    :param value: empty to forget the key.
    """

    key: str
    value: bytes


class StoredRecord(NamedTuple):
    """A record of a stream at its offset."""

    offset: int
    key: str
    value: bytes


class StreamSlice(NamedTuple):
    """Consecutive records.

    :param first: lowest offset that can still be read.
    :param end: offset that the next append will get.
    """

    records: tuple[StoredRecord, ...]
    first: int
    end: int


class NewestPage(NamedTuple):
    """Newest records of keys; pages together are no snapshot.

    :param has_more: whether to go on after the last key.
    :param end: end of the stream when the page was made.
    """

    records: tuple[StoredRecord, ...]
    has_more: bool
    end: int


class Writer(NamedTuple):
    """Identity under which appends are ordered and deduplicated.

    :param producer: name of the sequence of appends.
    :param epoch: a lower one than seen is refused.
    :param sequence: number of the append within the epoch; a repeat of a
        recent one gets its first answer again.
    """

    producer: str
    epoch: int
    sequence: int


class Appended(NamedTuple):
    """Where records were appended.

    :param offset: offset of the first record.
    """

    offset: int
    end: int


class KeyedStreams(Protocol):
    """Streams of keyed records; safe to use from several threads.

    The newest record of each key is kept for good, older ones for a
    limited time. Failures: ``FENCED`` (a higher epoch was seen),
    ``CONFLICT`` (the stream does not end at ``expected_end``),
    ``SEQUENCE`` (the number does not follow), ``TRUNCATED`` (the offset
    cannot be read any more), ``OVERLOADED`` and ``UNAVAILABLE`` with
    verdict ``not_run``; ``TIMEOUT`` with ``may_have_run``, which the store
    may still carry out seconds later.
    """

    def append(
        self,
        stream: str,
        records: Sequence[KeyedRecord],
        writer: Writer | None = None,
        expected_end: int | None = None,
        timeout_ms: int = 1_000,
    ) -> Result[Appended, Failure]:
        """Append all records or none."""

    def read(
        self,
        stream: str,
        from_offset: int,
        wait_ms: int = 0,
        timeout_ms: int = 1_000,
    ) -> Result[StreamSlice, Failure]:
        """Read records from an offset, oldest first."""

    def newest(
        self, stream: str, after_key: str = "", timeout_ms: int = 1_000
    ) -> Result[NewestPage, Failure]:
        """Return a page of the newest record of each key."""
