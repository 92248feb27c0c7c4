"""Tracking of the attempts of owned racks until their end is recorded."""

from __future__ import annotations

from typing import TYPE_CHECKING

from magnoliapitch.catalogue.entry import WorkClass
from magnoliapitch.decision.interface import TaskRequest
from magnoliapitch.job.attempt import Attempt
from magnoliapitch.job.attempt import AttemptState
from magnoliapitch.job.attempt import TaskKey
from magnoliapitch.job.spec import AttemptKey
from magnoliapitch.job.spec import TaskOutcome
from magnoliapitch.job.spec import parse_lease_id
from magnoliapitch.journal.record import TaskEnd
from magnoliapitch.ownership.fence import FencePhase
from magnoliapitch.worker.lease import LeaseKind
from magnoliapitch.worker.lease import LeaseState
from magnoliapitch.worker.lease import LeaseView
from magnoliapitch.worker.lease import WorkerView


if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping

    from magnoliapitch.clock import Clock
    from magnoliapitch.decision.interface import Scheduler
    from magnoliapitch.job.backlog import Backlog
    from magnoliapitch.job.channel import PlannedCall
    from magnoliapitch.job.channel import WorkerChannel
    from magnoliapitch.journal.journal import Journal
    from magnoliapitch.journal.pending_record_entry import PendingRecordEntry
    from magnoliapitch.journal.state import JobRecord
    from magnoliapitch.ownership.presence_lease import PresenceLease


NO_PRESENCE_RETRY_DELAY_MS = 1_000


