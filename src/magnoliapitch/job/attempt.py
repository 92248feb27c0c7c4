"""One attempt of a task, from its placement to its recorded end."""

from __future__ import annotations

from enum import StrEnum
from typing import TYPE_CHECKING
from typing import NamedTuple


if TYPE_CHECKING:
    from magnoliapitch.decision.interface import TaskRequest
    from magnoliapitch.job.spec import AttemptName
    from magnoliapitch.job.spec import TaskOutcome
    from magnoliapitch.resource import Resources


class TaskKey(NamedTuple):
    """Identifies a task over all its attempts."""

    job_id: str
    task: int


class AttemptState(StrEnum):
    """What is known of an attempt."""

    PLACED = "placed"
    SENT = "sent"
    LISTED = "listed"
    ENDED = "ended"


class Attempt:
    """An attempt that may run on a worker, or whose end is not recorded.

    :ivar expires_at_ms: latest expiry that its lease can have, on the
        worker's clock.
    :ivar boot_id: boot of the worker that the lease was granted on.
    :ivar outcome: how it ended.
    """

    __slots__ = (
        "boot_id",
        "expires_at_ms",
        "name",
        "outcome",
        "payload",
        "reserved",
        "state",
        "task",
        "worker_id",
    )

    def __init__(
        self,
        name: AttemptName,
        task: TaskRequest,
        worker_id: str,
        reserved: Resources,
        payload: str = "",
    ) -> None:
        self.name = name
        self.task = task
        self.worker_id = worker_id
        self.reserved = reserved
        self.payload = payload
        self.state = AttemptState.PLACED
        self.boot_id = ""
        self.expires_at_ms = 0
        self.outcome: TaskOutcome | None = None

    @property
    def key(self) -> TaskKey:
        """The task that this is an attempt of."""
        return TaskKey(self.name.job_id, self.name.task)

    def mark_sent(self, boot_id: str, expires_at_ms: int) -> None:
        """Note that its grant leaves now."""
        self.state = AttemptState.SENT
        self.boot_id = boot_id
        self.expires_at_ms = expires_at_ms

    def mark_listed(self, boot_id: str, expires_at_ms: int) -> None:
        """Note that the worker listed its lease."""
        self.state = AttemptState.LISTED
        self.boot_id = boot_id
        self.extend(expires_at_ms)

    def extend(self, expires_at_ms: int) -> None:
        """Note an expiry that its lease may get."""
        self.expires_at_ms = max(self.expires_at_ms, expires_at_ms)

    def mark_ended(self, outcome: TaskOutcome) -> None:
        """Note that it surely runs no more."""
        self.state = AttemptState.ENDED
        self.outcome = outcome
