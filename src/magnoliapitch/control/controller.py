"""Decisions of the leader, made on events and carried out by ``Effects``."""

from __future__ import annotations

from typing import TYPE_CHECKING

from result import Err

from magnoliapitch.control.end_acknowledger import EndAcknowledger
from magnoliapitch.control.job_loader import JobLoader
from magnoliapitch.control.load_publisher import LoadPublisher
from magnoliapitch.control.order_answers import OrderAnswers
from magnoliapitch.control.order_issuer import OrderIssuer
from magnoliapitch.control.permit_requester import PermitRequester
from magnoliapitch.control.planning_summary import PlanningSummary
from magnoliapitch.control.progress_batcher import ProgressBatcher
from magnoliapitch.control.progress_commits import ProgressCommits
from magnoliapitch.control.reachability import WorkerReachability
from magnoliapitch.control.renewal_answers import RenewalAnswers
from magnoliapitch.control.reports import ReportApplier
from magnoliapitch.control.source_ages import Source
from magnoliapitch.control.source_ages import SourceAges
from magnoliapitch.control.start_dispatcher import StartDispatcher
from magnoliapitch.control.start_summary import StartSummary
from magnoliapitch.control.stored_leases import StoredLeases
from magnoliapitch.control.stored_old_runs import StoredOldRuns
from magnoliapitch.control.waiting_report import WaitingReport
from magnoliapitch.control.worker_roster import WorkerRoster
from magnoliapitch.control.worker_tokens import WorkerTokens
from magnoliapitch.event import log_event
from magnoliapitch.planner.planner import DEFAULT_OPTIONS
from magnoliapitch.planner.planner import Planner
from magnoliapitch.planner.reconfiguration import apply_configuration
from magnoliapitch.planner.scheduler_state import SchedulerState
from magnoliapitch.workload.progress import JobOutcome


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence

    from magnoliapitch.control.effects import Effects
    from magnoliapitch.control.events import Committed
    from magnoliapitch.control.events import JobsRead
    from magnoliapitch.control.events import PermitsAnswered
    from magnoliapitch.control.events import StartAnswered
    from magnoliapitch.control.events import StopAnswered
    from magnoliapitch.control.events import WorkerReported
    from magnoliapitch.control.events import WorkersListed
    from magnoliapitch.control.timing import ControlTiming
    from magnoliapitch.ledger.elapsed_clock import LeaderClock
    from magnoliapitch.ledger.job_table import JobTable
    from magnoliapitch.ledger.records import LeaderRecord
    from magnoliapitch.ledger.state_table import StateTable
    from magnoliapitch.metric import Metrics
    from magnoliapitch.planner.options import PlanningOptions
    from magnoliapitch.workload.configuration import Configuration


