"""Which jobs and tasks a record has changed, for those who follow them."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

from magnoliapitch.journal.record import JobCancel
from magnoliapitch.journal.record import JobMove
from magnoliapitch.journal.record import JobSubmit
from magnoliapitch.journal.record import TaskEnd


if TYPE_CHECKING:
    from magnoliapitch.journal.state_machine import RecordOutcome


class ChangedTask(NamedTuple):
    """A task, or a whole job, that a record has changed.

    :param task: number of the task, -1 for the job.
    """

    job_id: str
    task: int = -1


class ChangeFeed:
    """Collects changes, each once, until they are taken."""

    def __init__(self) -> None:
        self._changes: dict[ChangedTask, None] = {}

    def add(self, outcome: RecordOutcome) -> None:
        """Add what the entries of a record have changed."""
        for entry, result in zip(
            outcome.entries, outcome.outcomes, strict=False
        ):
            change = _change_of(entry) if result.applied else None
            if change is not None:
                self._changes[change] = None

    def take(self) -> tuple[ChangedTask, ...]:
        """Return the changes since the last time, in their order."""
        changes, self._changes = tuple(self._changes), {}
        return changes


def _change_of(entry: object) -> ChangedTask | None:
    match entry:
        case JobSubmit():
            return ChangedTask(entry.job.job_id)
        case JobMove() | JobCancel():
            return ChangedTask(entry.job_id)
        case TaskEnd():
            return ChangedTask(entry.job_id, entry.task)
    return None
