"""State of one attempt of a task, from placement to its recorded end."""

from __future__ import annotations

from enum import StrEnum
from typing import TYPE_CHECKING
from typing import NamedTuple


if TYPE_CHECKING:
    from magnoliapitch.decision.interface import TaskRequest
    from magnoliapitch.job.spec import AttemptKey
    from magnoliapitch.job.spec import TaskOutcome
    from magnoliapitch.resource import Resources


class TaskKey(NamedTuple):
    """Identity of a task, the same for all its attempts.

    Tasks of jobs with steps have another key, that of
    :mod:`magnoliapitch.workload.job`.

    :param task: number of the task in its job, from 0.
    """

    job_id: str
    task: int


class AttemptState(StrEnum):
    """What an owner knows of an attempt.

    - ``PLACED``: assigned to a worker, but no grant has been sent.
    - ``SENT``: the grant was sent; the worker may or may not have it.
    - ``LISTED``: the worker has reported the lease.
    - ``ENDED``: it certainly runs no more, but its end is not recorded yet.
    """

    PLACED = "placed"
    SENT = "sent"
    LISTED = "listed"
    ENDED = "ended"


class Attempt:
    """An attempt that may run on a worker, or whose end is not recorded.

    :ivar request: scheduler's request for the task; its ``attempt_id`` is
        the lease id of the attempt.
    :ivar reserved: resources that are reserved on the worker.
    :ivar payload: opaque input of the task.
    :ivar boot_id: boot of the worker for which the lease was granted.
    :ivar expires_at_ms: latest expiry that the lease can have, in
        milliseconds of the worker's clock.
    :ivar outcome: how the attempt ended, ``None`` before.
    """

    __slots__ = (
        "boot_id",
        "expires_at_ms",
        "key",
        "outcome",
        "payload",
        "request",
        "reserved",
        "state",
        "worker_id",
    )

    def __init__(
        self,
        key: AttemptKey,
        request: TaskRequest,
        worker_id: str,
        reserved: Resources,
        payload: str = "",
    ) -> None:
        self.key = key
        self.request = request
        self.worker_id = worker_id
        self.reserved = reserved
        self.payload = payload
        self.state = AttemptState.PLACED
        self.boot_id = ""
        self.expires_at_ms = 0
        self.outcome: TaskOutcome | None = None

    @property
    def task_key(self) -> TaskKey:
        """Key of the task that this attempt belongs to."""
        return TaskKey(self.key.job_id, self.key.task)

    def mark_sent(self, boot_id: str, expires_at_ms: int) -> None:
        """Record that the grant is being sent to the worker.

        :param expires_at_ms: expiry of the lease on the worker's clock.
        """
        self.state = AttemptState.SENT
        self.boot_id = boot_id
        self.expires_at_ms = expires_at_ms

    def mark_listed(self, boot_id: str, expires_at_ms: int) -> None:
        """Record that the worker has reported the lease.

        :param expires_at_ms: reported expiry on the worker's clock.
        """
        self.state = AttemptState.LISTED
        self.boot_id = boot_id
        self.extend(expires_at_ms)

    def extend(self, expires_at_ms: int) -> None:
        """Record an expiry that a renewal may give to the lease.

        :param expires_at_ms: time of the worker's clock; an earlier one
            than the latest known changes nothing.
        """
        self.expires_at_ms = max(self.expires_at_ms, expires_at_ms)

    def mark_ended(self, outcome: TaskOutcome) -> None:
        """Record that the attempt certainly runs no more."""
        self.state = AttemptState.ENDED
        self.outcome = outcome
