"""Runs the jobs that are assigned to the owned racks."""

from __future__ import annotations

import threading

from typing import TYPE_CHECKING

from result import Err

from magnoliapitch.decision.interface import EvictionAction
from magnoliapitch.decision.interface import WorkerShape
from magnoliapitch.event import log_event
from magnoliapitch.job.attempt import Attempt
from magnoliapitch.job.attempt import TaskKey
from magnoliapitch.job.backlog import Backlog
from magnoliapitch.job.call import perform
from magnoliapitch.job.channel import CallKind
from magnoliapitch.job.channel import WorkerChannel
from magnoliapitch.job.spec import parse_lease_id
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
    from magnoliapitch.decision.interface import Eviction
    from magnoliapitch.decision.interface import Explanation
    from magnoliapitch.decision.interface import Placement
    from magnoliapitch.decision.interface import Scheduler
    from magnoliapitch.journal.job_change import ChangedTask
    from magnoliapitch.journal.journal import Journal
    from magnoliapitch.journal.state import ClusterState
    from magnoliapitch.journal.state import JobRecord
    from magnoliapitch.membership.fleet import Fleet
    from magnoliapitch.ownership.claimer import Claimer
    from magnoliapitch.ownership.presence_lease import PresenceLease
    from magnoliapitch.worker.pool import WorkerPool


DECISIONS_PER_STEP = 16
STEP_INTERVAL_MS = 50


