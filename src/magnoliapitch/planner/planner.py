"""Planning rounds: which tasks start on which workers."""

from __future__ import annotations

import sys

from collections import Counter
from typing import TYPE_CHECKING
from typing import NamedTuple

from magnoliapitch.planner.ahead_requests import AheadRequests
from magnoliapitch.planner.candidate_order import CandidateOrder
from magnoliapitch.planner.candidate_order import SpeedOrder
from magnoliapitch.planner.duration import LearnedDurations
from magnoliapitch.planner.duration import MovingAverage
from magnoliapitch.planner.evacuation import Evacuation
from magnoliapitch.planner.expected_starts import expected_starts
from magnoliapitch.planner.expected_starts import in_order
from magnoliapitch.planner.expected_starts import lost_service_runs
from magnoliapitch.planner.fair_shares import fair_shares
from magnoliapitch.planner.kept_room import KeptRoom
from magnoliapitch.planner.options import PlanningOptions
from magnoliapitch.planner.permit_budget import PermitBudget
from magnoliapitch.planner.plan import IdleCalls
from magnoliapitch.planner.plan import Plan
from magnoliapitch.planner.plan import PlannedStop
from magnoliapitch.planner.planning_round import PlanningRound
from magnoliapitch.planner.preemption import Preemption
from magnoliapitch.planner.ranking import is_urgent
from magnoliapitch.planner.ranking import rank_of
from magnoliapitch.planner.round_left import RoundLeft
from magnoliapitch.planner.straggler import Stragglers
from magnoliapitch.planner.worker_backoff import WorkerBackoff
from magnoliapitch.planner.worker_isolation import WorkerIsolation
from magnoliapitch.planner.workspace_round import WorkspaceRound
from magnoliapitch.workload.progress import JobOutcome


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from magnoliapitch.planner.duration import DurationEstimator
    from magnoliapitch.planner.scheduler_state import SchedulerState
    from magnoliapitch.planner.tracked import TrackedRun
    from magnoliapitch.planner.tracked import TrackedStep


DEFAULT_OPTIONS = PlanningOptions()
COPY_LOST = "copy-lost"
# Bounds the duration of a round when very many steps wait.
MAX_STEPS_PER_ROUND = 150
UNLIMITED_CALLS = IdleCalls(MAX_STEPS_PER_ROUND, MAX_STEPS_PER_ROUND)


