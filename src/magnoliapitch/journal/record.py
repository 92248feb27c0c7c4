"""Contents of log records.

A log record is an envelope of one or more record entries. Each record
entry has a kind and asks for one change of the replicated state.
"""

from __future__ import annotations

from enum import StrEnum
from typing import TYPE_CHECKING
from typing import Any
from typing import NamedTuple
from typing import TypeVar

from pydantic import TypeAdapter

from magnoliapitch.catalogue.entry import CatalogueEntry
from magnoliapitch.job.spec import JobSpec
from magnoliapitch.job.spec import TaskOutcome


if TYPE_CHECKING:
    from collections.abc import Callable


EntryT = TypeVar("EntryT", bound=type)

kinds_by_type: dict[type, str] = {}
adapters_by_kind: dict[str, TypeAdapter[Any]] = {}


def record_kind(kind: str) -> Callable[[EntryT], EntryT]:
    """Register a named tuple as the schema of a kind of record entry.

    :param kind: value of ``kind`` in the encoded record entry.
    """

    def register(entry_type: EntryT) -> EntryT:
        kinds_by_type[entry_type] = kind
        adapters_by_kind[kind] = TypeAdapter(entry_type)
        return entry_type

    return register


@record_kind("catalogue.put")
class CataloguePut(NamedTuple):
    """Creation or replacement of a catalogue entry.

    :param expected_version: current version, which is replaced; 0 if the
        name has no entry yet.
    """

    entry: CatalogueEntry
    expected_version: int


@record_kind("catalogue.delete")
class CatalogueDelete(NamedTuple):
    """Deletion of a catalogue entry.

    :param expected_version: current version, which is deleted.
    """

    name: str
    expected_version: int


@record_kind("entry.join")
class MemberJoin(NamedTuple):
    """Announcement of a started entry instance.

    :param incarnation: unique id of this start of the instance.
    :param peer_address: ``IP:PORT`` of the listener for other instances.
    :param caller_url: base URL of the listener for callers.
    """

    instance_id: str
    incarnation: str
    zone: str
    peer_address: str
    caller_url: str = ""


@record_kind("entry.presence")
class MemberPresence(NamedTuple):
    """Heartbeat: the incarnation was able to append to the log."""

    incarnation: str


@record_kind("entry.leave")
class MemberLeave(NamedTuple):
    """Announcement that an incarnation has stopped for good.

    The incarnation itself appends it, or an instance that found it gone.
    """

    incarnation: str


@record_kind("unit.claim")
class UnitClaim(NamedTuple):
    """Claim to own a unit: a rack or a group of backend servers.

    :param unit: name of the unit.
    :param incarnation: incarnation that becomes the owner.
    :param previous_epoch: epoch of the current claim; 0 if there is none.
    """

    unit: str
    zone: str
    incarnation: str
    previous_epoch: int


@record_kind("unit.release")
class UnitRelease(NamedTuple):
    """Release of a unit by its owner.

    :param epoch: epoch of the claim that is given up.
    """

    unit: str
    incarnation: str
    epoch: int


@record_kind("job.submit")
class JobSubmit(NamedTuple):
    """Submission of a job.

    :param unit: unit of workers on which its tasks may run.
    """

    job: JobSpec
    unit: str


class MoveReason(StrEnum):
    """Reason for which a job is moved to another unit."""

    BALANCE = "balance"
    ZONE_CUT = "zone-cut"


@record_kind("job.move")
class JobMove(NamedTuple):
    """Assignment of an unfinished job to another unit.

    :param epoch: epoch of the current claim on ``from_unit``.
    :param seen_offset: used if the zone is cut off; the move is rejected
        if an owner of ``from_unit`` has a heartbeat in the log after this
        offset.
    """

    job_id: str
    from_unit: str
    to_unit: str
    epoch: int
    reason: MoveReason = MoveReason.BALANCE
    seen_offset: int = -1


@record_kind("job.cancel")
class JobCancel(NamedTuple):
    """Cancellation of a job."""

    job_id: str


@record_kind("task.end")
class TaskEnd(NamedTuple):
    """Outcome of one attempt of a task.

    :param task: index of the task within its job.
    :param attempt: index of the attempt, from 0.
    """

    job_id: str
    task: int
    attempt: int
    outcome: TaskOutcome


@record_kind("request.intent")
class RequestIntent(NamedTuple):
    """Reservation of an idempotency key for one execution of a request.

    :param key: idempotency key of the request.
    :param entry: name of the catalogue entry that is requested.
    :param incarnation: the only incarnation that may execute the request.
    :param digest: digest of the request, to refuse the same key with
        another request.
    """

    key: str
    entry: str
    incarnation: str
    digest: str


@record_kind("snapshot.part")
class SnapshotPart(NamedTuple):
    """Part of a snapshot of the replicated state.

    :param offset: offset of the first record that the snapshot does not
        cover.
    :param digest: digest of the whole compressed snapshot.
    :param part: index of this part, from 0.
    :param parts: number of parts of the snapshot.
    :param data: bytes of this part in base64.
    """

    offset: int
    digest: str
    part: int
    parts: int
    data: str


RecordEntry = (
    CataloguePut
    | CatalogueDelete
    | MemberJoin
    | MemberPresence
    | MemberLeave
    | UnitClaim
    | UnitRelease
    | JobSubmit
    | JobMove
    | JobCancel
    | TaskEnd
    | RequestIntent
    | SnapshotPart
)


class UnknownRecordEntry(NamedTuple):
    """Record entry of a kind that this software version does not know."""

    kind: str


class InvalidRecordEntry(NamedTuple):
    """Record entry that does not match the schema of its kind.

    :param kind: its kind, empty if it has none.
    :param problem: the first violation, as text.
    """

    kind: str
    problem: str


class Envelope(NamedTuple):
    """Decoded log record.

    :param writer: incarnation that appended it; empty for a record that
        an operator appended.
    :param seq: sequence number among the writer's records, from 1.
    :param base: the writer's next offset to apply when it formed the
        record.
    """

    entries: tuple[RecordEntry | UnknownRecordEntry | InvalidRecordEntry, ...]
    writer: str = ""
    seq: int = 0
    base: int = 0
