"""Applies log records to the state, the same way on every instance."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING
from typing import Any
from typing import NamedTuple

from magnoliapitch.journal.codec import decode_record
from magnoliapitch.journal.exceptions import DamagedRecordError
from magnoliapitch.journal.state import ClusterState


if TYPE_CHECKING:
    from magnoliapitch.journal.record import Envelope
    from magnoliapitch.platform.log import LogRecord


class EntryOutcome(NamedTuple):
    """What the fold did with one entry of a record.

    :param applied: whether the state changed as the entry asked.
    :param reason: why it was not applied.
    """

    applied: bool
    reason: str = ""


class RecordOutcome(NamedTuple):
    """What the fold did with one record.

    :param repeated: whether the record was appended before and skipped.
    """

    offset: int
    writer: str
    seq: int
    outcomes: tuple[EntryOutcome, ...]
    repeated: bool = False


Handler = Callable[[ClusterState, int, Any], EntryOutcome]

APPLIED = EntryOutcome(applied=True)

_handlers_by_type: dict[type, Handler] = {}


def handles(entry_type: type) -> Callable[[Handler], Handler]:
    """Register the function that applies one kind of entry."""

    def register(handler: Handler) -> Handler:
        _handlers_by_type[entry_type] = handler
        return handler

    return register


def rejected(reason: str) -> EntryOutcome:
    """Return the outcome of an entry that changed nothing."""
    return EntryOutcome(applied=False, reason=reason)


def apply_record(state: ClusterState, record: LogRecord) -> RecordOutcome:
    """Apply the next record; damaged and repeated ones change nothing.

    :raises ValueError: if the record is not the next one.
    """
    if record.offset != state.next_offset:
        raise ValueError(
            f"expected offset {state.next_offset}, found {record.offset}"
        )
    state.next_offset += 1
    try:
        envelope = decode_record(record.data)
    except DamagedRecordError as error:
        state.skipped_records += 1
        outcome = rejected(f"damaged record: {error}")
        return RecordOutcome(record.offset, "", 0, (outcome,))
    if _is_repeated(state, envelope):
        return RecordOutcome(
            record.offset, envelope.writer, envelope.seq, (), repeated=True
        )
    outcomes = tuple(
        _apply_entry(state, record.offset, entry) for entry in envelope.entries
    )
    return RecordOutcome(
        record.offset, envelope.writer, envelope.seq, outcomes
    )


def _is_repeated(state: ClusterState, envelope: Envelope) -> bool:
    if not envelope.writer:
        return False
    if envelope.seq <= state.seq_by_writer.get(envelope.writer, 0):
        return True
    state.seq_by_writer[envelope.writer] = envelope.seq
    return False


def _apply_entry(
    state: ClusterState, offset: int, entry: object
) -> EntryOutcome:
    handler = _handlers_by_type.get(type(entry))
    if handler is None:
        state.skipped_records += 1
        return rejected(f"not applicable: {entry!r}")
    return handler(state, offset, entry)
