"""In-memory tail of the log for peers that cannot read the log."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from magnoliapitch.journal.log import LogRecord


TAIL_MAX_BYTES = 4 << 20
PAGE_MAX_BYTES = 256 << 10


class RecordTail:
    """Most recently applied records, without gaps.

    :param max_bytes: bound of the records' total size; the oldest ones
        are dropped above it.
    """

    def __init__(self, max_bytes: int = TAIL_MAX_BYTES) -> None:
        self._max_bytes = max_bytes
        self._size_bytes = 0
        self._records: deque[LogRecord] = deque()

    def add(self, record: LogRecord) -> None:
        """Add the record that was just applied."""
        self._records.append(record)
        self._size_bytes += len(record.data)
        while self._size_bytes > self._max_bytes:
            self._size_bytes -= len(self._records.popleft().data)

    def clear(self) -> None:
        """Remove all records, since the next one will not follow them."""
        self._records.clear()
        self._size_bytes = 0

    def page(self, from_offset: int, limit: int) -> tuple[LogRecord, ...]:
        """Return a page of records.

        A page ends before it exceeds ``PAGE_MAX_BYTES``, but holds at
        least one record.

        :param from_offset: offset of the first record to return.
        :param limit: maximum number of records to return.
        :return: no records if the tail does not hold the first one.
        """
        if not self._records or from_offset < self._records[0].offset:
            return ()
        start = from_offset - self._records[0].offset
        page: list[LogRecord] = []
        size_bytes = 0
        for index in range(start, min(start + limit, len(self._records))):
            record = self._records[index]
            size_bytes += len(record.data)
            if page and size_bytes > PAGE_MAX_BYTES:
                break
            page.append(record)
        return tuple(page)
