"""Division of records over calls that the store accepts."""

from __future__ import annotations

from typing import TYPE_CHECKING

from result import Err
from result import Ok
from result import Result

from magnoliapitch.event import log_event
from magnoliapitch.ledger.stream import MAX_CALL_BYTES
from magnoliapitch.ledger.stream import RECORD_LENGTH_BYTES
from magnoliapitch.verdict import FailureCode


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    from collections.abc import Sequence

    from magnoliapitch.ledger.stream import KeyedRecord
    from magnoliapitch.verdict import Failure


# A single record is left out once it was refused so often in a row, since a
# call may also arrive damaged.
REFUSALS_TO_LEAVE_OUT = 3


def leading_count(records: Iterable[KeyedRecord]) -> int:
    """Return how many of the first records fit into one call, at least 1.

    :param records: records to store, of which there is at least one.
    """
    total_bytes = 0
    count = 0
    for record in records:
        total_bytes += RECORD_LENGTH_BYTES + record.size_bytes
        if total_bytes > MAX_CALL_BYTES:
            break
        count += 1
    return max(1, count)


def split_into_calls(
    records: Sequence[KeyedRecord],
) -> list[Sequence[KeyedRecord]]:
    """Divide records over as few calls as store them in their order."""
    calls: list[Sequence[KeyedRecord]] = []
    while records:
        count = leading_count(records)
        calls.append(records[:count])
        records = records[count:]
    return calls


class RecordCalls:
    """Stores records in as many calls as they need, each one once.

    A record that the store refuses for good is left out, and no other.

    :ivar refused_keys: keys of the records that the store has refused.
    """

    def __init__(self, records: Sequence[KeyedRecord]) -> None:
        self.refused_keys: list[str] = []
        self._calls = split_into_calls(records)
        self._refusals_in_a_row = 0

    @property
    def has_ended(self) -> bool:
        """Return whether every record is stored or refused."""
        return not self._calls

    def store(
        self,
        append: Callable[[Sequence[KeyedRecord]], Result[int, Failure]],
        probe: Callable[[], bool],
    ) -> Result[int, Failure]:
        """Make the remaining calls up to the first that fails.

        :param append: makes one call.
        :param probe: returns whether the store accepts a call without
            records, so that it refuses a record and not the caller.
        """
        while self._calls:
            outcome = append(self._calls[0])
            if not isinstance(outcome, Err):
                del self._calls[0]
                self._refusals_in_a_row = 0
            elif not self._can_divide(outcome.err_value, probe):
                return outcome
        return Ok(0)

    def _can_divide(self, failure: Failure, probe: Callable[[], bool]) -> bool:
        """Divide a refused call, or leave out its only record.

        :return: whether the next call can be made.
        """
        if failure.code is not FailureCode.INVALID:
            self._refusals_in_a_row = 0
            return False
        records = self._calls[0]
        middle = len(records) // 2
        if not middle and not probe():
            return False
        self._refusals_in_a_row += not middle
        if not middle and self._refusals_in_a_row < REFUSALS_TO_LEAVE_OUT:
            return True
        del self._calls[0]
        self._refusals_in_a_row = 0
        if middle:
            self._calls[:0] = [records[:middle], records[middle:]]
            return True
        record = records[0]
        self.refused_keys.append(record.key)
        log_event(
            "record-refused",
            key=record.key,
            bytes=record.size_bytes,
            reason=failure.detail,
        )
        return True


__all__ = ["RecordCalls", "leading_count", "split_into_calls"]
