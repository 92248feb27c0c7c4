"""Keyed streams in memory, with faults that a test can switch on."""

from __future__ import annotations

from typing import TYPE_CHECKING

from result import Err
from result import Ok
from result import Result

from magnoliapitch.ledger.stream import KEY_LENGTH_BYTES
from magnoliapitch.ledger.stream import MAX_CALL_BYTES
from magnoliapitch.ledger.stream import MAX_RECORD_BYTES
from magnoliapitch.ledger.stream import RECORD_LENGTH_BYTES
from magnoliapitch.ledger.stream import Appended
from magnoliapitch.ledger.stream import KeyedRecord
from magnoliapitch.ledger.stream import NewestPage
from magnoliapitch.ledger.stream import StoredRecord
from magnoliapitch.ledger.stream import StreamSlice
from magnoliapitch.ledger.stream import Writer
from magnoliapitch.verdict import Failure
from magnoliapitch.verdict import FailureCode
from magnoliapitch.verdict import may_have_run
from magnoliapitch.verdict import not_run


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence


REMEMBERED_APPEND_COUNT = 5
PAGE_RECORD_COUNT = 3


class _Stream:
    def __init__(self) -> None:
        self.records: list[StoredRecord] = []
        self.first = 0
        self.epoch_by_producer: dict[str, int] = {}
        self.answers_by_producer: dict[str, list[tuple[int, Appended]]] = {}


class MemoryStreams:
    """Implements ``KeyedStreams`` with small pages.

    :ivar outage: failure that every call returns, or None.
    :ivar responses_to_lose: number of appends that are carried out but fail
        with a timeout.
    :ivar before_append: called before every append.
    :ivar before_read: called before every read.
    :ivar appends: number of calls to append.
    :ivar reads: number of calls to read.
    :ivar max_read_records: most records that one read returns.
    :ivar invalid_keys: keys of records that the store refuses.
    :ivar reads_until_outage: number of reads until they fail with a timeout;
        None if they do not.
    """

    def __init__(self) -> None:
        self.outage: Failure | None = None
        self.responses_to_lose = 0
        self.before_append: Callable[[], object] = lambda: None
        self.before_read: Callable[[], object] = lambda: None
        self.appends = 0
        self.invalid_keys: set[str] = set()
        self.reads = 0
        self.max_read_records = 1_000_000
        self.reads_until_outage: int | None = None
        self._by_name: dict[str, _Stream] = {}

    def append(
        self,
        stream: str,
        records: Sequence[KeyedRecord],
        writer: Writer | None = None,
        expected_end: int | None = None,
        timeout_ms: int = 1_000,
    ) -> Result[Appended, Failure]:
        del timeout_ms
        self.appends += 1
        self.before_append()
        if self.outage:
            return Err(self.outage)
        refusal = self._refusal(records)
        if refusal:
            return Err(not_run(FailureCode.INVALID, refusal))
        content = self._stream(stream)
        if writer is not None:
            answer = self._check_writer(content, writer)
            if answer is not None:
                return answer
        end = len(content.records)
        if expected_end is not None and expected_end != end:
            return Err(
                not_run(FailureCode.CONFLICT, f"the stream ends at {end}")
            )
        content.records += [
            StoredRecord(end + number, *record)
            for number, record in enumerate(records)
        ]
        appended = Appended(end, len(content.records))
        if writer is not None:
            content.epoch_by_producer[writer.producer] = writer.epoch
            content.answers_by_producer.setdefault(writer.producer, []).append(
                (writer.sequence, appended)
            )
        if self.responses_to_lose:
            self.responses_to_lose -= 1
            return Err(
                may_have_run(FailureCode.TIMEOUT, "the store has not answered")
            )
        return Ok(appended)

    def read(
        self,
        stream: str,
        from_offset: int,
        wait_ms: int = 0,
        timeout_ms: int = 1_000,
    ) -> Result[StreamSlice, Failure]:
        del wait_ms, timeout_ms
        self.reads += 1
        self.before_read()
        if self.outage:
            return Err(self.outage)
        if self.reads_until_outage is not None:
            if not self.reads_until_outage:
                return Err(may_have_run(FailureCode.TIMEOUT, "no answer"))
            self.reads_until_outage -= 1
        content = self._stream(stream)
        if from_offset < content.first:
            return Err(
                not_run(FailureCode.TRUNCATED, "the records have expired")
            )
        last = from_offset + self.max_read_records
        records = tuple(content.records[from_offset:last])
        return Ok(StreamSlice(records, content.first, len(content.records)))

    def newest(
        self, stream: str, after_key: str = "", timeout_ms: int = 1_000
    ) -> Result[NewestPage, Failure]:
        del timeout_ms
        if self.outage:
            return Err(self.outage)
        content = self._stream(stream)
        newest = {record.key: record for record in content.records}
        present = [
            newest[key]
            for key in sorted(newest)
            if key > after_key and newest[key].value
        ]
        page = tuple(present[:PAGE_RECORD_COUNT])
        has_more = len(present) > PAGE_RECORD_COUNT
        return Ok(NewestPage(page, has_more, len(content.records)))

    def expire(self, stream: str) -> None:
        """Expire all records but the newest of each key."""
        content = self._stream(stream)
        content.first = len(content.records)

    def keys(self, stream: str) -> list[str]:
        """Return the key of every record ever appended."""
        return [record.key for record in self._stream(stream).records]

    def _stream(self, name: str) -> _Stream:
        return self._by_name.setdefault(name, _Stream())

    def _refusal(self, records: Sequence[KeyedRecord]) -> str:
        """Return why the store refuses records; empty if it does not."""
        sizes = [
            KEY_LENGTH_BYTES + len(record.key.encode()) + len(record.value)
            for record in records
        ]
        if max(sizes, default=0) > MAX_RECORD_BYTES:
            return f"a record has {max(sizes)} bytes"
        if sum(sizes) + RECORD_LENGTH_BYTES * len(sizes) > MAX_CALL_BYTES:
            return f"the call has {sum(sizes)} bytes"
        if any(record.key in self.invalid_keys for record in records):
            return "a record is not valid"
        return ""

    def _check_writer(
        self, stream: _Stream, writer: Writer
    ) -> Result[Appended, Failure] | None:
        epoch = stream.epoch_by_producer.get(writer.producer, -1)
        answers = stream.answers_by_producer.get(writer.producer, [])
        if writer.epoch < epoch:
            return Err(
                not_run(
                    FailureCode.FENCED, f"the store has seen epoch {epoch}"
                )
            )
        if writer.epoch > epoch:
            answers.clear()
            return None
        for sequence, answer in answers[-REMEMBERED_APPEND_COUNT:]:
            if sequence == writer.sequence:
                return Ok(answer)
        if answers and writer.sequence != answers[-1][0] + 1:
            return Err(
                not_run(FailureCode.SEQUENCE, "not the next sequence number")
            )
        return None
