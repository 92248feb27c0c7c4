"""Records of the ends of attempts, enqueued until the journal has them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from magnoliapitch.job.granted_attempt import is_obsolete
from magnoliapitch.job.spec import TaskOutcome
from magnoliapitch.journal.record import TaskEnd
from magnoliapitch.ownership.fence import FencePhase


if TYPE_CHECKING:
    from magnoliapitch.clock import Clock
    from magnoliapitch.job.attempt import Attempt
    from magnoliapitch.job.attempt import TaskKey
    from magnoliapitch.job.backlog import Backlog
    from magnoliapitch.job.channel import WorkerChannel
    from magnoliapitch.job.tracked_attempts import TrackedAttempts
    from magnoliapitch.journal.journal import Journal
    from magnoliapitch.journal.pending_record_entry import PendingRecordEntry
    from magnoliapitch.ownership.presence_lease import PresenceLease


class EndRecorder:
    """Enqueues the record of an attempt's end until it is applied.

    :param attempts: an attempt is removed from it if its end needs no record.
    """

    def __init__(
        self,
        journal: Journal,
        backlog: Backlog,
        presence_lease: PresenceLease,
        clock: Clock,
        attempts: TrackedAttempts,
    ) -> None:
        self._journal = journal
        self._backlog = backlog
        self._presence_lease = presence_lease
        self._clock = clock
        self._attempts = attempts
        self._pending_ends_by_task: dict[TaskKey, PendingRecordEntry] = {}

    def record(self, channel: WorkerChannel, attempt: Attempt) -> None:
        """Enqueue the record of an end, unless it is applied or pending.

        It is called again with every view, and enqueues the record again if
        the previous one ended without being applied. The end of a lost
        attempt is not recorded while the presence lease does not cover the
        task.
        """
        key = attempt.task_key
        with self._journal.locked_state() as state:
            job = state.jobs_by_id.get(key.job_id)
            needs_no_record = is_obsolete(job, attempt.key, channel)
        if needs_no_record:
            channel.pending_stops[attempt.request.attempt_id] = None
            self._attempts.remove(channel, attempt)
            self._backlog.add_task(key, 0)
            return
        if channel.fence.phase is FencePhase.YIELDED:
            return
        is_lost = attempt.outcome is TaskOutcome.LOST
        if is_lost and not self.may_keep(attempt):
            return
        pending = self._pending_ends_by_task.get(key)
        if pending is not None and pending.outcome is None:
            return
        if attempt.outcome is not None:
            self._pending_ends_by_task[key] = self._journal.enqueue(
                TaskEnd(*attempt.key, attempt.outcome)
            )

    def may_keep(self, attempt: Attempt) -> bool:
        """Return whether the presence lease covers the attempt's task."""
        return self._presence_lease.may_keep_tasks(
            attempt.request.entry, self._clock.now_ms()
        )

    def forget_pending(self, key: TaskKey) -> None:
        """Forget the record of a task's end, since the journal has one."""
        self._pending_ends_by_task.pop(key, None)
