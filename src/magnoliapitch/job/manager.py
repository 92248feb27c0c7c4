"""Execution of the jobs of the racks that this instance owns."""

from __future__ import annotations

import threading

from typing import TYPE_CHECKING

from result import Err

from magnoliapitch.decision.interface import WorkerShape
from magnoliapitch.event import log_event
from magnoliapitch.job.attempt import TaskKey
from magnoliapitch.job.backlog import Backlog
from magnoliapitch.job.call import perform_call
from magnoliapitch.job.channel import CallKind
from magnoliapitch.job.channel import WorkerChannel
from magnoliapitch.job.decision_applier import DecisionApplier
from magnoliapitch.job.tracker import AttemptTracker
from magnoliapitch.job.unit import OwnedUnit
from magnoliapitch.membership.instance import InstanceInfo
from magnoliapitch.membership.instance import InstanceRole
from magnoliapitch.metric import Metrics
from magnoliapitch.ownership.fence import WorkerFence
from magnoliapitch.resource import NO_RESOURCES
from magnoliapitch.verdict import Verdict
from magnoliapitch.worker.lease import LEASE_TTL_MAX_MS
from magnoliapitch.worker.runner import CallRunner
from magnoliapitch.worker.runner import InlineRunner
from magnoliapitch.worker.runner import WorkerCall
from magnoliapitch.worker.runner import WorkerReply


if TYPE_CHECKING:
    from magnoliapitch.clock import Clock
    from magnoliapitch.decision.interface import Explanation
    from magnoliapitch.decision.interface import Scheduler
    from magnoliapitch.journal.job_change import JobChange
    from magnoliapitch.journal.journal import Journal
    from magnoliapitch.journal.state import ClusterState
    from magnoliapitch.journal.state import JobRecord
    from magnoliapitch.membership.instance_cache import InstanceCache
    from magnoliapitch.ownership.claimer import Claimer
    from magnoliapitch.ownership.presence_lease import PresenceLease
    from magnoliapitch.worker.pool import WorkerPool


STEP_INTERVAL_MS = 50


