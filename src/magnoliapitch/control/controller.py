"""Turns plans into stored progress and orders, and reports into facts."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from result import Err

from magnoliapitch.control.lease import WorkerLease
from magnoliapitch.control.reports import ReportReader
from magnoliapitch.event import log_event
from magnoliapitch.ledger.leadership import Batch
from magnoliapitch.ledger.records import LEADER_KEY
from magnoliapitch.ledger.records import PROGRESS_PREFIX
from magnoliapitch.ledger.records import STATE_PREFIX
from magnoliapitch.ledger.records import LeaderRecord
from magnoliapitch.ledger.records import encode_leader
from magnoliapitch.ledger.records import encode_progress
from magnoliapitch.ledger.state_table import FINAL_STATES
from magnoliapitch.ledger.state_table import JobState
from magnoliapitch.ledger.state_table import ShownJob
from magnoliapitch.ledger.stream import KeyedRecord
from magnoliapitch.planner.book import Book
from magnoliapitch.planner.planner import Planner
from magnoliapitch.verdict import FailureCode
from magnoliapitch.verdict import Verdict
from magnoliapitch.workload.progress import JobOutcome
from magnoliapitch.workload.run import StartOrder
from magnoliapitch.workload.run import StopOrder


if TYPE_CHECKING:
    from collections.abc import Callable

    from magnoliapitch.control.effects import Effects
    from magnoliapitch.control.events import Advised
    from magnoliapitch.control.events import Committed
    from magnoliapitch.control.events import StartAnswered
    from magnoliapitch.control.events import StopAnswered
    from magnoliapitch.control.events import WorkerReported
    from magnoliapitch.control.events import WorkersListed
    from magnoliapitch.control.timing import ControlTiming
    from magnoliapitch.ledger.replica import Replica
    from magnoliapitch.ledger.replica import StoredJob
    from magnoliapitch.ledger.state_table import StateTable
    from magnoliapitch.metric import Metrics
    from magnoliapitch.planner.entry import JobEntry
    from magnoliapitch.planner.entry import RunEntry
    from magnoliapitch.planner.entry import WorkerEntry
    from magnoliapitch.planner.plan import PlannedAsk
    from magnoliapitch.planner.plan import PlannedStart
    from magnoliapitch.planner.plan import PlannedStop
    from magnoliapitch.verdict import Failure
    from magnoliapitch.workload.configuration import Configuration
    from magnoliapitch.workload.job import StepKey
    from magnoliapitch.workload.progress import JobProgress
    from magnoliapitch.workload.worker import WorkerInfo


# Shows the others that the leader lives while it has nothing to store.
HEARTBEAT_MS = 300
STOP_RETRY_MS = 600
# A worker that was not reached for this long gets no new work.
REPORT_MAX_AGE_MS = 1_800
UNHEALTHY_PAUSE_MS = 1_500
ASK_TIMEOUT_MS = 2_000


_STATE_BY_OUTCOME = {
    JobOutcome.COMPLETED: JobState.COMPLETED,
    JobOutcome.FAILED: JobState.FAILED,
    JobOutcome.CANCELLED: JobState.CANCELLED,
}


class Controller:
    """Decides for all workers under one epoch; used by one thread.

    :param leader: the claim under which it decides.
    :param claimed_ms: when the claim was stored, by our clock.
    :ivar is_over: another instance leads; nothing more may be ordered.
    """

    def __init__(
        self,
        leader: LeaderRecord,
        claimed_ms: int,
        timing: ControlTiming,
        replica: Replica,
        states: StateTable,
        effects: Effects,
        configuration: Callable[[], Configuration | None],
        metrics: Metrics,
    ) -> None:
        self.is_over = False
        self.book = Book()
        self.planner = Planner()
        self._leader = leader
        self._claimed_ms = claimed_ms
        self._timing = timing
        self._replica = replica
        self._states = states
        self._effects = effects
        self._configuration = configuration
        self._metrics = metrics
        self._lease_by_worker: dict[str, WorkerLease] = {}
        self._reported_ms_by_worker: dict[str, int] = {}
        self._silent_ms_by_worker: dict[str, int] = {}
        self._listed: dict[str, WorkerInfo] = {}
        self._reader = ReportReader(self.book, self.planner, metrics)
        self._to_start: list[PlannedStart] = []
        self._in_commit: list[PlannedStart] = []
        self._in_commit_by_id: dict[str, JobProgress] = {}
        self._acknowledged_by_worker: dict[str, int] = {}
        self._ends_by_worker: dict[str, int] = {}
        self._is_committing = False
        self._stored_ms = claimed_ms
        self._shown_ms = claimed_ms
        self._in_commit_states: dict[str, ShownJob] = {}
        # Jobs that the states do not tell of yet.
        self._unshown: set[str] = set()
        # Jobs whose final state is stored.
        self._closing: set[str] = set()
        self._ended_ms_by_job: dict[str, int] = {}

    @property
    def epoch(self) -> int:
        """Return the fencing token of every order."""
        return self._leader.epoch

    def load(self, now_ms: int) -> None:
        """Take over every open job from the replica."""
        for job_id in self._states.ended_ids():
            self._ended_ms_by_job[job_id] = now_ms
        for job in self._replica.jobs():
            self._take_job(job, now_ms)
        log_event(
            "leadership-begun",
            epoch=self._leader.epoch,
            open_jobs=len(self.book.jobs_by_id),
        )

    def may_order(self, now_ms: int) -> bool:
        """Return whether leases and orders may be given at a time."""
        age_ms = now_ms - self._stored_ms
        return not self.is_over and age_ms <= self._timing.silence_ms

    def deadline(self, worker_id: str, now_ms: int) -> int | None:
        """Return the end of a worker's next lease, or None for none."""
        lease = self._lease_by_worker.get(worker_id)
        if lease is None or not lease.has_clock or not self.may_order(now_ms):
            return None
        if worker_id not in self._reported_ms_by_worker:
            # An unanswered renewal may count, so that the lease of a
            # worker that is gone would never be over.
            return None
        return lease.next_deadline(now_ms)

    def note_workers(self, event: WorkersListed) -> None:
        """Take over the platform's list of workers."""
        self._listed = dict(event.info_by_id)
        for worker_id, info in self._listed.items():
            known = self.book.workers_by_id.get(worker_id)
            is_new = known is None or known.info is None
            if known is not None and known.info == info:
                continue
            was_draining = bool(
                known and known.info and known.info.is_draining
            )
            self.book.put_worker(info)
            if is_new:
                self._lease(worker_id)
                self._effects.open_link(info)
            if info.is_draining and not was_draining:
                log_event("worker-draining", worker=worker_id)

    def note_jobs(self, job_ids: frozenset[str], now_ms: int) -> None:
        """Take over submitted and cancelled jobs."""
        for job_id in job_ids:
            stored = self._replica.get(job_id)
            known = self.book.jobs_by_id.get(job_id)
            if stored is None:
                continue
            if known is None:
                self._take_job(stored, now_ms)
            elif stored.is_cancelled:
                self.book.cancel_job(job_id)

    def note_configuration(self, now_ms: int) -> None:
        """Take over a newer configuration."""
        configuration = self._configuration()
        if configuration is None:
            return
        for job in self.book.jobs_by_id.values():
            queue = configuration.queues_by_name.get(job.spec.queue)
            job.queue = queue or job.queue
        for stored in self._replica.jobs():
            if stored.spec and stored.spec.job_id not in self.book.jobs_by_id:
                self._take_job(stored, now_ms)

    def note_report(self, event: WorkerReported) -> None:
        """Take over what a worker runs and what has ended there."""
        worker_id = event.worker_id
        if isinstance(event.outcome, Err):
            self._note_unreached(worker_id, event.outcome.err_value)
            return
        report = event.outcome.ok_value
        self._lease(worker_id).note_clock(
            report.clock_ms, event.sent_ms, event.received_ms
        )
        if event.sent_ms >= self._silent_ms_by_worker.get(worker_id, 0):
            self._reported_ms_by_worker[worker_id] = event.received_ms
        reading = self._reader.read(
            worker_id, report, event.sent_ms, event.received_ms
        )
        self._ends_by_worker[worker_id] = reading.last_end
        for order in reading.unexpected:
            info = self._listed.get(worker_id)
            if info is not None:
                token = self._leader.epoch
                self._effects.stop_run(info, order._replace(token=token))
        if not self.book.dirty and not self._is_committing:
            self._effects.acknowledge(worker_id, reading.last_end)

    def note_start(self, event: StartAnswered) -> None:
        """Take over the answer to an order to start."""
        planned = event.start
        run = self.book.run(planned.task, planned.run, planned.worker_id)
        if not isinstance(event.outcome, Err):
            if run is not None and run.confirmed_ms is None:
                self.book.confirm_run(run, event.received_ms)
            return
        failure = event.outcome.err_value
        self._log_failed_start(planned, failure)
        self._metrics.count("starts_failed", failure.code.value)
        if failure.code is FailureCode.FENCED:
            self.end("a worker has seen a higher token")
        elif failure.code is FailureCode.REPLACED:
            self._drop_worker(planned.worker_id, "replaced")
        elif run is None or run.confirmed_ms is not None:
            return
        elif failure.code is FailureCode.UNAVAILABLE:
            self._note_silent(planned.worker_id, event.received_ms)
            self._refuse_start(run, planned, failure, event.received_ms)
        elif failure.verdict is Verdict.NOT_RUN:
            self._refuse_start(run, planned, failure, event.received_ms)
        else:
            self._note_silent(planned.worker_id, event.received_ms)
            self.book.stop_later(run)

    def note_stop(self, event: StopAnswered) -> None:
        """Take over the answer to an order to stop."""
        run = self.book.run(event.task, event.run, event.worker_id)
        if not isinstance(event.outcome, Err):
            if run is not None:
                run.stopped_ms = event.received_ms
            return
        failure = event.outcome.err_value
        if failure.code is FailureCode.FENCED:
            self.end("a worker has seen a higher token")
        elif failure.code is FailureCode.REPLACED:
            self._drop_worker(event.worker_id, "replaced")
        else:
            self._note_silent(event.worker_id, event.received_ms)

    def note_commit(self, event: Committed, now_ms: int) -> None:
        """Go on with what waited for the store."""
        self._is_committing = False
        if isinstance(event.outcome, Err):
            self.end(event.outcome.err_value.detail)
            return
        self._stored_ms = max(self._stored_ms, event.sent_ms)
        stored, self._in_commit_by_id = self._in_commit_by_id, {}
        for job_id, progress in stored.items():
            if progress.outcome is not JobOutcome.OPEN:
                self._closing.add(job_id)
                self._ended_ms_by_job[job_id] = now_ms
        for job_id, shown in self._in_commit_states.items():
            self._states.put(job_id, shown)
        self._in_commit_states = {}
        for worker_id, number in self._acknowledged_by_worker.items():
            self._effects.acknowledge(worker_id, number)
        starts, self._in_commit = self._in_commit, []
        for planned in starts:
            self._order(planned, now_ms)

    def note_advice(self, event: Advised) -> None:
        """Take over an answer of the advisor."""
        step = self.book.step(event.ask.step)
        if step is None:
            return
        step.asking = frozenset()
        if isinstance(event.outcome, Err):
            failure = event.outcome.err_value
            log_event(
                "advice-failed",
                job=event.ask.step.job_id,
                step=event.ask.step.step,
                reason=failure.detail,
            )
            return
        advice = step.job.queue.advice
        valid_ms = advice.valid_ms if advice else 0
        log_event(
            "advice-received",
            job=event.ask.step.job_id,
            step=event.ask.step.step,
            asked=len(event.ask.worker_ids),
            permitted=len(event.outcome.ok_value),
        )
        self.book.note_permits(
            event.ask.step,
            event.ask.worker_ids,
            event.outcome.ok_value,
            event.sent_ms + valid_ms,
        )

    def step(self, now_ms: int, wall_ms: int) -> None:
        """Plan a round and store what it changes."""
        if self.is_over:
            return
        self._check_workers(now_ms)
        plan = self.planner.plan(
            self.book, now_ms, wall_ms, self._effects.idle_lanes()
        )
        if self.may_order(now_ms):
            self._note_starts(plan.starts, now_ms)
            for stop in plan.stops:
                self._stop(stop, now_ms)
            self._ask(plan.asks)
        self._commit(now_ms)

    def _note_starts(
        self, starts: tuple[PlannedStart, ...], now_ms: int
    ) -> None:
        counts: Counter[StepKey] = Counter()
        for planned in starts:
            self.book.order_run(
                planned.task, planned.run, planned.worker_id, now_ms
            )
            self._to_start.append(planned)
            counts[planned.task.step_key] += 1
        for key, count in counts.items():
            step = self.book.step(key)
            ready_ms = (step.ready_ms if step else None) or now_ms
            queue = step.job.queue.name if step else ""
            self._metrics.count("starts_planned", queue, count)
            self._metrics.observe("step_waited", now_ms - ready_ms, queue)
            log_event(
                "step-starting",
                job=key.job_id,
                step=key.step,
                tasks=count,
                waiting=step.waiting if step else 0,
                ready_age_ms=now_ms - ready_ms,
            )

    def _ask(self, asks: tuple[PlannedAsk, ...]) -> None:
        for ask in asks:
            step = self.book.step(ask.step)
            if step is not None and not step.is_asking:
                timeout_ms = ASK_TIMEOUT_MS + int(ask.cost_ms)
                if self._effects.ask(ask, timeout_ms):
                    step.asking = frozenset(ask.worker_ids)

    def end(self, reason: str) -> None:
        """Decide nothing more."""
        if not self.is_over:
            self.is_over = True
            log_event(
                "leadership-lost", epoch=self._leader.epoch, reason=reason
            )

    def _take_job(self, stored: StoredJob, now_ms: int) -> None:
        configuration = self._configuration()
        spec = stored.spec
        if spec is None or configuration is None:
            return
        shown = self._states.get(spec.job_id)
        if shown is not None and shown.state in FINAL_STATES:
            self._effects.forget([spec.job_id])
            return
        queue = configuration.queues_by_name.get(spec.queue)
        if queue is None:
            # The queue was removed; its jobs wait for its return.
            log_event("queue-missing", job=spec.job_id, queue=spec.queue)
            return
        self.book.add_job(spec, queue, now_ms, stored.progress)
        self._unshown.add(spec.job_id)
        if stored.is_cancelled:
            self.book.cancel_job(spec.job_id)

    def _lease(self, worker_id: str) -> WorkerLease:
        lease = self._lease_by_worker.get(worker_id)
        if lease is None:
            over_ms = self._claimed_ms + self._timing.takeover_ms
            lease = WorkerLease(self._timing, over_ms)
            self._lease_by_worker[worker_id] = lease
        return lease

    def _note_unreached(self, worker_id: str, failure: Failure) -> None:
        if failure.code is FailureCode.FENCED:
            self.end("a worker has seen a higher token")
        elif failure.code is FailureCode.REPLACED:
            self._drop_worker(worker_id, "replaced")
        else:
            self._reported_ms_by_worker.pop(worker_id, None)

    def _note_silent(self, worker_id: str, now_ms: int) -> None:
        """Order nothing more until a later look is answered."""
        self._silent_ms_by_worker[worker_id] = now_ms
        self._reported_ms_by_worker.pop(worker_id, None)

    def _check_workers(self, now_ms: int) -> None:
        for worker in list(self.book.workers_by_id.values()):
            worker_id = worker.worker_id
            reported_ms = self._reported_ms_by_worker.get(worker_id)
            is_reached = (
                reported_ms is not None
                and now_ms - reported_ms <= REPORT_MAX_AGE_MS
            )
            is_avoided = self.planner.trust.is_avoided(worker_id, now_ms)
            worker.is_usable = (
                is_reached and not is_avoided and worker_id in self._listed
            )
            if not is_reached:
                self._check_lapsed(worker, now_ms)

    def _check_lapsed(self, worker: WorkerEntry, now_ms: int) -> None:
        worker_id = worker.worker_id
        if now_ms < self._lease(worker_id).surely_over_ms():
            return
        lost = self.book.lose_runs(worker_id)
        if lost:
            log_event("worker-lease-over", worker=worker_id, lost_runs=lost)
        if worker_id not in self._listed:
            self._drop_worker(worker_id, "unlisted")

    def _drop_worker(self, worker_id: str, reason: str) -> None:
        worker = self.book.workers_by_id.get(worker_id)
        if worker is None:
            return
        log_event(
            "worker-gone",
            worker=worker_id,
            reason=reason,
            lost_runs=len(worker.runs),
        )
        self._effects.close_link(worker_id)
        self.book.drop_worker(worker_id)
        for known in (
            self._lease_by_worker,
            self._reported_ms_by_worker,
            self._silent_ms_by_worker,
            self._ends_by_worker,
            self._listed,
        ):
            known.pop(worker_id, None)
        self._reader.forget(worker_id)
        self.planner.trust.forget(worker_id)

    def _refuse_start(
        self,
        run: RunEntry,
        planned: PlannedStart,
        failure: Failure,
        now_ms: int,
    ) -> None:
        step = run.task.step
        self.book.lose_run(run)
        if failure.code is FailureCode.TICKET:
            step.tickets_by_worker.pop(planned.worker_id, None)
        elif failure.code is not FailureCode.STALE:
            until_ms = now_ms + UNHEALTHY_PAUSE_MS
            self.planner.trust.avoid(planned.worker_id, until_ms)

    def _log_failed_start(
        self, planned: PlannedStart, failure: Failure
    ) -> None:
        log_event(
            "start-failed",
            job=planned.task.job_id,
            step=planned.task.step,
            task=planned.task.position,
            run=planned.run,
            worker=planned.worker_id,
            verdict=failure.verdict,
            code=failure.code,
            reason=failure.detail,
        )

    def _commit(self, now_ms: int) -> None:
        if self._is_committing:
            return
        is_quiet = now_ms - self._shown_ms < HEARTBEAT_MS
        if (
            is_quiet
            and not self.book.dirty
            and not self._unshown
            and not self._to_start
        ):
            return
        batch = Batch(self._progress_records(), self._state_records(now_ms))
        self._acknowledged_by_worker = dict(self._ends_by_worker)
        self._in_commit, self._to_start = self._to_start, []
        self._is_committing = True
        if batch.states:
            self._shown_ms = now_ms
        self._effects.commit(batch)

    def _progress_records(self) -> tuple[KeyedRecord, ...]:
        closed = self._close_jobs()
        self._unshown |= self.book.dirty
        self._in_commit_by_id = {
            job_id: self.book.progress(job_id)
            for job_id in sorted(self.book.dirty)
            if job_id in self.book.jobs_by_id
        }
        self.book.dirty.clear()
        return (
            *(KeyedRecord(PROGRESS_PREFIX + job_id, b"") for job_id in closed),
            *(
                KeyedRecord(
                    PROGRESS_PREFIX + job_id, encode_progress(progress)
                )
                for job_id, progress in self._in_commit_by_id.items()
            ),
        )

    def _close_jobs(self) -> list[str]:
        """Forget jobs whose final state is stored and that run nowhere."""
        closed = [
            job_id
            for job_id in self._closing
            if job_id not in self.book.dirty and not self._has_runs(job_id)
        ]
        for job_id in closed:
            self._closing.discard(job_id)
            self.book.drop_job(job_id)
        if closed:
            self._effects.forget(closed)
        return closed

    def _has_runs(self, job_id: str) -> bool:
        job = self.book.jobs_by_id.get(job_id)
        return job is not None and any(
            step.live_runs() for step in job.all_steps()
        )

    def _state_records(self, now_ms: int) -> tuple[KeyedRecord, ...]:
        unshown, self._unshown = self._unshown, set()
        for job_id in sorted(unshown):
            job = self.book.jobs_by_id.get(job_id)
            if job is None:
                continue
            shown = ShownJob(_state_of(job), job.spec.queue)
            if self._states.get(job_id) != shown:
                self._in_commit_states[job_id] = shown
        records = [
            KeyedRecord(STATE_PREFIX + job_id, shown.encode())
            for job_id, shown in self._in_commit_states.items()
        ]
        if not records and now_ms - self._shown_ms >= HEARTBEAT_MS:
            leader = encode_leader(self._leader)
            records = [KeyedRecord(LEADER_KEY, leader)]
        return (*records, *self._expired_states(now_ms))

    def _expired_states(self, now_ms: int) -> list[KeyedRecord]:
        expired: list[KeyedRecord] = []
        for job_id, ended_ms in list(self._ended_ms_by_job.items()):
            if now_ms - ended_ms < self._timing.keep_states_ms:
                break
            del self._ended_ms_by_job[job_id]
            self._states.put(job_id, None)
            expired.append(KeyedRecord(STATE_PREFIX + job_id, b""))
        return expired

    def _order(self, planned: PlannedStart, now_ms: int) -> None:
        run = self.book.run(planned.task, planned.run, planned.worker_id)
        if run is None:
            return
        job = run.task.step.job
        info = self._listed.get(planned.worker_id)
        deadline_ms = self.deadline(planned.worker_id, now_ms)
        if (
            job.outcome is not JobOutcome.OPEN
            or info is None
            or info.is_draining
            or deadline_ms is None
        ):
            self.book.lose_run(run)
            return
        order = StartOrder(
            planned.task,
            planned.run,
            job.spec.payload,
            self._leader.epoch,
            deadline_ms,
            run.task.checkpoint,
            planned.ticket,
        )
        self._effects.start(info, planned, order)

    def _stop(self, stop: PlannedStop, now_ms: int) -> None:
        run = self.book.run(stop.task, stop.run, stop.worker_id)
        info = self._listed.get(stop.worker_id)
        if run is None or info is None or run.stopped_ms is not None:
            return
        if stop.worker_id not in self._reported_ms_by_worker:
            return
        sent_ms = run.stop_sent_ms
        if sent_ms is not None and now_ms - sent_ms < STOP_RETRY_MS:
            return
        run.stop_sent_ms = now_ms
        log_event(
            "stop-ordered",
            job=stop.task.job_id,
            step=stop.task.step,
            task=stop.task.position,
            run=stop.run,
            worker=stop.worker_id,
            reason=stop.reason,
        )
        self._effects.stop_run(
            info, StopOrder(stop.task, stop.run, self._leader.epoch)
        )


def _state_of(job: JobEntry) -> JobState:
    if job.outcome is not JobOutcome.OPEN:
        return _STATE_BY_OUTCOME[job.outcome]
    return JobState.RUNNING if job.has_begun else JobState.PENDING