class AttemptTracker:
    """Tracks every attempt that may run or whose end is not recorded.

    It compares them with the workers' views and with the job records of the
    journal. The next attempt of a task is only queued when every earlier one
    has certainly ended and the journal has applied the record of its end.

    ``key in tracker`` tells whether a task has such an attempt.
    """

    def __init__(
        self,
        journal: Journal,
        scheduler: Scheduler,
        backlog: Backlog,
        presence_lease: PresenceLease,
        clock: Clock,
    ) -> None:
        self._journal = journal
        self._presence_lease = presence_lease
        self._clock = clock
        self._scheduler = scheduler
        self._backlog = backlog
        self._attempts_by_task: dict[TaskKey, dict[int, Attempt]] = {}
        self._pending_ends_by_task: dict[TaskKey, PendingRecordEntry] = {}

    def __contains__(self, key: object) -> bool:
        return key in self._attempts_by_task

    def lease_ids(self) -> tuple[str, ...]:
        """Return the lease ids of all tracked attempts."""
        return tuple(
            attempt.request.attempt_id
            for attempt_by_number in self._attempts_by_task.values()
            for attempt in attempt_by_number.values()
        )

    def add(self, channel: WorkerChannel, attempt: Attempt) -> None:
        """Start to track an attempt on a worker."""
        attempt_by_number = self._attempts_by_task.setdefault(
            attempt.task_key, {}
        )
        attempt_by_number[attempt.key.attempt] = attempt
        channel.attempts_by_lease[attempt.request.attempt_id] = attempt

    def has_unconfirmed_grant(self, channel: WorkerChannel) -> bool:
        """Return whether a grant is unsent or not confirmed by the worker."""
        return any(
            attempt.state in (AttemptState.PLACED, AttemptState.SENT)
            for attempt in channel.attempts_by_lease.values()
        )

    def observe(
        self, channel: WorkerChannel, view: WorkerView, now_ms: int
    ) -> None:
        """Update the attempts on a worker from its view.

        Leases of tasks that are not tracked, for example those granted by an
        earlier owner, are adopted unless a later owner has claimed the rack.
        """
        leases_by_id = {
            lease.lease_id: lease
            for lease in view.leases
            if lease.kind is LeaseKind.TASK
        }
        for lease_id, attempt in list(channel.attempts_by_lease.items()):
            lease = leases_by_id.get(lease_id)
            if lease is not None:
                self._observe_listed(channel, attempt, lease, now_ms)
            else:
                self._observe_absent(channel, attempt, view, now_ms)
        if channel.fence.phase is FencePhase.YIELDED:
            return
        for lease_id, lease in leases_by_id.items():
            if lease_id not in channel.attempts_by_lease:
                self._adopt_lease(channel, lease, now_ms)

    def record_failed_start(
        self,
        channel: WorkerChannel,
        call: PlannedCall,
        is_not_run: bool,
        now_ms: int,
    ) -> None:
        """Requeue the tasks of a start call that failed without effect.

        If it may have had an effect, the attempts count as running until
        a view of the worker shows their state or their leases expire.

        :param is_not_run: whether the call certainly did not take effect.
        """
        if not is_not_run:
            return
        for lease_id in call.lease_ids:
            attempt = channel.attempts_by_lease.get(lease_id)
            if attempt is not None and attempt.state is AttemptState.SENT:
                self.requeue(channel, attempt, now_ms)

    def requeue_unsent(self, channel: WorkerChannel, now_ms: int) -> None:
        """Requeue the tasks of placed attempts whose grant was not sent."""
        lease_ids, channel.pending_starts = tuple(channel.pending_starts), {}
        for lease_id in lease_ids:
            attempt = channel.attempts_by_lease.get(lease_id)
            if attempt is not None:
                self.requeue(channel, attempt, now_ms)

    def requeue_without_presence(
        self, channel: WorkerChannel, now_ms: int
    ) -> None:
        """Requeue tasks that this owner has placed but may not grant now.

        Its presence lease does not cover their catalogue entry.
        """
        for lease_id in tuple(channel.pending_starts):
            attempt = channel.attempts_by_lease.get(lease_id)
            if attempt is not None and not self._may_keep(attempt):
                self.requeue(
                    channel, attempt, now_ms + NO_PRESENCE_RETRY_DELAY_MS
                )

    def requeue(
        self, channel: WorkerChannel, attempt: Attempt, now_ms: int
    ) -> None:
        """Requeue the task of an attempt that certainly never started.

        :param now_ms: local monotonic time from which the task may be placed
            again, in milliseconds.
        """
        self._remove(channel, attempt)
        lease_id = attempt.request.attempt_id
        self._scheduler.record_task_end(lease_id, TaskOutcome.LOST, now_ms)
        self._backlog.add_task(attempt.task_key, now_ms)

    def remove_channel(self, channel: WorkerChannel, now_ms: int) -> None:
        """Stop tracking the attempts of a worker that is no longer owned."""
        for attempt in list(channel.attempts_by_lease.values()):
            self._remove(channel, attempt)
            if attempt.state is not AttemptState.ENDED:
                lease_id = attempt.request.attempt_id
                self._scheduler.record_task_end(
                    lease_id, TaskOutcome.LOST, now_ms
                )

    def end_expired_unreachable(
        self, channels_by_worker: Mapping[str, WorkerChannel], now_ms: int
    ) -> None:
        """End the attempts on unreachable workers that cannot run any more.

        Their leases have certainly expired on the workers' clocks.
        """
        for channel in channels_by_worker.values():
            if (
                not channel.consecutive_failures
                or not channel.attempts_by_lease
            ):
                continue
            for attempt in list(channel.attempts_by_lease.values()):
                if attempt.state is AttemptState.ENDED:
                    continue
                expires_at_ms = attempt.expires_at_ms
                if channel.fence.has_worker_clock_passed(
                    expires_at_ms, now_ms
                ):
                    self._end(channel, attempt, TaskOutcome.LOST, now_ms)

    def apply_recorded_end(
        self,
        channels_by_worker: Mapping[str, WorkerChannel],
        key: TaskKey,
        job: JobRecord,
        now_ms: int,
        *,
        is_waiting: bool,
    ) -> None:
        """Process the recorded end of an attempt of a task.

        The lease of the attempt is ended on its worker. The task is queued
        again if no attempt is left.

        :param job: record of the job, with the end applied.
        :param is_waiting: whether the job waits until its rack is settled.
        """
        self._pending_ends_by_task.pop(key, None)
        recorded_attempts = job.attempts_by_task.get(key.task, 0)
        attempt_by_number = self._attempts_by_task.get(key, {})
        for number, attempt in list(attempt_by_number.items()):
            channel = channels_by_worker.get(attempt.worker_id)
            if channel is None or number >= recorded_attempts:
                continue
            channel.pending_stops[attempt.request.attempt_id] = None
            if attempt.state is AttemptState.ENDED:
                self._remove(channel, attempt)
        if key not in self._attempts_by_task and not is_waiting:
            self._backlog.retry(key, job, now_ms)

    def request_stops(
        self,
        channels_by_worker: Mapping[str, WorkerChannel],
        lease_ids: Iterable[str],
    ) -> None:
        """Request the end of leases on the workers that they run on."""
        for lease_id in lease_ids:
            attempt_key = parse_lease_id(lease_id)
            if attempt_key is None:
                continue
            key = TaskKey(attempt_key.job_id, attempt_key.task)
            attempt = self._attempts_by_task.get(key, {}).get(
                attempt_key.attempt
            )
            if attempt is None:
                continue
            channel = channels_by_worker.get(attempt.worker_id)
            if channel is not None:
                channel.pending_stops[lease_id] = None

    def _observe_listed(
        self,
        channel: WorkerChannel,
        attempt: Attempt,
        lease: LeaseView,
        now_ms: int,
    ) -> None:
        if attempt.state is AttemptState.ENDED:
            self._record_end(channel, attempt)
            return
        view = channel.fence.view
        boot_id = view.boot_id if view else ""
        attempt.mark_listed(boot_id, lease.expires_at_ms)
        if lease.state is LeaseState.RUNNING:
            self._scheduler.report_usage(lease.lease_id, lease.usage, now_ms)
            if lease.resources != attempt.reserved:
                self._scheduler.record_resize(lease.lease_id, lease.resources)
            return
        self._end(
            channel, attempt, _outcome_of(attempt.request, lease), now_ms
        )

    def _observe_absent(
        self,
        channel: WorkerChannel,
        attempt: Attempt,
        view: WorkerView,
        now_ms: int,
    ) -> None:
        if attempt.state is AttemptState.PLACED:
            return
        if attempt.state is AttemptState.ENDED:
            self._record_end(channel, attempt)
            return
        may_grant_arrive = (
            attempt.state is AttemptState.SENT
            and attempt.boot_id == view.boot_id
            and view.now_ms < attempt.expires_at_ms
        )
        if not may_grant_arrive:
            self._end(channel, attempt, TaskOutcome.LOST, now_ms)

    def _end(
        self,
        channel: WorkerChannel,
        attempt: Attempt,
        outcome: TaskOutcome,
        now_ms: int,
    ) -> None:
        attempt.mark_ended(outcome)
        self._scheduler.record_task_end(
            attempt.request.attempt_id, outcome, now_ms
        )
        self._record_end(channel, attempt)

    def _record_end(self, channel: WorkerChannel, attempt: Attempt) -> None:
        """Enqueue the record of an end, unless it is applied or pending.

        It is called again with every view, and enqueues the record again if
        the previous one ended without being applied. The end of a lost
        attempt is not recorded while the presence lease does not cover the
        task.
        """
        key = attempt.task_key
        with self._journal.locked_state() as state:
            job = state.jobs_by_id.get(key.job_id)
            recorded_attempts = (
                job.attempts_by_task.get(key.task, 0) if job else 0
            )
            is_over = (
                job is None or job.is_done or job.unit != channel.worker.unit
            )
        if is_over or recorded_attempts > attempt.key.attempt:
            channel.pending_stops[attempt.request.attempt_id] = None
            self._remove(channel, attempt)
            self._backlog.add_task(key, 0)
            return
        if channel.fence.phase is FencePhase.YIELDED:
            return
        is_lost = attempt.outcome is TaskOutcome.LOST
        if is_lost and not self._may_keep(attempt):
            return
        pending = self._pending_ends_by_task.get(key)
        if pending is not None and pending.outcome is None:
            return
        if attempt.outcome is not None:
            self._pending_ends_by_task[key] = self._journal.enqueue(
                TaskEnd(*attempt.key, attempt.outcome)
            )

    def _may_keep(self, attempt: Attempt) -> bool:
        return self._presence_lease.may_keep_tasks(
            attempt.request.entry, self._clock.now_ms()
        )

    def _adopt_lease(
        self, channel: WorkerChannel, lease: LeaseView, now_ms: int
    ) -> None:
        attempt_key = parse_lease_id(lease.lease_id)
        with self._journal.locked_state() as state:
            job = (
                state.jobs_by_id.get(attempt_key.job_id)
                if attempt_key
                else None
            )
            versioned_entry = state.catalogue_by_name.get(lease.entry)
        if attempt_key is None:
            return
        entry = versioned_entry.entry if versioned_entry else None
        request = TaskRequest(
            lease.lease_id,
            attempt_key.job_id,
            lease.entry,
            entry.owner if entry else "",
            entry.work_class if entry else WorkClass.BATCH,
            lease.resources,
            job.spec.run_ms if job else 1,
            now_ms,
        )
        worker_id = channel.worker.instance_id
        attempt = Attempt(attempt_key, request, worker_id, lease.resources)
        self.add(channel, attempt)
        self._scheduler.adopt(request, worker_id, lease.resources)
        if _is_obsolete(job, attempt_key, channel):
            channel.pending_stops[lease.lease_id] = None
        self._observe_listed(channel, attempt, lease, now_ms)

    def _remove(self, channel: WorkerChannel, attempt: Attempt) -> None:
        channel.attempts_by_lease.pop(attempt.request.attempt_id, None)
        channel.pending_starts.pop(attempt.request.attempt_id, None)
        attempt_by_number = self._attempts_by_task.get(attempt.task_key, {})
        if attempt_by_number.get(attempt.key.attempt) is attempt:
            del attempt_by_number[attempt.key.attempt]
        if not attempt_by_number:
            self._attempts_by_task.pop(attempt.task_key, None)


def _is_obsolete(
    job: JobRecord | None, attempt_key: AttemptKey, channel: WorkerChannel
) -> bool:
    if job is None or job.is_done or job.unit != channel.worker.unit:
        return True
    return attempt_key.attempt < job.attempts_by_task.get(attempt_key.task, 0)


def _outcome_of(request: TaskRequest, lease: LeaseView) -> TaskOutcome:
    """Return how a lease ended; for a service any end is a failure."""
    is_service = request.work_class is WorkClass.SERVICE
    if lease.state is LeaseState.FINISHED and not is_service:
        return TaskOutcome.FINISHED
    return TaskOutcome.FAILED