class JobManager:
    """Drives tasks of owned racks from submission to their recorded end.

    One thread, or a test, calls :meth:`step`. The scheduler is only called
    under a lock.

    :param claimer: claims racks for this instance.
    :param workers: calls to workers.
    :param presence_lease: says which tasks this instance may still grant
        and renew leases for.
    :param runner: makes the calls to workers, by default at once in the
        thread that calls :meth:`step`.
    :param lease_ttl_ms: duration of task leases, in milliseconds; reduced
        to ``LEASE_TTL_MAX_MS``, the longest that other instances assume.
    """

    def __init__(
        self,
        journal: Journal,
        instance_cache: InstanceCache,
        claimer: Claimer,
        workers: WorkerPool,
        scheduler: Scheduler,
        clock: Clock,
        presence_lease: PresenceLease,
        runner: CallRunner | None = None,
        lease_ttl_ms: int = LEASE_TTL_MAX_MS,
        metrics: Metrics | None = None,
    ) -> None:
        self._journal = journal
        self._instance_cache = instance_cache
        self._claimer = claimer
        self._workers = workers
        self._scheduler = scheduler
        self._clock = clock
        self._runner = runner or InlineRunner()
        self._ttl_ms = min(lease_ttl_ms, LEASE_TTL_MAX_MS)
        self._units_by_name: dict[str, OwnedUnit] = {}
        self._channels_by_worker: dict[str, WorkerChannel] = {}
        self._backlog = Backlog()
        self._may_keep_tasks = presence_lease.may_keep_tasks
        self._tracker = AttemptTracker(
            journal, scheduler, self._backlog, presence_lease, clock
        )
        self._state: ClusterState | None = None
        self._catalogue_offset = -1
        self._decisions = DecisionApplier(
            journal,
            scheduler,
            self._backlog,
            self._tracker,
            self._channels_by_worker,
            self._is_releasing,
            metrics or Metrics(),
        )
        self._lock = threading.Lock()

    def step(self) -> int:
        """Process replies, queue due tasks and start those that fit.

        :return: milliseconds until the next step.
        """
        with self._lock:
            self._step()
        return STEP_INTERVAL_MS

    def explain(self, job_id: str) -> Explanation | None:
        """Return why a job of an owned rack waits; any thread may call."""
        with self._lock:
            return self._scheduler.explain(job_id, self._clock.now_ms())

    def dump(self) -> dict[str, object]:
        """Return the manager's part of the state dump."""
        return {
            "units": {
                name: {"epoch": unit.claim.epoch, "settled": unit.is_settled}
                for name, unit in self._units_by_name.items()
            },
            "workers": {
                worker_id: channel.fence.phase.value
                for worker_id, channel in self._channels_by_worker.items()
            },
            "running": sorted(self._tracker.lease_ids()),
            "queued": self._scheduler.queued_count(),
            "free": self._scheduler.free_capacity()._asdict(),
        }

    def _step(self) -> None:
        now_ms = self._clock.now_ms()
        for reply in self._runner.replies():
            self._process_reply(reply, now_ms)
        self._update_units()
        self._add_new_workers()
        self._settle_units(now_ms)
        self._apply_job_changes(now_ms)
        self._tracker.end_expired_unreachable(self._channels_by_worker, now_ms)
        self._decisions.apply_decisions(now_ms)
        for channel in self._channels_by_worker.values():
            self._submit_next_call(channel, now_ms)
        self._release_units()

    def _process_reply(self, reply: WorkerReply, now_ms: int) -> None:
        channel = self._channels_by_worker.get(reply.worker_id)
        if channel is None or channel.in_flight is None:
            return
        call = channel.in_flight
        if isinstance(reply.outcome, Err):
            channel.record_failure(now_ms)
            if call.kind is CallKind.START:
                is_not_run = reply.outcome.err_value.verdict is Verdict.NOT_RUN
                self._tracker.record_failed_start(
                    channel, call, is_not_run, now_ms
                )
        else:
            view = reply.outcome.ok_value
            channel.fence = channel.fence.observe(view, now_ms)
            self._tracker.observe(channel, view, now_ms)
            channel.record_reply(now_ms)
        self._update_withheld(channel)

    def _update_withheld(self, channel: WorkerChannel) -> None:
        """Keep the scheduler from using a worker that accepts no starts."""
        worker = channel.worker
        is_releasing = self._is_releasing(channel)
        is_usable = channel.accepts_starts and not is_releasing
        self._scheduler.set_withheld(
            worker.instance_id, NO_RESOURCES if is_usable else worker.capacity
        )
        unit = self._units_by_name.get(worker.unit)
        if unit is not None and channel.fence.is_open:
            unit.mark_worker_open(worker.instance_id)

    def _update_units(self) -> None:
        claims = self._claimer.owned_claims()
        for name, unit in list(self._units_by_name.items()):
            claim = claims.get(name)
            if claim is None or claim.epoch != unit.claim.epoch:
                epoch = unit.claim.epoch
                log_event("unit-lost", unit=name, epoch=epoch)
                self._drop_unit(name)
            elif self._claimer.is_releasing(name) and not unit.is_releasing:
                unit.is_releasing = True
                for channel in self._channels_by_worker.values():
                    self._update_withheld(channel)
        for name, claim in claims.items():
            if name in self._units_by_name:
                continue
            if not self._claimer.is_rack(name):
                continue
            self._units_by_name[name] = OwnedUnit(claim, self._clock.now_ms())
            log_event("unit-claimed", unit=name, epoch=claim.epoch)
            with self._journal.locked_state() as state:
                jobs = [
                    job
                    for job in state.jobs_by_id.values()
                    if job.unit == name and not job.is_done
                ]
            for job in jobs:
                self._admit(job)

    def _drop_unit(self, name: str) -> None:
        unit = self._units_by_name.pop(name)
        for worker_id, channel in list(self._channels_by_worker.items()):
            if channel.worker.unit == name:
                self._drop_channel(worker_id)
        for job_id in unit.job_ids:
            self._scheduler.cancel(job_id)
            self._backlog.forget_job(job_id)

    def _drop_channel(self, worker_id: str) -> None:
        channel = self._channels_by_worker.pop(worker_id)
        self._tracker.remove_channel(channel, self._clock.now_ms())
        self._scheduler.remove_worker(worker_id)

    def _release_units(self) -> None:
        """Release racks that are to be handed over and have settled.

        A rack is kept while a grant to one of its workers may be in flight,
        so that its next owner finds every lease in the workers' views.
        """
        for name, unit in self._units_by_name.items():
            if not unit.is_releasing or not unit.is_settled:
                continue
            channels = [
                channel
                for channel in self._channels_by_worker.values()
                if channel.worker.unit == name
            ]
            if channels and all(map(self._is_ready_for_release, channels)):
                self._claimer.release(name)

    def _is_releasing(self, channel: WorkerChannel) -> bool:
        unit = self._units_by_name.get(channel.worker.unit)
        return unit is None or unit.is_releasing

    def _is_ready_for_release(self, channel: WorkerChannel) -> bool:
        call = channel.in_flight
        sends_grants = call is not None and bool(call.grants)
        if sends_grants or not channel.fence.is_open or channel.pending_starts:
            return False
        return not self._tracker.has_unconfirmed_grant(channel)

    def _add_new_workers(self) -> None:
        for worker in self._instance_cache.of_role(InstanceRole.WORKER):
            unit = self._units_by_name.get(worker.unit)
            is_known = worker.instance_id in self._channels_by_worker
            if unit is None or is_known:
                continue
            self._add_channel(worker, unit)

    def _add_channel(self, worker: InstanceInfo, unit: OwnedUnit) -> None:
        fence = WorkerFence(
            unit.owner, self._ttl_ms, self._workers.fences_epochs
        )
        channel = WorkerChannel(worker, fence, self._may_keep_tasks)
        self._channels_by_worker[worker.instance_id] = channel
        self._scheduler.add_worker(
            WorkerShape(
                worker.instance_id, worker.unit, worker.zone, worker.capacity
            )
        )
        self._update_withheld(channel)

    def _settle_units(self, now_ms: int) -> None:
        for name, unit in self._units_by_name.items():
            if unit.is_settled:
                continue
            worker_ids = [
                worker.instance_id
                for worker in self._instance_cache.of_role(InstanceRole.WORKER)
                if worker.unit == name
            ]
            stopped_since_ms = self._claimer.predecessors_stopped_at_ms(name)
            for job_id in unit.try_settle(
                worker_ids, stopped_since_ms, now_ms
            ):
                self._backlog.add_job(job_id)

    def _apply_job_changes(self, now_ms: int) -> None:
        with self._journal.locked_state() as state:
            if state is not self._state:
                self._state = state
                self._admit_unfinished(state)
            for change in self._journal.take_job_changes():
                self._apply_change(state, change, now_ms)
            if state.next_offset != self._catalogue_offset:
                self._catalogue_offset = state.next_offset
                self._scheduler.set_catalogue(
                    {
                        name: versioned.entry
                        for name, versioned in state.catalogue_by_name.items()
                    }
                )
            requests = self._backlog.take_due_requests(
                state, self._units_by_name, self._tracker, now_ms
            )
        if requests:
            self._scheduler.submit(requests)

    def _admit_unfinished(self, state: ClusterState) -> None:
        for job in state.jobs_by_id.values():
            if not job.is_done:
                self._admit(job)

    def _admit(self, job: JobRecord) -> None:
        unit = self._units_by_name.get(job.unit)
        if unit is not None and unit.admit(job):
            self._backlog.add_job(job.spec.job_id)

    def _apply_change(
        self, state: ClusterState, change: JobChange, now_ms: int
    ) -> None:
        job = state.jobs_by_id.get(change.job_id)
        if change.task < 0:
            self._update_job(change.job_id, job)
        if job is None:
            return
        if change.task >= 0:
            key = TaskKey(change.job_id, change.task)
            unit = self._units_by_name.get(job.unit)
            is_waiting = unit is not None and unit.is_waiting(change.job_id)
            self._tracker.apply_recorded_end(
                self._channels_by_worker,
                key,
                job,
                now_ms,
                is_waiting=is_waiting,
            )
        if job.is_done and job.unit in self._units_by_name:
            self._units_by_name[job.unit].remove_job(change.job_id)

    def _update_job(self, job_id: str, job: JobRecord | None) -> None:
        current_unit = job.unit if job and not job.is_done else ""
        for name, unit in self._units_by_name.items():
            if name != current_unit and job_id in unit.job_ids:
                unit.remove_job(job_id)
                lease_ids = self._scheduler.cancel(job_id)
                self._backlog.forget_job(job_id)
                self._tracker.request_stops(
                    self._channels_by_worker, lease_ids
                )
        if job is not None and not job.is_done:
            self._admit(job)

    def _submit_next_call(self, channel: WorkerChannel, now_ms: int) -> None:
        is_releasing = self._is_releasing(channel)
        if channel.pending_starts and (
            is_releasing or not channel.accepts_starts
        ):
            self._tracker.requeue_unsent(channel, now_ms)
        self._tracker.requeue_without_presence(channel, now_ms)
        call = channel.plan_call(now_ms, self._journal.last_caught_up_ms)
        if call is None:
            return
        channel.in_flight = call
        worker = channel.worker
        self._runner.submit(
            WorkerCall(
                worker.instance_id,
                lambda: perform_call(self._workers, worker, call),
            )
        )
