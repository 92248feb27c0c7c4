"""State that every entry instance derives from the platform's log."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import NamedTuple

from magnoliapitch.catalogue.entry import CatalogueEntry
from magnoliapitch.job.spec import JobSpec  # noqa: TC001
from magnoliapitch.job.spec import TaskOutcome  # noqa: TC001
from magnoliapitch.journal.record import EntryJoin
from magnoliapitch.journal.record import RequestIntent


class VersionedEntry(NamedTuple):
    """A catalogue entry in force.

    :param version: number of accepted changes to this name.
    :param offset: offset of the record that put it in force.
    """

    entry: CatalogueEntry
    version: int
    offset: int


class Claim(NamedTuple):
    """Current claim on a unit.

    :param incarnation: owner, empty after a release.
    :param epoch: increases with each claim on the unit.
    :param predecessors: earlier owners that have not given the unit up.
    :param after_release: whether the previous claim had been given up.
    """

    unit: str
    zone: str
    incarnation: str
    epoch: int
    offset: int
    predecessors: tuple[str, ...] = ()
    after_release: bool = False


class Member(NamedTuple):
    """An incarnation of an entry instance known from the log.

    :param presence_offset: offset of its newest record.
    """

    join: EntryJoin
    presence_offset: int
    left: bool = False


class WriterMark(NamedTuple):
    """Newest record of a writer.

    :param seq: its sequence number.
    :param offset: its offset.
    """

    seq: int
    offset: int


class SnapshotProgress(NamedTuple):
    """A snapshot of which the log holds some parts.

    :param offset: offset of the next record after the snapshot.
    :param next_part: number of the part that must follow.
    :param record_offset: offset of the newest part.
    """

    offset: int
    digest: str
    next_part: int
    parts: int
    record_offset: int


@dataclass(slots=True)
class JobRecord:
    """A job as the log knows it.

    :ivar spec: the accepted job.
    :ivar unit: unit of workers on which its tasks may run.
    :ivar offset: offset of its submission.
    :ivar cancelled: whether it was cancelled.
    :ivar ended_by_task: last recorded outcome of each task.
    :ivar attempts_by_task: number of ended attempts of each task.
    :ivar done_offset: offset at which it was found done, -1 for never.
    :ivar finished_tasks: number of tasks that finished.
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
        """Whether nothing of the job has to run any more."""
        return self.cancelled or self.finished_tasks == self.spec.tasks

    @property
    def open_tasks(self) -> int:
        """Number of tasks that still have to finish."""
        return 0 if self.cancelled else self.spec.tasks - self.finished_tasks


@dataclass(slots=True)
class ClusterState:
    """Result of the fold; equal on every instance at equal offsets.

    Every field is part of the snapshots.

    :ivar next_offset: offset of the next record to apply.
    :ivar version_floor: highest version of a forgotten deleted name.
    :ivar open_tasks_by_unit: tasks of each unit that have not finished.
    :ivar open_tasks_by_entry: the same for each catalogue entry.
    :ivar snapshot_offset: offset of the newest complete snapshot.
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
