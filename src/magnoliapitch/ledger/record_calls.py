"""Division of records over calls that the store accepts."""

from __future__ import annotations

from typing import TYPE_CHECKING

from magnoliapitch.ledger.stream import MAX_CALL_BYTES
from magnoliapitch.ledger.stream import RECORD_LENGTH_BYTES


if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Sequence

    from magnoliapitch.ledger.stream import KeyedRecord


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


__all__ = ["leading_count", "split_into_calls"]