class Planner:
    """Plans rounds; keeps expected durations and failures between them.

    :ivar options: optional behaviour that is switched on.
    :ivar duration_estimator: expected durations of tasks.
    :ivar learned_durations: the same with ``worker_speeds`` on, else None.
    :ivar may_preempt: whether a waiting step may preempt runs; for example,
        not one that a quota holds back.
    :ivar left: what the newest round has left; None if there was nothing to
        place.
    """

    def __init__(self, options: PlanningOptions = DEFAULT_OPTIONS) -> None:
        self.options = options
        self.left: RoundLeft | None = None
        self._moving_average = MovingAverage()
        self.learned_durations = (
            LearnedDurations() if options.worker_speeds else None
        )
        self.duration_estimator: DurationEstimator = (
            self.learned_durations or self._moving_average
        )
        self.worker_backoff = WorkerBackoff()
        self._isolation = WorkerIsolation()
        self.may_preempt: Callable[[TrackedStep], bool] = _may_start_whole
        durations = self.duration_estimator
        self._evacuation = Evacuation(durations)
        self._preemption = Preemption(durations)
        self._kept_room = KeptRoom()
        self._begun_ms: int | None = None
        # The steps of the newest round, the worst last.
        self._ranked: list[TrackedStep] = []
        self._stragglers = Stragglers(durations)

    def record_failed(self, run: TrackedRun) -> None:
        """Record the worker of a failed run.

        Whether the worker is to blame is decided when a later run of the
        step is done.
        """
        run.task.step.failed_worker_ids.add(run.worker_id)

    def record_done(self, run: TrackedRun, now_ms: int) -> dict[str, int]:
        """Update expected durations and back-off from a run that was done.

        A step that failed on one worker and is done on another counts as a
        failure of the first worker. A step that fails on every worker is
        attributed to its job.

        :return: how long workers are avoided from now on, in ms by id.
        """
        self.worker_backoff.record_done(run.worker_id)
        step = run.task.step
        pause_ms_by_worker = {
            worker_id: self.worker_backoff.record_failed(worker_id, now_ms)
            for worker_id in step.failed_worker_ids - {run.worker_id}
        }
        step.failed_worker_ids.clear()
        self.duration_estimator.record_done(run, now_ms)
        if self.duration_estimator is not self._moving_average:
            self._moving_average.record_done(run, now_ms)
        return {
            avoided_worker_id: pause_ms
            for avoided_worker_id, pause_ms in pause_ms_by_worker.items()
            if pause_ms
        }

    def plan(
        self,
        state: SchedulerState,
        now_ms: int,
        wall_ms: int,
        idle_calls: IdleCalls = UNLIMITED_CALLS,
        max_starts: int = sys.maxsize,
        max_starts_in_flight: int | None = None,
    ) -> Plan:
        """Return the actions of one planning round.

        :param now_ms: current time, by the clock that the state's times
            were taken from.
        :param wall_ms: wall-clock time, ms since 1970.
        :param idle_calls: advisor calls that can be started now.
        :param max_starts: number of start orders that can be sent now.
        :param max_starts_in_flight: number of start orders that may be
            without an answer at the same time; by default as many as can be
            sent now.
        """
        self.left = None
        if self._begun_ms is None:
            self._begun_ms = now_ms
        state.open_due_steps(now_ms, wall_ms)
        state.exchange_waiting_steps(self._ranked, now_ms)
        self.duration_estimator.refresh(state.workers_by_id, now_ms)
        stragglers: list[TrackedRun] = []
        if self.options.preemption:
            self._evacuation.mark(state, now_ms)
            stragglers = self._stragglers.find(state, now_ms)
        lost_runs = lost_service_runs(state)
        expected = expected_starts(state, lost_runs, now_ms)
        if not (state.waiting_steps or stragglers or expected or lost_runs):
            return Plan(stops=self._planned_stops(state))
        if max_starts_in_flight is None:
            max_starts_in_flight = max_starts
        workspace_round = WorkspaceRound(state)
        self._ranked = self._ranked_steps(state, now_ms)
        ranked_steps = workspace_round.order(self._ranked)
        ordered_steps = in_order(ranked_steps, expected)
        permit_budget = PermitBudget(
            [*ordered_steps, *(run.task.step for run in stragglers)],
            idle_calls,
            max_starts_in_flight,
            {step.key for step in ranked_steps if is_urgent(step)}
            | expected.keys(),
        )
        planning_round = PlanningRound(
            state,
            now_ms,
            permit_budget,
            max_starts,
            self._isolation,
            workspace_round,
            self._candidate_order(),
            self._kept_room,
            self._begun_ms,
        )
        if self.options.preemption:
            self._kept_room.refresh(
                state, lost_runs, planning_round.workers, now_ms
            )
        ahead_requests = AheadRequests(
            planning_round, expected, self._candidate_order(), now_ms
        )
        examined_count = self._place(
            ordered_steps,
            planning_round,
            workspace_round,
            ahead_requests,
            now_ms,
        )
        for start, task_count in self._kept_room.unplaced:
            ahead_requests.request_unasked(start.step, task_count)
        if self.options.preemption:
            self._preemption.mark(
                state,
                ordered_steps,
                planning_round,
                now_ms,
                self.may_preempt,
                expected,
            )
            planning_round.starts += self._stragglers.copies(
                stragglers,
                ranked_steps,
                planning_round,
                now_ms,
                max_starts - len(planning_round.starts),
            )
        self.left = RoundLeft(
            planning_round.workers,
            permit_budget,
            workspace_round,
            self._kept_room,
        )
        return Plan(
            tuple(planning_round.starts),
            self._planned_stops(state),
            permit_budget.requests(),
            len(ranked_steps)
            - examined_count
            - workspace_round.held_count
            + state.steps_behind,
            workspace_round.waits(),
            self._isolation.kept_count,
        )

    def _place(
        self,
        ordered_steps: list[TrackedStep],
        planning_round: PlanningRound,
        workspace_round: WorkspaceRound,
        ahead_requests: AheadRequests,
        now_ms: int,
    ) -> int:
        """Place the steps in their order; return how many were examined.

        Those without a waiting task only have permits requested ahead. Those
        that nothing can be done for do not use up the steps that a round
        places, or else they would keep those behind them from the orders.
        """
        examined_count = 0
        remaining_by_kind = _examined_steps_by_kind(ordered_steps)
        for step in ordered_steps:
            if planning_round.is_complete:
                break
            ahead_requests.request(step)
            if not step.waiting_count:
                self._preemption.hold_room(step, planning_round, now_ms)
                continue
            kind = _kind_of(step)
            if not remaining_by_kind[kind]:
                continue
            if not workspace_round.lets_start(step):
                continue
            examined_count += 1
            planning_round.record_call(step)
            if planning_round.can_serve(step):
                remaining_by_kind[kind] -= 1
                planning_round.place(step)
                workspace_round.record_starts(step, len(planning_round.starts))
            self._preemption.hold_room(step, planning_round, now_ms)
        planning_round.end_placing()
        return examined_count

    @property
    def _has_uneven_workers(self) -> bool:
        learned = self.learned_durations
        return learned is not None and learned.speeds.is_uneven

    def _candidate_order(self) -> CandidateOrder:
        if self.learned_durations is None or not self._has_uneven_workers:
            return CandidateOrder(
                compares_speeds=self.learned_durations is not None
            )
        return SpeedOrder(self.learned_durations)

    def _planned_stops(self, state: SchedulerState) -> tuple[PlannedStop, ...]:
        return tuple(
            _planned_stop(state, run, has_copies=self.options.preemption)
            for run in state.runs_to_stop.values()
        )

    def _ranked_steps(
        self, state: SchedulerState, now_ms: int
    ) -> list[TrackedStep]:
        """Return the waiting steps in the order in which they are placed."""
        estimator: DurationEstimator = self._moving_average
        if self._has_uneven_workers:
            estimator = self.duration_estimator
        ranked = sorted(
            (rank_of(step, estimator, now_ms), step.key)
            for step in state.waiting_steps.values()
        )
        return [state.waiting_steps[key] for _, key in ranked]


