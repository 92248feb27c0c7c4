"""Interface of the platform's append-only log."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple
from typing import Protocol


if TYPE_CHECKING:
    from result import Result

    from magnoliapitch.verdict import Failure


class LogRecord(NamedTuple):
    """One record of the log.

    :param offset: position in the log, from 0, without gaps.
    :param data: the record's bytes as appended.
    """

    offset: int
    data: bytes


class LogSlice(NamedTuple):
    """Consecutive records of the log.

    :param records: records in offset order, possibly none.
    :param oldest: lowest offset still retained.
    :param head: offset that the next append will get.
    """

    records: tuple[LogRecord, ...]
    oldest: int
    head: int


class PlatformLog(Protocol):
    """Append-only log with offsets and limited retention."""

    def append(self, data: bytes) -> Result[int, Failure]:
        """Append one record and return its offset.

        A failure with verdict ``may_have_run`` means that the record may
        have been appended all the same.
        """

    def read(
        self, from_offset: int, limit: int, wait_ms: int = 0
    ) -> Result[LogSlice, Failure]:
        """Read records from an offset, oldest first.

        When ``from_offset`` is below the oldest retained offset, the
        slice starts at the oldest one; the caller compares.

        :param limit: most records to return.
        :param wait_ms: how long to wait for a first record.
        """
