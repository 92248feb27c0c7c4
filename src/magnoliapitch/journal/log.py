"""Interface of the platform's append-only log."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple
from typing import Protocol


if TYPE_CHECKING:
    from result import Result

    from magnoliapitch.verdict import Failure


class LogRecord(NamedTuple):
    """Record of the log.

    :param offset: position in the log, from 0, without gaps.
    :param data: the record's bytes as appended.
    """

    offset: int
    data: bytes


class LogSlice(NamedTuple):
    """Result of a read: consecutive records and the bounds of the log.

    :param records: records in offset order, possibly none.
    :param oldest: lowest offset that the log still retains.
    :param head: offset that the next append will get.
    """

    records: tuple[LogRecord, ...]
    oldest: int
    head: int


class PlatformLog(Protocol):
    """Append-only log with offsets and limited retention."""

    def append(self, data: bytes) -> Result[int, Failure]:
        """Append one record and return its offset.

        After a failure with the verdict ``may_have_run`` the record may
        be in the log.
        """

    def read(
        self, from_offset: int, limit: int, wait_ms: int = 0
    ) -> Result[LogSlice, Failure]:
        """Read records from an offset, oldest first.

        If ``from_offset`` is below the oldest retained offset, the result
        starts at the oldest one; the caller must compare them.

        :param limit: maximum number of records to return.
        :param wait_ms: milliseconds to wait for a first record.
        """
