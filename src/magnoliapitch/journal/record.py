"""Kinds of entries that log records carry."""

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
    """Register a named tuple as a kind of record entry."""

    def register(entry_type: EntryT) -> EntryT:
        kinds_by_type[entry_type] = kind
        adapters_by_kind[kind] = TypeAdapter(entry_type)
        return entry_type

    return register


@record_kind("catalogue.put")
class CataloguePut(NamedTuple):
    """Creates or replaces a catalogue entry.

    :param expected_version: version to replace; 0 creates.
    """

    entry: CatalogueEntry
    expected_version: int


@record_kind("catalogue.delete")
class CatalogueDelete(NamedTuple):
    """Deletes a catalogue entry of a known version."""

    name: str
    expected_version: int


@record_kind("entry.join")
class EntryJoin(NamedTuple):
    """Announces a new incarnation of an entry instance.

    :param peer_address: ``IP:PORT`` of the peer listener.
    :param caller_url: base URL of the caller listener.
    """

    instance_id: str
    incarnation: str
    zone: str
    peer_address: str
    caller_url: str = ""


@record_kind("entry.presence")
class EntryPresence(NamedTuple):
    """Shows that an incarnation could append to the log."""

    incarnation: str


@record_kind("entry.leave")
class EntryLeave(NamedTuple):
    """Announces that an incarnation has stopped or is known to be gone."""

    incarnation: str


@record_kind("unit.claim")
class UnitClaim(NamedTuple):
    """Claims a rack or a group of backend servers.

    :param previous_epoch: epoch of the claim that this one follows.
    """

    unit: str
    zone: str
    incarnation: str
    previous_epoch: int


@record_kind("unit.release")
class UnitRelease(NamedTuple):
    """Gives up a claim."""

    unit: str
    incarnation: str
    epoch: int


@record_kind("job.submit")
class JobSubmit(NamedTuple):
    """Accepts a job and assigns it to a unit of workers."""

    job: JobSpec
    unit: str


class MoveReason(StrEnum):
    """Why a job is moved."""

    BALANCE = "balance"
    ZONE_CUT = "zone-cut"


@record_kind("job.move")
class JobMove(NamedTuple):
    """Assigns an unfinished job to another unit.

    :param epoch: epoch of the claim on ``from_unit``.
    :param seen_offset: for a zone that is cut off, an offset after which
        no owner of ``from_unit`` may have shown its presence.
    """

    job_id: str
    from_unit: str
    to_unit: str
    epoch: int
    reason: MoveReason = MoveReason.BALANCE
    seen_offset: int = -1


@record_kind("job.cancel")
class JobCancel(NamedTuple):
    """Cancels a job."""

    job_id: str


@record_kind("task.end")
class TaskEnd(NamedTuple):
    """Records how an attempt of a task ended."""

    job_id: str
    task: int
    attempt: int
    outcome: TaskOutcome


@record_kind("request.intent")
class RequestIntent(NamedTuple):
    """Names the incarnation that alone may execute a keyed request.

    :param digest: digest of the request, to refuse reuse of a key.
    """

    key: str
    entry: str
    incarnation: str
    digest: str


@record_kind("snapshot.part")
class SnapshotPart(NamedTuple):
    """One part of a snapshot of the fold.

    :param offset: offset of the next record after the snapshot.
    :param digest: digest of the whole encoded state.
    :param data: this part, base64.
    """

    offset: int
    digest: str
    part: int
    parts: int
    data: str


RecordEntry = (
    CataloguePut
    | CatalogueDelete
    | EntryJoin
    | EntryPresence
    | EntryLeave
    | UnitClaim
    | UnitRelease
    | JobSubmit
    | JobMove
    | JobCancel
    | TaskEnd
    | RequestIntent
    | SnapshotPart
)


class UnknownEntry(NamedTuple):
    """An entry of a kind that this version does not know."""

    kind: str


class InvalidEntry(NamedTuple):
    """An entry of a known kind that breaks its schema."""

    kind: str
    problem: str


class Envelope(NamedTuple):
    """A decoded log record.

    :param writer: incarnation that appended it, empty for operators.
    :param seq: number within the writer's records, from 1.
    :param base: offset that the writer had applied when it was formed.
    """

    entries: tuple[RecordEntry | UnknownEntry | InvalidEntry, ...]
    writer: str = ""
    seq: int = 0
    base: int = 0
