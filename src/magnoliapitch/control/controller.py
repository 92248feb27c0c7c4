"""Turns plans into stored progress and orders, and reports into facts."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from result import Err

from magnoliapitch.control.order_issuer import Orders
from magnoliapitch.control.progress_batcher import ProgressStorage
from magnoliapitch.control.reachability import Contacts
from magnoliapitch.control.reports import ReportReader
from magnoliapitch.event import log_event
from magnoliapitch.planner.planner import Planner
from magnoliapitch.planner.scheduler_state import Book
from magnoliapitch.verdict import FailureCode
from magnoliapitch.verdict import Verdict


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
    from magnoliapitch.ledger.records import LeaderRecord
    from magnoliapitch.ledger.replica import Replica
    from magnoliapitch.ledger.replica import StoredJob
    from magnoliapitch.ledger.state_table import StateTable
    from magnoliapitch.metric import Metrics
    from magnoliapitch.planner.plan import PlannedAsk
    from magnoliapitch.planner.plan import PlannedStart
    from magnoliapitch.planner.tracked import WorkerEntry
    from magnoliapitch.verdict import Failure
    from magnoliapitch.workload.configuration import Configuration
    from magnoliapitch.workload.job import StepKey
    from magnoliapitch.workload.worker import WorkerInfo


ASK_TIMEOUT_MS = 2_000


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
        self._timing = timing
        self._replica = replica
        self._effects = effects
        self._configuration = configuration
        self._metrics = metrics
        self._contacts = Contacts(timing, claimed_ms)
        self._listed: dict[str, WorkerInfo] = {}
        self._orders = Orders(
            leader.epoch, self.book, self.planner, effects, metrics
        )
        self._reader = ReportReader(self.book, self.planner, metrics)
        self._to_start: list[PlannedStart] = []
        self._in_commit: list[PlannedStart] = []
        self._acknowledged_by_worker: dict[str, int] = {}
        self._ends_by_worker: dict[str, int] = {}
        self._is_committing = False
        self._stored_ms = claimed_ms
        self._storage = ProgressStorage(
            self.book, states, leader, timing, effects.forget
        )

    @property
    def epoch(self) -> int:
        """Return the fencing token of every order."""
        return self._leader.epoch

    def load(self, now_ms: int) -> None:
        """Take over every open job from the replica."""
        self._storage.load(now_ms)
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
        if not self.may_order(now_ms):
            return None
        return self._contacts.deadline(worker_id, now_ms)

    def note_workers(self, event: WorkersListed) -> None:
        """Take over the platform's list of workers."""
        self._listed = dict(event.info_by_id)
        self._orders.listed_by_id = self._listed
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
            if not self._is_final(worker_id, event.outcome.err_value):
                self._contacts.note_unanswered(worker_id)
            return
        report = event.outcome.ok_value
        self._contacts.note_answer(
            worker_id, report.clock_ms, event.sent_ms, event.received_ms
        )
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
        self._orders.note_failed_start(planned, failure)
        if self._is_final(planned.worker_id, failure):
            return
        if run is None or run.confirmed_ms is not None:
            return
        if failure.code in (FailureCode.UNAVAILABLE, FailureCode.TIMEOUT):
            self._contacts.note_silent(planned.worker_id, event.received_ms)
        if failure.verdict is Verdict.NOT_RUN:
            self._orders.refuse_start(run, planned, failure, event.received_ms)
        else:
            self.book.stop_later(run)

    def note_stop(self, event: StopAnswered) -> None:
        """Take over the answer to an order to stop."""
        run = self.book.run(event.task, event.run, event.worker_id)
        if not isinstance(event.outcome, Err):
            if run is not None:
                run.stopped_ms = event.received_ms
            return
        if not self._is_final(event.worker_id, event.outcome.err_value):
            self._contacts.note_silent(event.worker_id, event.received_ms)

    def note_commit(self, event: Committed, now_ms: int) -> None:
        """Go on with what waited for the store."""
        self._is_committing = False
        if isinstance(event.outcome, Err):
            self.end(event.outcome.err_value.detail)
            return
        self._stored_ms = max(self._stored_ms, event.sent_ms)
        self._storage.note_stored(now_ms)
        for worker_id, number in self._acknowledged_by_worker.items():
            self._effects.acknowledge(worker_id, number)
        starts, self._in_commit = self._in_commit, []
        for planned in starts:
            deadline_ms = self.deadline(planned.worker_id, now_ms)
            self._orders.start(planned, deadline_ms, now_ms)

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
                if self._contacts.is_answering(stop.worker_id):
                    self._orders.stop(stop, now_ms)
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
        if self._storage.has_ended(spec.job_id):
            self._effects.forget([spec.job_id])
            return
        queue = configuration.queues_by_name.get(spec.queue)
        if queue is None:
            # The queue was removed; its jobs wait for its return.
            log_event("queue-missing", job=spec.job_id, queue=spec.queue)
            return
        self.book.add_job(spec, queue, now_ms, stored.progress)
        self._storage.note_taken(spec.job_id)
        if stored.is_cancelled:
            self.book.cancel_job(spec.job_id)

    def _is_final(self, worker_id: str, failure: Failure) -> bool:
        """Act on a failure that ends this leadership or the worker."""
        if failure.code is FailureCode.FENCED:
            self.end("a worker has seen a higher token")
        elif failure.code is FailureCode.REPLACED:
            self._drop_worker(worker_id, "replaced")
        else:
            return False
        return True

    def _check_workers(self, now_ms: int) -> None:
        for worker in list(self.book.workers_by_id.values()):
            worker_id = worker.worker_id
            is_reached = self._contacts.is_reached(worker_id, now_ms)
            is_avoided = self.planner.trust.is_avoided(worker_id, now_ms)
            worker.is_usable = (
                is_reached and not is_avoided and worker_id in self._listed
            )
            if not is_reached:
                self._check_lapsed(worker, now_ms)

    def _check_lapsed(self, worker: WorkerEntry, now_ms: int) -> None:
        worker_id = worker.worker_id
        if now_ms < self._contacts.lease_over_ms(worker_id):
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
        self._ends_by_worker.pop(worker_id, None)
        self._listed.pop(worker_id, None)
        self._contacts.forget(worker_id)
        self._reader.forget(worker_id)
        self.planner.trust.forget(worker_id)

    def _commit(self, now_ms: int) -> None:
        if self._is_committing:
            return
        batch = self._storage.next_batch(now_ms, bool(self._to_start))
        if batch is None:
            return
        self._acknowledged_by_worker = dict(self._ends_by_worker)
        self._in_commit, self._to_start = self._to_start, []
        self._is_committing = True
        self._effects.commit(batch)
