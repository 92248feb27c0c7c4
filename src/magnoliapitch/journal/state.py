"""Replicated state that each entry instance builds from the log."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import NamedTuple

from magnoliapitch.catalogue.entry import CatalogueEntry
from magnoliapitch.job.spec import JobSpec  # noqa: TC001
from magnoliapitch.job.spec import TaskOutcome  # noqa: TC001
from magnoliapitch.journal.record import MemberJoin
from magnoliapitch.journal.record import RequestIntent


class VersionedEntry(NamedTuple):
    """Current catalogue entry of a name.

    :param version: version of the name, increased by each accepted change.
    :param offset: offset of the record that created this version.
    """

    entry: CatalogueEntry
    version: int
    offset: int


class Claim(NamedTuple):
    """Newest claim on a unit: a rack or a group of backend servers.

    :param incarnation: the owner; empty after a release.
    :param epoch: fencing token, increased by each claim on the unit.
    :param offset: offset of the claim or of its release.
    :param predecessors: earlier owners that did not release the unit and
        have not left, and so may still act as its owner.
    :param after_release: whether the previous claim had been released.
    """

    unit: str
    zone: str
    incarnation: str
    epoch: int
    offset: int
    predecessors: tuple[str, ...] = ()
    after_release: bool = False


class Member(NamedTuple):
    """Incarnation of an entry instance that has joined.

    :param presence_offset: offset of its newest join, heartbeat or leave
        record.
    :param left: whether the incarnation has stopped for good.
    """

    join: MemberJoin
    presence_offset: int
    left: bool = False


class WriterMark(NamedTuple):
    """Newest applied record of a writer, to detect duplicates.

    :param seq: the record's sequence number.
    :param offset: the record's offset.
    """

    seq: int
    offset: int


class SnapshotProgress(NamedTuple):
    """Snapshot of which the log holds some, but not all parts.

    :param offset: offset of the first record that the snapshot does not
        cover.
    :param digest: digest of the whole compressed snapshot.
    :param next_part: index of the part that must follow.
    :param parts: number of parts of the snapshot.
    :param record_offset: offset of the record with the newest part.
    """

    offset: int
    digest: str
    next_part: int
    parts: int
    record_offset: int


@dataclass(slots=True)
class JobRecord:
    """Job with the progress that is recorded in the log.

    :ivar spec: the accepted job.
    :ivar unit: unit of workers on which its tasks may run.
    :ivar offset: offset of its submission.
    :ivar cancelled: whether it was cancelled.
    :ivar ended_by_task: outcome of the last ended attempt of each task.
    :ivar attempts_by_task: number of ended attempts of each task.
    :ivar done_offset: next offset when the expiry first found the job
        done; -1 if it has not.
    :ivar finished_tasks: number of tasks that finished successfully.
    """

    spec: JobSpec
    unit: str
    offset: int
    cancelled: bool = False
    ended_by_task: dict[int, TaskOutcome] = field(default_factory=dict)
    attempts_by_task: dict[int, int] = field(default_factory=dict)
    done_offset: int = -1
    finished_tasks: int = 0

    @property
    def is_done(self) -> bool:
        """Whether the job is cancelled or all its tasks have finished."""
        return self.cancelled or self.finished_tasks == self.spec.tasks

    @property
    def open_tasks(self) -> int:
        """Number of unfinished tasks; 0 for a cancelled job."""
        return 0 if self.cancelled else self.spec.tasks - self.finished_tasks


@dataclass(slots=True)
class ClusterState:
    """Replicated state; equal on all instances at the same offset.

    Every field is part of the snapshots.

    :ivar next_offset: offset of the next record to apply.
    :ivar catalogue_by_name: current catalogue entries.
    :ivar last_version_by_name: newest version of each name, including
        deleted ones.
    :ivar version_floor: highest version of a deleted name that was
        dropped from ``last_version_by_name``; names that are not listed
        there continue from it.
    :ivar marks_by_writer: newest applied record of each writer.
    :ivar members_by_incarnation: incarnations that have joined.
    :ivar claims_by_unit: newest claim on each unit.
    :ivar jobs_by_id: jobs in the order of their submission.
    :ivar open_tasks_by_unit: number of unfinished tasks of each unit.
    :ivar open_tasks_by_entry: number of unfinished tasks of each
        catalogue entry.
    :ivar intents_by_key: reservations of idempotency keys.
    :ivar intent_offset_by_key: offset of each reservation, in order.
    :ivar progress_by_snapshot: incomplete snapshots, by ``OFFSET:DIGEST``.
    :ivar snapshot_offset: offset of the newest complete snapshot.
    :ivar skipped_records: number of malformed records and of record
        entries of an unknown or invalid kind.
    """

    next_offset: int = 0
    catalogue_by_name: dict[str, VersionedEntry] = field(default_factory=dict)
    last_version_by_name: dict[str, int] = field(default_factory=dict)
    version_floor: int = 0
    marks_by_writer: dict[str, WriterMark] = field(default_factory=dict)
    members_by_incarnation: dict[str, Member] = field(default_factory=dict)
    claims_by_unit: dict[str, Claim] = field(default_factory=dict)
    jobs_by_id: dict[str, JobRecord] = field(default_factory=dict)
    open_tasks_by_unit: dict[str, int] = field(default_factory=dict)
    open_tasks_by_entry: dict[str, int] = field(default_factory=dict)
    intents_by_key: dict[str, RequestIntent] = field(default_factory=dict)
    intent_offset_by_key: dict[str, int] = field(default_factory=dict)
    progress_by_snapshot: dict[str, SnapshotProgress] = field(
        default_factory=dict
    )
    snapshot_offset: int = 0
    skipped_records: int = 0
