"""A copy of the newest record of each key of a stream."""

from __future__ import annotations

import threading

from typing import TYPE_CHECKING

from result import Err
from result import Ok
from result import Result

from magnoliapitch.verdict import FailureCode


if TYPE_CHECKING:
    from collections.abc import Iterable

    from magnoliapitch.ledger.stream import KeyedStreams
    from magnoliapitch.ledger.stream import StoredRecord
    from magnoliapitch.verdict import Failure


READ_TIMEOUT_MS = 600


class StreamMirror:
    """Follows one stream; safe to refresh from several threads.

    No lock is held while the store is asked, so that a refresh without a
    wait is not held up by one that waits for news.

    :ivar values_by_key: newest value of each key that has one.
    :ivar end: offset up to which the mirror has read; -1 before that.
    """

    def __init__(self, streams: KeyedStreams, stream: str) -> None:
        self.values_by_key: dict[str, bytes] = {}
        self.end = -1
        self._streams = streams
        self._stream = stream
        self._lock = threading.Lock()
        self._offset_by_key: dict[str, int] = {}

    def refresh(
        self, wait_ms: int = 0, timeout_ms: int = READ_TIMEOUT_MS
    ) -> Result[set[str], Failure]:
        """Read what is new and return the keys that have changed.

        :param wait_ms: how long to wait for a first new record.
        """
        if self.end < 0:
            return self._load(timeout_ms)
        read = self._streams.read(self._stream, self.end, wait_ms, timeout_ms)
        if isinstance(read, Err):
            if read.err_value.code is FailureCode.TRUNCATED:
                return self._load(timeout_ms)
            return read
        records = read.ok_value.records
        if not records:
            return Ok(set())
        with self._lock:
            changed = self._apply(records)
            self.end = max(self.end, records[-1].offset + 1)
        return Ok(changed)

    def skip_to(self, end: int) -> None:
        """Go on at an offset, since the owner knows what lies before."""
        self.end = end

    def _load(self, timeout_ms: int) -> Result[set[str], Failure]:
        """Read the newest record of every key, page by page."""
        records: list[StoredRecord] = []
        end: int | None = None
        after_key = ""
        has_more = True
        while has_more:
            page = self._streams.newest(self._stream, after_key, timeout_ms)
            if isinstance(page, Err):
                return page
            found = page.ok_value
            # Records after the first page's end are read again later.
            end = found.end if end is None else end
            records += found.records
            has_more = found.has_more and bool(found.records)
            after_key = records[-1].key if records else ""
        with self._lock:
            changed = self._apply(records)
            changed |= self._forget_absent(records, end or 0)
            self.end = max(self.end, end or 0)
        return Ok(changed)

    def _forget_absent(
        self, records: list[StoredRecord], end: int
    ) -> set[str]:
        """Drop keys whose removal has left the stream unread."""
        seen = {record.key for record in records}
        gone = {
            key
            for key in self.values_by_key
            if key not in seen and self._offset_by_key[key] < end
        }
        for key in gone:
            del self.values_by_key[key]
            del self._offset_by_key[key]
        return gone

    def _apply(self, records: Iterable[StoredRecord]) -> set[str]:
        return {record.key for record in records if self._apply_one(record)}

    def _apply_one(self, record: StoredRecord) -> bool:
        if record.offset <= self._offset_by_key.get(record.key, -1):
            return False
        if record.value:
            self._offset_by_key[record.key] = record.offset
            self.values_by_key[record.key] = record.value
            return True
        self._offset_by_key.pop(record.key, None)
        return self.values_by_key.pop(record.key, None) is not None
