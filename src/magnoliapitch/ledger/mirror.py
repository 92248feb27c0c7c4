"""A local copy of the newest record of each key of a stream."""

from __future__ import annotations

import threading

from typing import TYPE_CHECKING
from typing import NamedTuple

from result import Err
from result import Ok
from result import Result

from magnoliapitch.event import log_event
from magnoliapitch.ledger.stream import StoredRecord
from magnoliapitch.verdict import FailureCode


if TYPE_CHECKING:
    from collections.abc import Iterable

    from magnoliapitch.ledger.stream import KeyedRecord
    from magnoliapitch.ledger.stream import KeyedStreams
    from magnoliapitch.verdict import Failure


READ_TIMEOUT_MS = 600


class StreamChanges(NamedTuple):
    """Keys that have changed, with all records before an offset applied.

    :param value_by_key: newest value of each changed key; None if the key was
        deleted.
    """

    value_by_key: dict[str, bytes | None]
    end: int


class _PartialLoad(NamedTuple):
    """Pages of the newest records, as far as they were read.

    :param end: end of the stream that the first page names.
    """

    records: tuple[StoredRecord, ...]
    end: int


class StreamMirror:
    """Local copy of one stream; can be refreshed from several threads.

    No lock is held during a call to the store, so that a refresh without a
    wait is not delayed by one that waits for new records.

    :ivar values_by_key: newest value of each key that has one.
    :ivar end: offset of the next record to read; -1 before the first read.
    """

    def __init__(self, streams: KeyedStreams, stream: str) -> None:
        self.values_by_key: dict[str, bytes] = {}
        self.end = -1
        self._streams = streams
        self._stream = stream
        self._lock = threading.Lock()
        self._offset_by_key: dict[str, int] = {}
        # Keys that have changed and were not returned yet.
        self._unreported_keys: set[str] = set()
        # Pages of a load that failed, which the next one goes on from.
        self._partial_load: _PartialLoad | None = None

    def refresh(
        self, wait_ms: int = 0, timeout_ms: int = READ_TIMEOUT_MS
    ) -> Result[set[str], Failure]:
        """Read up to the end and return the keys whose value has changed.

        The parameters are those of ``read``.
        """
        outcome = self.read(wait_ms, timeout_ms)
        return outcome.map(lambda _: set(self.take_changes().value_by_key))

    def take_changes(self) -> StreamChanges:
        """Return what has changed since the last call, in any thread."""
        with self._lock:
            keys, self._unreported_keys = self._unreported_keys, set()
            values = {key: self.values_by_key.get(key) for key in keys}
            return StreamChanges(values, self.end)

    def forget_values(self) -> None:
        """Drop all values, which are not needed any more."""
        with self._lock:
            self.values_by_key = {}
            self._offset_by_key = {}

    def read(
        self, wait_ms: int = 0, timeout_ms: int = READ_TIMEOUT_MS
    ) -> Result[None, Failure]:
        """Read up to the end.

        The first call, and one after old records have expired unread, reads
        the newest record of every key instead.

        :param wait_ms: how long to wait for a first new record.
        :param timeout_ms: how long each call may take beyond that.
        """
        if self.end < 0:
            return self._load(timeout_ms)
        return self._read_to_end(wait_ms, timeout_ms)

    def _read_to_end(
        self, wait_ms: int, timeout_ms: int
    ) -> Result[None, Failure]:
        """Read until what was the end of the stream at the first read.

        One read returns a limited size, and what it leaves may be newer than
        the copy by seconds.
        """
        first_end: int | None = None
        while first_end is None or self.end < first_end:
            read = self._streams.read(
                self._stream, self.end, wait_ms, timeout_ms
            )
            if isinstance(read, Err):
                if read.err_value.code is FailureCode.TRUNCATED:
                    return self._load(timeout_ms)
                return read
            content = read.ok_value
            if not content.records:
                break
            with self._lock:
                self._unreported_keys |= self._apply(content.records)
                self.end = max(self.end, content.records[-1].offset + 1)
            first_end = content.end if first_end is None else first_end
            wait_ms = 0
            if self.end < first_end:
                log_event(
                    "stream-partly-read",
                    stream=self._stream,
                    left=first_end - self.end,
                )
        return Ok(None)

    def add_appended(
        self, records: Iterable[KeyedRecord], first_offset: int
    ) -> bool:
        """Add records that this process has appended, before they are read.

        Reading goes on where it was, and passes over what it finds again.
        Deletions are left to it, since records before them may be unread.

        :param first_offset: offset of the first record.
        :return: whether a value has changed.
        """
        stored = [
            StoredRecord(offset, record.key, record.value)
            for offset, record in enumerate(records, first_offset)
            if record.value
        ]
        with self._lock:
            if self.end < 0:
                return False
            changed_keys = self._apply(stored)
            self._unreported_keys |= changed_keys
            return bool(changed_keys)

    def skip_to(self, end: int) -> None:
        """Continue at an offset; the caller knows the records before it.

        :param end: offset of the next record to read.
        """
        self.end = end

    def _load(self, timeout_ms: int) -> Result[None, Failure]:
        """Read the newest record of every key, page by page."""
        with self._lock:
            partial, self._partial_load = self._partial_load, None
        records = list(partial.records) if partial else []
        end = partial.end if partial else None
        has_more = True
        while has_more:
            after_key = records[-1].key if records else ""
            page = self._streams.newest(self._stream, after_key, timeout_ms)
            if isinstance(page, Err):
                if end is not None:
                    self._partial_load = _PartialLoad(tuple(records), end)
                return page
            content = page.ok_value
            # Pages are not one snapshot: reading continues at the end that the
            # first page names, so that later records are read again.
            end = content.end if end is None else end
            records += content.records
            has_more = content.has_more and bool(content.records)
        with self._lock:
            self._unreported_keys |= self._apply(records)
            self._unreported_keys |= self._remove_absent(records, end or 0)
            self.end = max(self.end, end or 0)
        return Ok(None)

    def _remove_absent(
        self, records: list[StoredRecord], end: int
    ) -> set[str]:
        """Remove keys whose deletion expired before it was read.

        :param records: newest record of every key of the stream.
        :param end: offset before which the records are complete.
        :return: the removed keys.
        """
        present = {record.key for record in records}
        removed = {
            key
            for key in self.values_by_key
            if key not in present and self._offset_by_key[key] < end
        }
        for key in removed:
            del self.values_by_key[key]
            del self._offset_by_key[key]
        return removed

    def _apply(self, records: Iterable[StoredRecord]) -> set[str]:
        return {record.key for record in records if self._apply_record(record)}

    def _apply_record(self, record: StoredRecord) -> bool:
        known_offset = self._offset_by_key.get(record.key, -1)
        # Of a deleted key no offset is known, but all before the end was read.
        if record.offset < self.end or record.offset <= known_offset:
            return False
        if record.value:
            self._offset_by_key[record.key] = record.offset
            self.values_by_key[record.key] = record.value
            return True
        self._offset_by_key.pop(record.key, None)
        return self.values_by_key.pop(record.key, None) is not None
