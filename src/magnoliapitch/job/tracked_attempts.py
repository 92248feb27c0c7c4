"""The attempts of owned racks that may run or whose end is not recorded."""

from __future__ import annotations

from typing import TYPE_CHECKING

from magnoliapitch.job.attempt import TaskKey
from magnoliapitch.job.spec import parse_lease_id


if TYPE_CHECKING:
    from magnoliapitch.job.attempt import Attempt
    from magnoliapitch.job.channel import WorkerChannel


class TrackedAttempts:
    """Attempts by task and number, and by lease in the workers' channels.

    ``key in attempts`` tells whether a task has such an attempt.
    """

    def __init__(self) -> None:
        self._attempts_by_task: dict[TaskKey, dict[int, Attempt]] = {}

    def __contains__(self, key: object) -> bool:
        return key in self._attempts_by_task

    def lease_ids(self) -> tuple[str, ...]:
        """Return the lease ids of all attempts."""
        return tuple(
            attempt.request.attempt_id
            for attempt_by_number in self._attempts_by_task.values()
            for attempt in attempt_by_number.values()
        )

    def of_task(self, key: TaskKey) -> dict[int, Attempt]:
        """Return a copy of the attempts of a task, by their numbers."""
        return dict(self._attempts_by_task.get(key, {}))

    def find(self, lease_id: str) -> Attempt | None:
        """Return the attempt of a lease, or None if there is none."""
        attempt_key = parse_lease_id(lease_id)
        if attempt_key is None:
            return None
        key = TaskKey(attempt_key.job_id, attempt_key.task)
        return self._attempts_by_task.get(key, {}).get(attempt_key.attempt)

    def add(self, channel: WorkerChannel, attempt: Attempt) -> None:
        """Add an attempt on a worker."""
        attempt_by_number = self._attempts_by_task.setdefault(
            attempt.task_key, {}
        )
        attempt_by_number[attempt.key.attempt] = attempt
        channel.attempts_by_lease[attempt.request.attempt_id] = attempt

    def remove(self, channel: WorkerChannel, attempt: Attempt) -> None:
        """Remove an attempt, and its start if that is not sent yet."""
        channel.attempts_by_lease.pop(attempt.request.attempt_id, None)
        channel.pending_starts.pop(attempt.request.attempt_id, None)
        attempt_by_number = self._attempts_by_task.get(attempt.task_key, {})
        if attempt_by_number.get(attempt.key.attempt) is attempt:
            del attempt_by_number[attempt.key.attempt]
        if not attempt_by_number:
            self._attempts_by_task.pop(attempt.task_key, None)
