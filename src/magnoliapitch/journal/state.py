"""State that every entry instance derives from the platform's log."""

from __future__ import annotations

from typing import NamedTuple

from magnoliapitch.catalogue.entry import CatalogueEntry
from magnoliapitch.job.spec import JobSpec
from magnoliapitch.job.spec import TaskOutcome
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
    """

    unit: str
    zone: str
    incarnation: str
    epoch: int
    offset: int


class Member(NamedTuple):
    """An incarnation of an entry instance known from the log.

    :param presence_offset: offset of its newest record.
    """

    join: EntryJoin
    presence_offset: int
    left: bool = False


class JobRecord:
    """A job as the log knows it.

    :ivar spec: the accepted job.
    :ivar unit: unit of workers on which its tasks may run.
    :ivar offset: offset of its submission.
    :ivar cancelled: whether it was cancelled.
    :ivar ended_by_task: last recorded outcome of each task.
    :ivar attempts_by_task: number of ended attempts of each task.
    """

    __slots__ = (
        "attempts_by_task",
        "cancelled",
        "ended_by_task",
        "offset",
        "spec",
        "unit",
    )

    def __init__(self, spec: JobSpec, unit: str, offset: int) -> None:
        self.spec = spec
        self.unit = unit
        self.offset = offset
        self.cancelled = False
        self.ended_by_task: dict[int, TaskOutcome] = {}
        self.attempts_by_task: dict[int, int] = {}

    @property
    def finished_tasks(self) -> int:
        """Number of tasks that finished."""
        return sum(
            outcome is TaskOutcome.FINISHED
            for outcome in self.ended_by_task.values()
        )

    @property
    def is_done(self) -> bool:
        """Whether nothing of the job has to run any more."""
        return self.cancelled or self.finished_tasks == self.spec.tasks


class ClusterState:
    """Result of the fold; equal on every instance at equal offsets.

    :ivar next_offset: offset of the next record to apply.
    """

    def __init__(self) -> None:
        self.next_offset = 0
        self.catalogue_by_name: dict[str, VersionedEntry] = {}
        self.last_version_by_name: dict[str, int] = {}
        self.seq_by_writer: dict[str, int] = {}
        self.members_by_incarnation: dict[str, Member] = {}
        self.claims_by_unit: dict[str, Claim] = {}
        self.jobs_by_id: dict[str, JobRecord] = {}
        self.intents_by_key: dict[str, RequestIntent] = {}
        self.skipped_records = 0