def _may_start_whole(step: TrackedStep) -> bool:
    """Return whether quota and share let all waiting tasks start."""
    if step.is_beyond_share:
        return False
    return step.startable_count == step.waiting_count


class _Kind(NamedTuple):
    """Steps that share a part of a round."""

    queue: str
    is_long_running: bool


def _kind_of(step: TrackedStep) -> _Kind:
    return _Kind(step.job.queue.name, step.spec.is_long_running)


def _examined_steps_by_kind(
    ranked_steps: Iterable[TrackedStep],
) -> dict[_Kind, int]:
    """Return how many steps of each kind a round examines.

    A long backlog of one queue, none of which may fit, leaves room for the
    steps of the others. So do long-running steps, which never rank as late,
    for the other ones of their queue.
    """
    return fair_shares(
        Counter(map(_kind_of, ranked_steps)), MAX_STEPS_PER_ROUND
    )


def _planned_stop(
    state: SchedulerState, run: TrackedRun, *, has_copies: bool
) -> PlannedStop:
    info = state.get_or_add_worker(run.worker_id).info
    outcome = run.task.step.job.outcome
    if has_copies and run.task.is_done and run.task.step.spec.is_speculative:
        reason = COPY_LOST
    elif outcome is not JobOutcome.OPEN:
        reason = f"job-{outcome}"
    elif run.stop_reason:
        reason = run.stop_reason
    elif info is not None and info.is_draining:
        reason = "worker-draining"
    else:
        reason = "superseded"
    return PlannedStop(run.task.key, run.number, run.worker_id, reason)
