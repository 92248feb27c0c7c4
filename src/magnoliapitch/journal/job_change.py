"""Changes of jobs and tasks by applied records."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

from magnoliapitch.journal.record import JobCancel
from magnoliapitch.journal.record import JobMove
from magnoliapitch.journal.record import JobSubmit
from magnoliapitch.journal.record import TaskEnd


if TYPE_CHECKING:
    from magnoliapitch.journal.state_machine import RecordOutcome


class JobChange(NamedTuple):
    """Change of a job or of one of its tasks by an applied record.

    :param task: index of the task within its job; -1 for the whole job.
    """

    job_id: str
    task: int = -1


class JobChangeFeed:
    """Collects the changes of jobs and tasks without duplicates."""

    def __init__(self) -> None:
        self._changes: dict[JobChange, None] = {}

    def add(self, outcome: RecordOutcome) -> None:
        """Add the jobs and tasks that an applied record has changed."""
        for entry, result in zip(
            outcome.entries, outcome.outcomes, strict=False
        ):
            change = _change_of(entry) if result.applied else None
            if change is not None:
                self._changes[change] = None

    def take(self) -> tuple[JobChange, ...]:
        """Remove and return the collected changes, oldest first."""
        changes, self._changes = tuple(self._changes), {}
        return changes


def _change_of(entry: object) -> JobChange | None:
    match entry:
        case JobSubmit():
            return JobChange(entry.job.job_id)
        case JobMove() | JobCancel():
            return JobChange(entry.job_id)
        case TaskEnd():
            return JobChange(entry.job_id, entry.task)
    return None
