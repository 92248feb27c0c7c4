"""Deterministic application of log records to the replicated state."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING
from typing import Any
from typing import NamedTuple

from magnoliapitch.event import log_event
from magnoliapitch.journal.codec import decode_record
from magnoliapitch.journal.exceptions import DamagedRecordError
from magnoliapitch.journal.record import InvalidRecordEntry
from magnoliapitch.journal.record import UnknownRecordEntry
from magnoliapitch.journal.retention import WRITER_RETENTION_RECORDS
from magnoliapitch.journal.retention import expire
from magnoliapitch.journal.state import ClusterState
from magnoliapitch.journal.state import WriterMark


if TYPE_CHECKING:
    from magnoliapitch.journal.log import LogRecord
    from magnoliapitch.journal.record import Envelope


class RecordEntryOutcome(NamedTuple):
    """Result of applying one record entry.

    :param applied: whether the state was changed as requested.
    :param reason: why it was rejected; empty if it was applied.
    :param version: new version of the name for an applied change of the
        catalogue, else 0.
    """

    applied: bool
    reason: str = ""
    version: int = 0


class RecordOutcome(NamedTuple):
    """Result of applying one record.

    :param writer: incarnation that appended the record, empty for an
        operator.
    :param seq: sequence number among the writer's records.
    :param outcomes: result of each record entry; empty for a duplicate.
    :param is_duplicate: whether the record was skipped because an earlier
        copy of it has been applied.
    :param entries: record entries to which the outcomes belong; empty for
        a malformed record.
    """

    offset: int
    writer: str
    seq: int
    outcomes: tuple[RecordEntryOutcome, ...]
    is_duplicate: bool = False
    entries: tuple[object, ...] = ()


Handler = Callable[[ClusterState, int, Any], RecordEntryOutcome]

APPLIED = RecordEntryOutcome(applied=True)

_handlers_by_type: dict[type, Handler] = {}


def handles(entry_type: type) -> Callable[[Handler], Handler]:
    """Register a function that applies the entries of one type."""

    def register(handler: Handler) -> Handler:
        _handlers_by_type[entry_type] = handler
        return handler

    return register


def rejected(reason: str) -> RecordEntryOutcome:
    """Return the outcome of a record entry that changed nothing.

    :param reason: why, for the writer and the event log.
    """
    return RecordEntryOutcome(applied=False, reason=reason)


def apply_record(state: ClusterState, record: LogRecord) -> RecordOutcome:
    """Apply the next record to the state and advance the next offset.

    A malformed, duplicate or outdated record changes nothing else.

    :raises ValueError: if the record's offset is not the next one.
    """
    if record.offset != state.next_offset:
        raise ValueError(
            f"cannot apply the record at offset {record.offset}; the next "
            f"offset is {state.next_offset}"
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
        outcome = rejected(f"malformed record: {error}")
        return RecordOutcome(record.offset, "", 0, (outcome,))
    outcomes: tuple[RecordEntryOutcome, ...] = ()
    is_duplicate = _is_duplicate(state, envelope)
    if not is_duplicate and _is_outdated(envelope, record.offset):
        outcomes = (
            rejected("outdated record: formed too long before its offset"),
        ) * len(envelope.entries)
    elif not is_duplicate:
        outcomes = _apply_envelope(state, envelope, record.offset)
    return RecordOutcome(
        record.offset,
        envelope.writer,
        envelope.seq,
        outcomes,
        is_duplicate,
        envelope.entries,
    )


def _is_duplicate(state: ClusterState, envelope: Envelope) -> bool:
    mark = state.marks_by_writer.get(envelope.writer)
    return mark is not None and envelope.seq <= mark.seq


def _is_outdated(envelope: Envelope, offset: int) -> bool:
    """Return whether an earlier copy can no longer be detected.

    The marks that detect duplicates expire after
    ``WRITER_RETENTION_RECORDS`` records, so a record that was formed
    longer ago may be a copy of one that has been applied. A base later
    than the record's own offset is invalid and also counts as outdated.
    """
    if not envelope.writer:
        return False
    return not 0 <= offset - envelope.base <= WRITER_RETENTION_RECORDS


def _apply_envelope(
    state: ClusterState, envelope: Envelope, offset: int
) -> tuple[RecordEntryOutcome, ...]:
    if envelope.writer:
        state.marks_by_writer[envelope.writer] = WriterMark(
            envelope.seq, offset
        )
    return tuple(
        _apply_entry(state, offset, entry) for entry in envelope.entries
    )


def _apply_entry(
    state: ClusterState, offset: int, entry: object
) -> RecordEntryOutcome:
    if isinstance(entry, UnknownRecordEntry):
        state.skipped_records += 1
        return rejected(f"unknown kind of record entry {entry.kind!r}")
    if isinstance(entry, InvalidRecordEntry):
        state.skipped_records += 1
        return rejected(
            f"invalid record entry of kind {entry.kind!r}: {entry.problem}"
        )
    handler = _handlers_by_type[type(entry)]
    try:
        return handler(state, offset, entry)
    except (ArithmeticError, LookupError, TypeError, ValueError) as error:
        log_event("fold-failed", offset=offset, error=error)
        return rejected(f"the handler failed: {error!r}")
