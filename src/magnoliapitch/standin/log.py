"""In-memory log with outages, lost responses and limited retention."""

from __future__ import annotations

import threading

from result import Err
from result import Ok
from result import Result

from magnoliapitch.journal.log import LogRecord
from magnoliapitch.journal.log import LogSlice
from magnoliapitch.verdict import Failure
from magnoliapitch.verdict import FailureCode
from magnoliapitch.verdict import may_have_run
from magnoliapitch.verdict import not_run


class StandinLog:
    """Log that keeps its records in memory.

    :ivar down: whether every call fails without effect.
    :ivar responses_to_lose: number of appends to come that take effect but
        return a failure.
    """

    def __init__(self) -> None:
        self.down = False
        self.responses_to_lose = 0
        self._records: list[LogRecord] = []
        self._next_offset = 0
        self._changed = threading.Condition()

    def append(self, data: bytes) -> Result[int, Failure]:
        """Append one record and return its offset."""
        with self._changed:
            if self.down:
                return Err(
                    not_run(FailureCode.UNAVAILABLE, "the log is unavailable")
                )
            offset = self._next_offset
            self._next_offset += 1
            self._records.append(LogRecord(offset, data))
            self._changed.notify_all()
            if self.responses_to_lose > 0:
                self.responses_to_lose -= 1
                return Err(
                    may_have_run(
                        FailureCode.TIMEOUT, "the log did not respond"
                    )
                )
            return Ok(offset)

    def read(
        self, from_offset: int, limit: int, wait_ms: int = 0
    ) -> Result[LogSlice, Failure]:
        """Read at most ``limit`` records from an offset, oldest first.

        :param wait_ms: how long to wait for a record if there is none yet.
        """
        with self._changed:
            if wait_ms and not self.down and from_offset >= self._next_offset:
                self._changed.wait(wait_ms / 1000)
            if self.down:
                return Err(
                    not_run(FailureCode.UNAVAILABLE, "the log is unavailable")
                )
            oldest = self._next_offset - len(self._records)
            start = max(from_offset - oldest, 0)
            records = tuple(self._records[start : start + limit])
            return Ok(LogSlice(records, oldest, self._next_offset))

    def expire(self, before_offset: int) -> None:
        """Delete the records below an offset, as limited retention does."""
        with self._changed:
            oldest = self._next_offset - len(self._records)
            del self._records[: max(before_offset - oldest, 0)]


class LogConnection:
    """Connection of one instance to a shared log, with faults to inject.

    :ivar down: whether every call of this instance fails without effect.
    :ivar responses_to_lose: number of appends of this instance to come that
        take effect but return a failure.
    """

    def __init__(self, log: StandinLog) -> None:
        self.down = False
        self.responses_to_lose = 0
        self._log = log

    def append(self, data: bytes) -> Result[int, Failure]:
        """Append one record and return its offset."""
        if self.down:
            return Err(
                not_run(FailureCode.UNAVAILABLE, "no connection to the log")
            )
        outcome = self._log.append(data)
        if self.responses_to_lose > 0 and isinstance(outcome, Ok):
            self.responses_to_lose -= 1
            return Err(
                may_have_run(FailureCode.TIMEOUT, "the log did not respond")
            )
        return outcome

    def read(
        self, from_offset: int, limit: int, wait_ms: int = 0
    ) -> Result[LogSlice, Failure]:
        """Read at most ``limit`` records from an offset, oldest first.

        :param wait_ms: how long to wait for a record if there is none yet.
        """
        if self.down:
            return Err(
                not_run(FailureCode.UNAVAILABLE, "no connection to the log")
            )
        return self._log.read(from_offset, limit, wait_ms)