class JobManager:
    """Drives tasks from submission to their recorded end.

    One thread, or a test, calls :meth:`step`; the scheduler is only
    called under a lock.
    """

    def __init__(
        self,
        journal: Journal,
        fleet: Fleet,
        claimer: Claimer,
        workers: WorkerPool,
        scheduler: Scheduler,
        clock: Clock,
        hold: PresenceLease,
        runner: CallRunner | None = None,
        lease_ttl_ms: int = LEASE_TTL_MAX_MS,
        metrics: Metrics | None = None,
    ) -> None:
        self._journal = journal
        self._fleet = fleet
        self._claimer = claimer
        self._workers = workers
        self._scheduler = scheduler
        self._clock = clock
        self._runner = runner or InlineRunner()
        self._ttl_ms = min(lease_ttl_ms, LEASE_TTL_MAX_MS)
        self._units_by_name: dict[str, OwnedUnit] = {}
        self._channels_by_worker: dict[str, WorkerChannel] = {}
        self._backlog = Backlog()
        self._holds = hold.may_keep_tasks
        self._tracker = AttemptTracker(
            journal, scheduler, self._backlog, hold, clock
        )
        self._state: ClusterState | None = None
        self._catalogue_offset = -1
        self._metrics = metrics or Metrics()
        self._lock = threading.Lock()

    def step(self) -> int:
        """Observe workers, queue new tasks and start what fits.

        :return: milliseconds until the next step.
        """
        with self._lock:
            self._step()
        return STEP_INTERVAL_MS

    def explain(self, job_id: str) -> Explanation | None:
        """Tell why a job of an owned unit waits; any thread may ask."""
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
            self._observe(reply, now_ms)
        self._follow_units()
        self._follow_workers()
        self._settle_units(now_ms)
        self._follow_jobs(now_ms)
        self._tracker.end_unreachable(self._channels_by_worker, now_ms)
        self._decide(now_ms)
        for channel in self._channels_by_worker.values():
            self._dispatch(channel, now_ms)
        self._release_units()

    def _decide(self, now_ms: int) -> None:
        for _ in range(DECISIONS_PER_STEP):
            with self._metrics.timing("decision"):
                decision = self._scheduler.decide(now_ms)
            self._place(decision.placements, now_ms)
            self._evict(decision.evictions)
            if not decision.has_more:
                break

    def _observe(self, reply: WorkerReply, now_ms: int) -> None:
        channel = self._channels_by_worker.get(reply.worker_id)
        if channel is None or channel.in_flight is None:
            return
        call = channel.in_flight
        if isinstance(reply.outcome, Err):
            channel.failed(now_ms)
            if call.kind is CallKind.START:
                certain = reply.outcome.err_value.verdict is Verdict.NOT_RUN
                self._tracker.start_failed(channel, call, certain, now_ms)
        else:
            view = reply.outcome.ok_value
            channel.fence = channel.fence.observe(view, now_ms)
            self._tracker.observe(channel, view, now_ms)
            channel.answered(now_ms)
        self._set_withheld(channel)

    def _set_withheld(self, channel: WorkerChannel) -> None:
        worker = channel.worker
        releasing = self._is_releasing(channel)
        usable = channel.accepts_starts and not releasing
        self._scheduler.set_withheld(
            worker.instance_id, NO_RESOURCES if usable else worker.capacity
        )
        unit = self._units_by_name.get(worker.unit)
        if unit is not None and channel.fence.is_open:
            unit.note_open(worker.instance_id)

    def _follow_units(self) -> None:
        claims = self._claimer.owned_claims()
        for name, unit in list(self._units_by_name.items()):
            claim = claims.get(name)
            if claim is None or claim.epoch != unit.claim.epoch:
                epoch = unit.claim.epoch
                log_event("unit-lost", unit=name, epoch=epoch)
                self._lose(name)
            elif self._claimer.is_releasing(name) and not unit.is_releasing:
                unit.is_releasing = True
                for channel in self._channels_by_worker.values():
                    self._set_withheld(channel)
        for name, claim in claims.items():
            if name in self._units_by_name:
                continue
            if not self._claimer.is_rack(name):
                continue
            self._units_by_name[name] = OwnedUnit(claim, self._clock.now_ms())
            log_event("unit-claimed", unit=name, epoch=claim.epoch)
            with self._journal.reading() as state:
                jobs = [
                    job
                    for job in state.jobs_by_id.values()
                    if job.unit == name and not job.is_done
                ]
            for job in jobs:
                self._admit(job)

    def _lose(self, name: str) -> None:
        unit = self._units_by_name.pop(name)
        for worker_id, channel in list(self._channels_by_worker.items()):
            if channel.worker.unit == name:
                self._drop_channel(worker_id)
        for job_id in unit.job_ids:
            self._scheduler.cancel(job_id)
            self._backlog.forget_job(job_id)

    def _drop_channel(self, worker_id: str) -> None:
        channel = self._channels_by_worker.pop(worker_id)
        self._tracker.forget_channel(channel, self._clock.now_ms())
        self._scheduler.remove_worker(worker_id)

    def _release_units(self) -> None:
        """Give up racks on which no grant is in flight or unsure."""
        for name, unit in self._units_by_name.items():
            if not unit.is_releasing or not unit.is_settled:
                continue
            channels = [
                channel
                for channel in self._channels_by_worker.values()
                if channel.worker.unit == name
            ]
            if channels and all(map(self._is_quiet, channels)):
                self._claimer.release(name)

    def _is_releasing(self, channel: WorkerChannel) -> bool:
        unit = self._units_by_name.get(channel.worker.unit)
        return unit is None or unit.is_releasing

    def _is_quiet(self, channel: WorkerChannel) -> bool:
        call = channel.in_flight
        sends = call is not None and bool(call.grants)
        if sends or not channel.fence.is_open or channel.starts:
            return False
        return not self._tracker.is_unsure(channel)

    def _follow_workers(self) -> None:
        for worker in self._fleet.of_role(InstanceRole.WORKER):
            unit = self._units_by_name.get(worker.unit)
            known = worker.instance_id in self._channels_by_worker
            if unit is None or known:
                continue
            self._add_channel(worker, unit)

    def _add_channel(self, worker: InstanceInfo, unit: OwnedUnit) -> None:
        fence = WorkerFence(
            unit.owner, self._ttl_ms, self._workers.fences_epochs
        )
        channel = WorkerChannel(worker, fence, self._holds)
        self._channels_by_worker[worker.instance_id] = channel
        self._scheduler.add_worker(
            WorkerShape(
                worker.instance_id, worker.unit, worker.zone, worker.capacity
            )
        )
        self._set_withheld(channel)

    def _settle_units(self, now_ms: int) -> None:
        for name, unit in self._units_by_name.items():
            if unit.is_settled:
                continue
            worker_ids = [
                worker.instance_id
                for worker in self._fleet.of_role(InstanceRole.WORKER)
                if worker.unit == name
            ]
            stopped_ms = self._claimer.predecessors_stopped_at_ms(name)
            for job_id in unit.settle(worker_ids, stopped_ms, now_ms):
                self._backlog.add_job(job_id)

    def _follow_jobs(self, now_ms: int) -> None:
        with self._journal.reading() as state:
            if state is not self._state:
                self._state = state
                self._admit_all(state)
            for change in self._journal.take_job_changes():
                self._follow_change(state, change, now_ms)
            if state.next_offset != self._catalogue_offset:
                self._catalogue_offset = state.next_offset
                self._scheduler.set_catalogue(
                    {
                        name: versioned.entry
                        for name, versioned in state.catalogue_by_name.items()
                    }
                )
            requests = self._backlog.take(
                state, self._units_by_name, self._tracker, now_ms
            )
        if requests:
            self._scheduler.submit(requests)

    def _admit_all(self, state: ClusterState) -> None:
        for job in state.jobs_by_id.values():
            if not job.is_done:
                self._admit(job)

    def _admit(self, job: JobRecord) -> None:
        unit = self._units_by_name.get(job.unit)
        if unit is not None and unit.admit(job):
            self._backlog.add_job(job.spec.job_id)

    def _follow_change(
        self, state: ClusterState, change: ChangedTask, now_ms: int
    ) -> None:
        job = state.jobs_by_id.get(change.job_id)
        if change.task < 0:
            self._follow_job(change.job_id, job)
        if job is None:
            return
        if change.task >= 0:
            key = TaskKey(change.job_id, change.task)
            unit = self._units_by_name.get(job.unit)
            held = unit is not None and unit.holds(change.job_id)
            self._tracker.follow_end(
                self._channels_by_worker, key, job, now_ms, held=held
            )
        if job.is_done and job.unit in self._units_by_name:
            self._units_by_name[job.unit].drop(change.job_id)

    def _follow_job(self, job_id: str, job: JobRecord | None) -> None:
        current = job.unit if job and not job.is_done else ""
        for name, unit in self._units_by_name.items():
            if name != current and job_id in unit.job_ids:
                unit.drop(job_id)
                running = self._scheduler.cancel(job_id)
                self._backlog.forget_job(job_id)
                self._tracker.stop(self._channels_by_worker, running)
        if job is not None and not job.is_done:
            self._admit(job)

    def _place(self, placements: tuple[Placement, ...], now_ms: int) -> None:
        for placement in placements:
            name = parse_lease_id(placement.attempt_id)
            channel = self._channels_by_worker.get(placement.worker_id)
            if name is None or channel is None:
                continue
            key = TaskKey(name.job_id, name.task)
            task = self._backlog.pop(key)
            if task is None:
                continue
            attempt = Attempt(
                name,
                task,
                placement.worker_id,
                placement.reserved,
                self._payload(name.job_id),
            )
            self._tracker.add(channel, attempt)
            waited_ms = now_ms - task.submitted_ms
            self._metrics.observe("task_wait", waited_ms, task.work_class)
            releasing = self._is_releasing(channel)
            if channel.accepts_starts and not releasing:
                channel.starts[task.attempt_id] = None
            else:
                self._tracker.take_back(channel, attempt, now_ms)

    def _payload(self, job_id: str) -> str:
        with self._journal.reading() as state:
            job = state.jobs_by_id.get(job_id)
            return job.spec.payload if job else ""

    def _evict(self, evictions: tuple[Eviction, ...]) -> None:
        for eviction in evictions:
            channel = self._channels_by_worker.get(eviction.worker_id)
            if channel is None:
                continue
            if eviction.action is EvictionAction.THROTTLE:
                channel.throttles_by_lease[eviction.attempt_id] = (
                    eviction.cpu_millis
                )
            elif eviction.action is EvictionAction.CHECKPOINT:
                channel.checkpoints[eviction.attempt_id] = None
            else:
                channel.stops[eviction.attempt_id] = None

    def _dispatch(self, channel: WorkerChannel, now_ms: int) -> None:
        releasing = self._is_releasing(channel)
        if channel.starts and (releasing or not channel.accepts_starts):
            self._tracker.take_back_all(channel, now_ms)
        self._tracker.take_back_unheld(channel, now_ms)
        call = channel.plan(now_ms, self._journal.last_caught_up_ms)
        if call is None:
            return
        channel.in_flight = call
        worker = channel.worker
        self._runner.submit(
            WorkerCall(
                worker.instance_id,
                lambda: perform(self._workers, worker, call),
            )
        )