class Controller:
    """Schedules tasks on all workers while this instance leads.

    Each epoch of leadership has its own controller, which handles events and
    plans rounds; ``effects`` makes the calls to other systems. One thread
    uses it; only ``next_lease_deadline`` is also called by the lease renewal
    threads.

    :param leader: stored claim of leadership, with its epoch.
    :param claimed_ms: when the call that stored the claim was sent, by this
        instance's clock.
    :param clock: the shared clock as the leader continues it.
    :param configuration: returns the newest configuration, or None if none
        was read yet.
    :ivar is_over: whether the leadership has ended; no leases or orders may
        be issued from then on.
    """

    def __init__(
        self,
        leader: LeaderRecord,
        claimed_ms: int,
        clock: LeaderClock,
        timing: ControlTiming,
        job_table: JobTable,
        state_table: StateTable,
        effects: Effects,
        configuration: Callable[[], Configuration | None],
        metrics: Metrics,
        options: PlanningOptions = DEFAULT_OPTIONS,
    ) -> None:
        self.is_over = False
        self.state = SchedulerState()
        self.planner = Planner(options)
        self._leader = leader
        self._timing = timing
        self._job_table = job_table
        self._effects = effects
        self._configuration = configuration
        self._metrics = metrics
        self._stored_leases = StoredLeases(clock, state_table)
        self._old_runs = StoredOldRuns(self.state, state_table, claimed_ms)
        self._reachability = WorkerReachability(
            timing, claimed_ms, clock, self._stored_leases
        )
        self._end_acknowledger = EndAcknowledger(effects.acknowledge)
        self._report_applier = ReportApplier(
            self.state, self.planner, self._end_acknowledger, metrics
        )
        tokens = WorkerTokens(leader.epoch)
        self._roster = WorkerRoster(
            self.state,
            self.planner,
            effects,
            self._reachability,
            self._report_applier,
            tokens,
        )
        self._source_ages = SourceAges.from_timing(timing)
        self._order_issuer = OrderIssuer(
            tokens,
            self.state,
            self.planner,
            self._roster.info_by_id,
            self._source_ages,
            effects,
            metrics,
        )
        self._permit_requester = PermitRequester(self.state, effects)
        self._planning_summary = PlanningSummary(
            self.state, claimed_ms, metrics
        )
        self._waiting_report = WaitingReport(
            self.state,
            self.planner,
            self._roster,
            self._permit_requester,
            claimed_ms,
        )
        self._starts = StartDispatcher(
            self._source_ages,
            self._order_issuer,
            self._reachability,
            effects,
            self.next_lease_deadline,
            lambda: self._progress_batcher.stamped_ms is not None,
        )
        self._start_summary = StartSummary(
            self._starts.queue, effects, claimed_ms
        )
        self._order_answers = OrderAnswers(
            self.state,
            self._roster,
            self._reachability,
            self._order_issuer,
            self._start_summary,
            self.stop_leading,
        )
        self._progress_batcher = ProgressBatcher(
            self.state,
            state_table,
            leader,
            timing,
            clock,
            self._stored_leases,
            self._old_runs,
            self._delete_jobs,
            self.planner.learned_durations,
            LoadPublisher.from_planner(
                self.planner,
                self.state,
                leader.epoch,
                state_table.load,
                configuration,
                metrics,
            ),
        )
        self._commits = ProgressCommits(
            self.state,
            self._progress_batcher,
            self._report_applier,
            self._end_acknowledger,
            self._starts,
            effects,
            claimed_ms,
        )
        self._renewal_answers = RenewalAnswers(
            self.state,
            self._roster,
            self._reachability,
            self._report_applier,
            self._order_answers,
            self._order_issuer,
            self._end_acknowledger,
            self._progress_batcher,
            self._is_all_stored,
        )
        self._job_loader = JobLoader(
            self.state,
            job_table,
            self._progress_batcher,
            configuration,
            self._delete_jobs,
        )

    @property
    def epoch(self) -> int:
        """Return the epoch, the lowest fencing token of the leadership."""
        return self._leader.epoch

    def load(
        self,
        now_ms: int,
        job_end: int,
        jobs_read_ms: int,
        goes_on: Callable[[], bool] = lambda: True,
    ) -> bool:
        """Add the stored jobs, ended ones too if runs of them may be active.

        Their runs use capacity until they have ended.

        :param job_end: offset up to which the job stream was read.
        :param jobs_read_ms: when the call that read it was sent.
        :param goes_on: called before each job is added; returns whether this
            instance is still to lead.
        :return: whether all jobs were added; the controller is of no use
            otherwise.
        """
        self._source_ages.record_read(Source.JOBS, jobs_read_ms)
        apply_configuration(self.state, self._configuration())
        self._progress_batcher.load(now_ms)
        self._progress_batcher.record_read(job_end)
        if not self._job_loader.add_all(now_ms, goes_on):
            return False
        for worker in self.state.workers_by_id.values():
            worker.address = self._stored_leases.address(worker.worker_id)
        self._stored_leases.keep_only(self._worker_ids_with_runs())
        self._old_runs.restore(now_ms)
        open_count = sum(
            job.outcome is JobOutcome.OPEN
            for job in self.state.jobs_by_id.values()
        )
        log_event(
            "leadership-begun",
            epoch=self._leader.epoch,
            open_jobs=open_count,
            ended_jobs=len(self.state.jobs_by_id) - open_count,
        )
        return True

    def may_issue_orders(self, now_ms: int) -> bool:
        """Return whether leases and orders may be issued at a time.

        They may not if the last stored record is too old, since another
        instance may lead by then.
        """
        age_ms = now_ms - self._commits.stored_ms
        return (
            not self.is_over and age_ms <= self._timing.max_leader_silence_ms
        )

    def next_lease_deadline(self, worker_id: str, now_ms: int) -> int | None:
        """Return the end of a worker's next lease on the worker's clock.

        A lease begins with the newest stored reading of the shared clock,
        from which the next leader counts.

        :return: the end in ms, or None if no lease may be granted.
        """
        if not self.may_issue_orders(now_ms):
            return None
        stamped_ms = self._progress_batcher.stamped_ms
        if stamped_ms is None:
            return None
        worker = self.state.workers_by_id.get(worker_id)
        return self._reachability.next_lease_deadline(
            worker_id,
            stamped_ms,
            is_leaving=worker is not None and worker.is_leaving,
        )

    def handle_worker_list(self, event: WorkersListed, now_ms: int) -> None:
        """Update the workers from the platform's list."""
        self._source_ages.record_read(Source.WORKERS, event.read_ms)
        self._roster.update(event.info_by_id, now_ms)

    def handle_jobs_read(self, event: JobsRead, now_ms: int) -> None:
        """Add submitted jobs and cancel cancelled ones."""
        if event.end is not None:
            self._source_ages.record_read(Source.JOBS, event.read_ms)
            self._progress_batcher.record_read(event.end)
        self._job_loader.apply_changes(event.job_ids, now_ms)

    def handle_configuration_changed(self) -> None:
        """Apply a newer configuration to queues and workspaces."""
        apply_configuration(self.state, self._configuration())

    def handle_report(self, event: WorkerReported) -> None:
        """Apply a worker's report of active and ended runs, or a failure."""
        self._renewal_answers.handle(event)

    def handle_start_answer(self, event: StartAnswered) -> None:
        """Apply the answer to a start order, or its failure."""
        self._order_answers.handle_start(event)

    def handle_stop_answer(self, event: StopAnswered) -> None:
        """Apply the answer to a stop order, or its failure."""
        self._order_answers.handle_stop(event)

    def handle_progress_stored(
        self, now_ms: int, refused_keys: Sequence[str] = ()
    ) -> None:
        """Acknowledge ends and issue starts that waited to be stored.

        They do not wait for the states, which only callers need. The jobs of
        refused records fail, and workers report the ends again.
        """
        self._commits.handle_progress_stored(now_ms, refused_keys)

    def handle_commit(self, event: Committed, now_ms: int) -> None:
        """Record that a batch is stored, with its progress and its states.

        A failed commit ends the leadership.
        """
        self._commits.record_answer(event)
        if isinstance(event.outcome, Err):
            self.stop_leading(event.outcome.err_value.detail)
            return
        deleted_ids = self._stored_leases.deleted_in_commit
        self._progress_batcher.record_stored(now_ms)
        self._roster.record_grantable(deleted_ids, now_ms)
        self.handle_progress_stored(now_ms)

    def handle_permits(self, event: PermitsAnswered, now_ms: int) -> None:
        """Record the permits that the advisor gave, or log its failure."""
        self._permit_requester.handle_answer(event, now_ms)

    def run_round(self, now_ms: int, wall_ms: int) -> None:
        """Plan a round, issue its actions and commit the changes.

        :param wall_ms: wall-clock time, ms since 1970.
        """
        if self.is_over:
            return
        self._roster.check(now_ms)
        self._old_runs.update(now_ms)
        self._starts.order_stored(now_ms)
        idle_calls = self._effects.idle_advisor_calls()
        max_orders = self._effects.max_start_orders()
        max_starts = self._starts.max_new(max_orders, now_ms)
        plan = self.planner.plan(
            self.state,
            now_ms,
            wall_ms,
            idle_calls,
            max_starts,
            self._starts.queue.max_unanswered(max_orders, now_ms),
        )
        self._planning_summary.record(plan, idle_calls, max_starts, now_ms)
        self._waiting_report.log_if_due(plan, max_starts, now_ms)
        self._start_summary.log_if_due(now_ms)
        if self.may_issue_orders(now_ms):
            self._order_issuer.record_planned(plan.starts, now_ms)
            self._starts.queue.add(plan.starts)
            for stop in plan.stops:
                if self._reachability.is_answering(stop.worker_id):
                    self._order_issuer.stop(stop, now_ms)
            self._permit_requester.request(plan.permit_requests)
        self._commits.begin(now_ms)

    def has_steps_left(self, wall_ms: int) -> bool:
        """Return whether steps may start that the next round comes to.

        :param wall_ms: wall-clock time, ms since 1970.
        """
        state = self.state
        return state.steps_behind > 0 or state.has_due_steps(wall_ms)

    def stop_leading(self, reason: str) -> None:
        """End the leadership; no more orders are issued.

        :param reason: reason that the log gives.
        """
        if not self.is_over:
            self.is_over = True
            log_event("leadership-lost", epoch=self.epoch, reason=reason)

    def _is_all_stored(self) -> bool:
        """Return whether no change waits to be stored, or was not stored.

        The changes of a commit that has failed, which ends the leadership,
        are not known to be stored.
        """
        return not (self.is_over or self._commits.has_unstored_changes)

    def _worker_ids_with_runs(self) -> set[str]:
        return {
            worker.worker_id
            for worker in self.state.workers_by_id.values()
            if worker.runs
        }

    def _delete_jobs(self, job_ids: Sequence[str]) -> None:
        """Delete ended jobs, of which no run can be active any more."""
        self._job_table.forget_progress(job_ids)
        self._effects.delete_jobs(job_ids)
