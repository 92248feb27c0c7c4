"""Attempts of the owned racks, and what replies and the fold say of them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from magnoliapitch.catalogue.entry import WorkClass
from magnoliapitch.decision.interface import TaskRequest
from magnoliapitch.job.attempt import Attempt
from magnoliapitch.job.attempt import AttemptState
from magnoliapitch.job.attempt import TaskKey
from magnoliapitch.job.spec import AttemptName
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
    from magnoliapitch.journal.pending_entry import PendingEntry
    from magnoliapitch.journal.state import JobRecord
    from magnoliapitch.ownership.presence_lease import PresenceLease


UNHELD_RETRY_MS = 1_000


class AttemptTracker:
    """Knows every attempt that may run or whose end is not recorded.

    The next attempt of a task is only handed over once every earlier one
    has surely ended and the fold has counted its end.
    """

    def __init__(
        self,
        journal: Journal,
        scheduler: Scheduler,
        backlog: Backlog,
        hold: PresenceLease,
        clock: Clock,
    ) -> None:
        self._journal = journal
        self._hold = hold
        self._clock = clock
        self._scheduler = scheduler
        self._backlog = backlog
        self._attempts_by_task: dict[TaskKey, dict[int, Attempt]] = {}
        self._ends_by_task: dict[TaskKey, PendingEntry] = {}

    def __contains__(self, key: object) -> bool:
        return key in self._attempts_by_task

    def lease_ids(self) -> tuple[str, ...]:
        """Return the lease ids of all attempts."""
        return tuple(
            attempt.task.attempt_id
            for attempts_by_number in self._attempts_by_task.values()
            for attempt in attempts_by_number.values()
        )

    def add(self, channel: WorkerChannel, attempt: Attempt) -> None:
        """Track an attempt on a worker."""
        attempts_by_number = self._attempts_by_task.setdefault(attempt.key, {})
        attempts_by_number[attempt.name.attempt] = attempt
        channel.attempts_by_lease[attempt.task.attempt_id] = attempt

    def is_unsure(self, channel: WorkerChannel) -> bool:
        """Return whether a grant may still arrive at a worker."""
        return any(
            attempt.state in (AttemptState.PLACED, AttemptState.SENT)
            for attempt in channel.attempts_by_lease.values()
        )

    def observe(
        self, channel: WorkerChannel, view: WorkerView, now_ms: int
    ) -> None:
        """Compare a worker's view with the attempts on it."""
        listed = {
            lease.lease_id: lease
            for lease in view.leases
            if lease.kind is LeaseKind.TASK
        }
        for lease_id, attempt in list(channel.attempts_by_lease.items()):
            lease = listed.get(lease_id)
            if lease is not None:
                self._observe_listed(channel, attempt, lease, now_ms)
            else:
                self._observe_absent(channel, attempt, view, now_ms)
        if channel.fence.phase is FencePhase.YIELDED:
            return
        for lease_id, lease in listed.items():
            if lease_id not in channel.attempts_by_lease:
                self._adopt(channel, lease, now_ms)

    def start_failed(
        self,
        channel: WorkerChannel,
        call: PlannedCall,
        certain: bool,
        now_ms: int,
    ) -> None:
        """Take back a start that surely did not reach the worker.

        Otherwise its attempts count as running until a view shows more.
        """
        if not certain:
            return
        for lease_id in call.lease_ids:
            attempt = channel.attempts_by_lease.get(lease_id)
            if attempt is not None and attempt.state is AttemptState.SENT:
                self.take_back(channel, attempt, now_ms)

    def take_back_all(self, channel: WorkerChannel, now_ms: int) -> None:
        """Take back every placement that has not been sent."""
        lease_ids, channel.starts = tuple(channel.starts), {}
        for lease_id in lease_ids:
            attempt = channel.attempts_by_lease.get(lease_id)
            if attempt is not None:
                self.take_back(channel, attempt, now_ms)

    def take_back_unheld(self, channel: WorkerChannel, now_ms: int) -> None:
        """Take back placements that the owner may not grant any more."""
        for lease_id in tuple(channel.starts):
            attempt = channel.attempts_by_lease.get(lease_id)
            if attempt is not None and not self._holds(attempt):
                self.take_back(channel, attempt, now_ms + UNHELD_RETRY_MS)

    def take_back(
        self, channel: WorkerChannel, attempt: Attempt, now_ms: int
    ) -> None:
        """Queue an attempt again that surely never started.

        :param now_ms: time from which it may be placed.
        """
        self._forget(channel, attempt)
        lease_id = attempt.task.attempt_id
        self._scheduler.record_task_end(lease_id, TaskOutcome.LOST, now_ms)
        self._backlog.add_task(attempt.key, now_ms)

    def forget_channel(self, channel: WorkerChannel, now_ms: int) -> None:
        """Forget the attempts of a worker that is not owned any more."""
        for attempt in list(channel.attempts_by_lease.values()):
            self._forget(channel, attempt)
            if attempt.state is not AttemptState.ENDED:
                lease_id = attempt.task.attempt_id
                self._scheduler.record_task_end(
                    lease_id, TaskOutcome.LOST, now_ms
                )

    def end_unreachable(
        self, channels_by_worker: Mapping[str, WorkerChannel], now_ms: int
    ) -> None:
        """End attempts whose leases have surely expired out of reach."""
        for channel in channels_by_worker.values():
            if not channel.failures or not channel.attempts_by_lease:
                continue
            for attempt in list(channel.attempts_by_lease.values()):
                if attempt.state is AttemptState.ENDED:
                    continue
                expires_at_ms = attempt.expires_at_ms
                if channel.fence.has_worker_clock_passed(
                    expires_at_ms, now_ms
                ):
                    self._end(channel, attempt, TaskOutcome.LOST, now_ms)

    def follow_end(
        self,
        channels_by_worker: Mapping[str, WorkerChannel],
        key: TaskKey,
        job: JobRecord,
        now_ms: int,
        *,
        held: bool,
    ) -> None:
        """Act on the recorded end of an attempt.

        :param held: whether the task waits for its rack to settle.
        """
        self._ends_by_task.pop(key, None)
        counted = job.attempts_by_task.get(key.task, 0)
        attempts_by_number = self._attempts_by_task.get(key, {})
        for number, attempt in list(attempts_by_number.items()):
            channel = channels_by_worker.get(attempt.worker_id)
            if channel is None or number >= counted:
                continue
            channel.stops[attempt.task.attempt_id] = None
            if attempt.state is AttemptState.ENDED:
                self._forget(channel, attempt)
        if key not in self._attempts_by_task and not held:
            self._backlog.retry(key, job, now_ms)

    def stop(
        self,
        channels_by_worker: Mapping[str, WorkerChannel],
        lease_ids: Iterable[str],
    ) -> None:
        """Stop attempts, wherever they run."""
        for lease_id in lease_ids:
            name = parse_lease_id(lease_id)
            if name is None:
                continue
            key = TaskKey(name.job_id, name.task)
            attempt = self._attempts_by_task.get(key, {}).get(name.attempt)
            if attempt is None:
                continue
            channel = channels_by_worker.get(attempt.worker_id)
            if channel is not None:
                channel.stops[lease_id] = None

    def _observe_listed(
        self,
        channel: WorkerChannel,
        attempt: Attempt,
        lease: LeaseView,
        now_ms: int,
    ) -> None:
        if attempt.state is AttemptState.ENDED:
            self._repeat_end(channel, attempt)
            return
        view = channel.fence.view
        boot_id = view.boot_id if view else ""
        attempt.mark_listed(boot_id, lease.expires_at_ms)
        if lease.state is LeaseState.RUNNING:
            self._scheduler.report_usage(lease.lease_id, lease.usage, now_ms)
            if lease.resources != attempt.reserved:
                self._scheduler.record_resize(lease.lease_id, lease.resources)
            return
        self._end(channel, attempt, _outcome_of(attempt.task, lease), now_ms)

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
            self._repeat_end(channel, attempt)
            return
        may_arrive = (
            attempt.state is AttemptState.SENT
            and attempt.boot_id == view.boot_id
            and view.now_ms < attempt.expires_at_ms
        )
        if not may_arrive:
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
            attempt.task.attempt_id, outcome, now_ms
        )
        self._repeat_end(channel, attempt)

    def _repeat_end(self, channel: WorkerChannel, attempt: Attempt) -> None:
        """Record an end until the fold has counted it."""
        key = attempt.key
        with self._journal.reading() as state:
            job = state.jobs_by_id.get(key.job_id)
            counted = job.attempts_by_task.get(key.task, 0) if job else 0
            is_over = (
                job is None or job.is_done or job.unit != channel.worker.unit
            )
        if is_over or counted > attempt.name.attempt:
            channel.stops[attempt.task.attempt_id] = None
            self._forget(channel, attempt)
            self._backlog.add_task(key, 0)
            return
        if channel.fence.phase is FencePhase.YIELDED:
            return
        is_lost = attempt.outcome is TaskOutcome.LOST
        if is_lost and not self._holds(attempt):
            return
        pending = self._ends_by_task.get(key)
        if pending is not None and pending.outcome is None:
            return
        if attempt.outcome is not None:
            self._ends_by_task[key] = self._journal.enqueue(
                TaskEnd(*attempt.name, attempt.outcome)
            )

    def _holds(self, attempt: Attempt) -> bool:
        return self._hold.may_keep_tasks(
            attempt.task.entry, self._clock.now_ms()
        )

    def _adopt(
        self, channel: WorkerChannel, lease: LeaseView, now_ms: int
    ) -> None:
        name = parse_lease_id(lease.lease_id)
        with self._journal.reading() as state:
            job = state.jobs_by_id.get(name.job_id) if name else None
            versioned = state.catalogue_by_name.get(lease.entry)
        if name is None:
            return
        entry = versioned.entry if versioned else None
        task = TaskRequest(
            lease.lease_id,
            name.job_id,
            lease.entry,
            entry.owner if entry else "",
            entry.work_class if entry else WorkClass.BATCH,
            lease.resources,
            job.spec.run_ms if job else 1,
            now_ms,
        )
        worker_id = channel.worker.instance_id
        attempt = Attempt(name, task, worker_id, lease.resources)
        self.add(channel, attempt)
        self._scheduler.adopt(task, worker_id, lease.resources)
        if _is_obsolete(job, name, channel):
            channel.stops[lease.lease_id] = None
        self._observe_listed(channel, attempt, lease, now_ms)

    def _forget(self, channel: WorkerChannel, attempt: Attempt) -> None:
        channel.attempts_by_lease.pop(attempt.task.attempt_id, None)
        channel.starts.pop(attempt.task.attempt_id, None)
        attempts_by_number = self._attempts_by_task.get(attempt.key, {})
        if attempts_by_number.get(attempt.name.attempt) is attempt:
            del attempts_by_number[attempt.name.attempt]
        if not attempts_by_number:
            self._attempts_by_task.pop(attempt.key, None)


def _is_obsolete(
    job: JobRecord | None, name: AttemptName, channel: WorkerChannel
) -> bool:
    if job is None or job.is_done or job.unit != channel.worker.unit:
        return True
    return name.attempt < job.attempts_by_task.get(name.task, 0)


def _outcome_of(task: TaskRequest, lease: LeaseView) -> TaskOutcome:
    """Return how a lease ended; a service that ends has failed."""
    is_service = task.work_class is WorkClass.SERVICE
    if lease.state is LeaseState.FINISHED and not is_service:
        return TaskOutcome.FINISHED
    return TaskOutcome.FAILED
