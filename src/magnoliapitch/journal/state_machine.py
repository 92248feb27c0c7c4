"""Applies log records to the state, the same way on every instance."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING
from typing import Any
from typing import NamedTuple

from magnoliapitch.event import log_event
from magnoliapitch.journal.codec import decode_record
from magnoliapitch.journal.exceptions import DamagedRecordError
from magnoliapitch.journal.record import InvalidEntry
from magnoliapitch.journal.record import UnknownEntry
from magnoliapitch.journal.retention import WRITER_RECORDS
from magnoliapitch.journal.retention import expire
from magnoliapitch.journal.state import ClusterState
from magnoliapitch.journal.state import WriterMark


if TYPE_CHECKING:
    from magnoliapitch.journal.log import LogRecord
    from magnoliapitch.journal.record import Envelope


class EntryOutcome(NamedTuple):
    """What the fold did with one entry of a record.

    :param applied: whether the state changed as the entry asked.
    :param reason: why it was not applied.
    :param version: version that a change of the catalogue got.
    """

    applied: bool
    reason: str = ""
    version: int = 0


class RecordOutcome(NamedTuple):
    """What the fold did with one record.

    :param repeated: whether the record was appended before and skipped.
    :param entries: entries to which the outcomes belong.
    """

    offset: int
    writer: str
    seq: int
    outcomes: tuple[EntryOutcome, ...]
    repeated: bool = False
    entries: tuple[object, ...] = ()


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
    outcome = _apply(state, record)
    state.next_offset += 1
    expire(state)
    return outcome


def _apply(state: ClusterState, record: LogRecord) -> RecordOutcome:
    try:
        envelope = decode_record(record.data)
    except DamagedRecordError as error:
        state.skipped_records += 1
        outcome = rejected(f"damaged record: {error}")
        return RecordOutcome(record.offset, "", 0, (outcome,))
    outcomes: tuple[EntryOutcome, ...] = ()
    repeated = _is_repeated(state, envelope)
    if not repeated and _is_outdated(envelope, record.offset):
        outcomes = (rejected("outdated record"),) * len(envelope.entries)
    elif not repeated:
        outcomes = _apply_envelope(state, envelope, record.offset)
    return RecordOutcome(
        record.offset,
        envelope.writer,
        envelope.seq,
        outcomes,
        repeated,
        envelope.entries,
    )


def _is_repeated(state: ClusterState, envelope: Envelope) -> bool:
    mark = state.marks_by_writer.get(envelope.writer)
    return mark is not None and envelope.seq <= mark.seq


def _is_outdated(envelope: Envelope, offset: int) -> bool:
    """Return whether the mark of an earlier copy may be forgotten."""
    if not envelope.writer:
        return False
    return not 0 <= offset - envelope.base <= WRITER_RECORDS


def _apply_envelope(
    state: ClusterState, envelope: Envelope, offset: int
) -> tuple[EntryOutcome, ...]:
    if envelope.writer:
        state.marks_by_writer[envelope.writer] = WriterMark(
            envelope.seq, offset
        )
    return tuple(
        _apply_entry(state, offset, entry) for entry in envelope.entries
    )


def _apply_entry(
    state: ClusterState, offset: int, entry: object
) -> EntryOutcome:
    if isinstance(entry, UnknownEntry):
        state.skipped_records += 1
        return rejected(f"unknown kind {entry.kind!r}")
    if isinstance(entry, InvalidEntry):
        state.skipped_records += 1
        return rejected(f"invalid {entry.kind!r}: {entry.problem}")
    handler = _handlers_by_type[type(entry)]
    try:
        return handler(state, offset, entry)
    except (ArithmeticError, LookupError, TypeError, ValueError) as error:
        log_event("fold-failed", offset=offset, error=error)
        return rejected(f"cannot be applied: {error!r}")
