"""Tracking of the attempts of owned racks until their end is recorded."""

from __future__ import annotations

from typing import TYPE_CHECKING

from magnoliapitch.catalogue.entry import WorkClass
from magnoliapitch.job.attempt import AttemptState
from magnoliapitch.job.end_recorder import EndRecorder
from magnoliapitch.job.granted_attempt import find_granted_attempt
from magnoliapitch.job.spec import TaskOutcome
from magnoliapitch.job.tracked_attempts import TrackedAttempts
from magnoliapitch.ownership.fence import FencePhase
from magnoliapitch.worker.lease import LeaseKind
from magnoliapitch.worker.lease import LeaseState


if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping

    from magnoliapitch.clock import Clock
    from magnoliapitch.decision.interface import Scheduler
    from magnoliapitch.decision.interface import TaskRequest
    from magnoliapitch.job.attempt import Attempt
    from magnoliapitch.job.attempt import TaskKey
    from magnoliapitch.job.backlog import Backlog
    from magnoliapitch.job.channel import PlannedCall
    from magnoliapitch.job.channel import WorkerChannel
    from magnoliapitch.journal.journal import Journal
    from magnoliapitch.journal.state import JobRecord
    from magnoliapitch.ownership.presence_lease import PresenceLease
    from magnoliapitch.worker.lease import LeaseView
    from magnoliapitch.worker.lease import WorkerView


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
        self._scheduler = scheduler
        self._backlog = backlog
        self._attempts = TrackedAttempts()
        self._end_recorder = EndRecorder(
            journal, backlog, presence_lease, clock, self._attempts
        )

    def __contains__(self, key: object) -> bool:
        return key in self._attempts

    def lease_ids(self) -> tuple[str, ...]:
        """Return the lease ids of all tracked attempts."""
        return self._attempts.lease_ids()

    def add(self, channel: WorkerChannel, attempt: Attempt) -> None:
        """Start to track an attempt on a worker."""
        self._attempts.add(channel, attempt)

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
            if attempt is not None and not self._end_recorder.may_keep(
                attempt
            ):
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
        self._attempts.remove(channel, attempt)
        lease_id = attempt.request.attempt_id
        self._scheduler.record_task_end(lease_id, TaskOutcome.LOST, now_ms)
        self._backlog.add_task(attempt.task_key, now_ms)

    def remove_channel(self, channel: WorkerChannel, now_ms: int) -> None:
        """Stop tracking the attempts of a worker that is no longer owned."""
        for attempt in list(channel.attempts_by_lease.values()):
            self._attempts.remove(channel, attempt)
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
        self._end_recorder.forget_pending(key)
        recorded_attempts = job.attempts_by_task.get(key.task, 0)
        for number, attempt in self._attempts.of_task(key).items():
            channel = channels_by_worker.get(attempt.worker_id)
            if channel is None or number >= recorded_attempts:
                continue
            channel.pending_stops[attempt.request.attempt_id] = None
            if attempt.state is AttemptState.ENDED:
                self._attempts.remove(channel, attempt)
        if key not in self._attempts and not is_waiting:
            self._backlog.retry(key, job, now_ms)

    def request_stops(
        self,
        channels_by_worker: Mapping[str, WorkerChannel],
        lease_ids: Iterable[str],
    ) -> None:
        """Request the end of leases on the workers that they run on."""
        for lease_id in lease_ids:
            attempt = self._attempts.find(lease_id)
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
            self._end_recorder.record(channel, attempt)
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
            self._end_recorder.record(channel, attempt)
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
        self._end_recorder.record(channel, attempt)

    def _adopt_lease(
        self, channel: WorkerChannel, lease: LeaseView, now_ms: int
    ) -> None:
        found = find_granted_attempt(self._journal, channel, lease, now_ms)
        if found is None:
            return
        attempt = found.attempt
        self.add(channel, attempt)
        self._scheduler.adopt(
            attempt.request, attempt.worker_id, lease.resources
        )
        if found.is_obsolete:
            channel.pending_stops[lease.lease_id] = None
        self._observe_listed(channel, attempt, lease, now_ms)


def _outcome_of(request: TaskRequest, lease: LeaseView) -> TaskOutcome:
    """Return how a lease ended; for a service any end is a failure."""
    is_service = request.work_class is WorkClass.SERVICE
    if lease.state is LeaseState.FINISHED and not is_service:
        return TaskOutcome.FINISHED
    return TaskOutcome.FAILED
