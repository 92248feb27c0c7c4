"""Keyed streams in memory, with faults on demand."""

from __future__ import annotations

from typing import TYPE_CHECKING

from result import Err
from result import Ok
from result import Result

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
    from collections.abc import Sequence


REMEMBERED_APPENDS = 5
PAGE_RECORDS = 3


class _Stream:
    def __init__(self) -> None:
        self.records: list[StoredRecord] = []
        self.first = 0
        self.epoch_by_producer: dict[str, int] = {}
        self.answers_by_producer: dict[str, list[tuple[int, Appended]]] = {}


class MemoryStreams:
    """Follows the contract of the streams; one page holds few records.

    :ivar refuse: failure of every call, as if the store were away.
    :ivar lose_answers: appends that are carried out without an answer.
    """

    def __init__(self) -> None:
        self.refuse: Failure | None = None
        self.lose_answers = 0
        self.appends = 0
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
        if self.refuse:
            return Err(self.refuse)
        found = self._stream(stream)
        if writer is not None:
            answer = self._check_writer(found, writer)
            if answer is not None:
                return answer
        end = len(found.records)
        if expected_end is not None and expected_end != end:
            return Err(not_run(FailureCode.CONFLICT, f"ends at {end}"))
        found.records += [
            StoredRecord(end + number, *record)
            for number, record in enumerate(records)
        ]
        appended = Appended(end, len(found.records))
        if writer is not None:
            found.epoch_by_producer[writer.producer] = writer.epoch
            found.answers_by_producer.setdefault(writer.producer, []).append(
                (writer.sequence, appended)
            )
        if self.lose_answers:
            self.lose_answers -= 1
            return Err(may_have_run(FailureCode.TIMEOUT, "no answer"))
        return Ok(appended)

    def read(
        self,
        stream: str,
        from_offset: int,
        wait_ms: int = 0,
        timeout_ms: int = 1_000,
    ) -> Result[StreamSlice, Failure]:
        del wait_ms, timeout_ms
        if self.refuse:
            return Err(self.refuse)
        found = self._stream(stream)
        if from_offset < found.first:
            return Err(not_run(FailureCode.TRUNCATED, "expired"))
        records = tuple(found.records[from_offset:])
        return Ok(StreamSlice(records, found.first, len(found.records)))

    def newest(
        self, stream: str, after_key: str = "", timeout_ms: int = 1_000
    ) -> Result[NewestPage, Failure]:
        del timeout_ms
        if self.refuse:
            return Err(self.refuse)
        found = self._stream(stream)
        newest = {record.key: record for record in found.records}
        rows = [
            newest[key]
            for key in sorted(newest)
            if key > after_key and newest[key].value
        ]
        page = tuple(rows[:PAGE_RECORDS])
        has_more = len(rows) > PAGE_RECORDS
        return Ok(NewestPage(page, has_more, len(found.records)))

    def expire(self, stream: str) -> None:
        """Drop the history; the newest record of each key stays."""
        found = self._stream(stream)
        found.first = len(found.records)

    def keys(self, stream: str) -> list[str]:
        """Return the key of every record ever appended."""
        return [record.key for record in self._stream(stream).records]

    def _stream(self, name: str) -> _Stream:
        return self._by_name.setdefault(name, _Stream())

    def _check_writer(
        self, stream: _Stream, writer: Writer
    ) -> Result[Appended, Failure] | None:
        epoch = stream.epoch_by_producer.get(writer.producer, -1)
        answers = stream.answers_by_producer.get(writer.producer, [])
        if writer.epoch < epoch:
            return Err(not_run(FailureCode.FENCED, f"epoch {epoch}"))
        if writer.epoch > epoch:
            answers.clear()
            return None
        for sequence, answer in answers[-REMEMBERED_APPENDS:]:
            if sequence == writer.sequence:
                return Ok(answer)
        if answers and writer.sequence != answers[-1][0] + 1:
            return Err(not_run(FailureCode.SEQUENCE, "not the next"))
        return None
