"""Copies of runs of speculative steps that take unusually long."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from magnoliapitch.planner.candidates import free_task_count
from magnoliapitch.planner.plan import PlannedStart


if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Sequence

    from magnoliapitch.planner.candidates import Candidate
    from magnoliapitch.planner.duration import DurationEstimator
    from magnoliapitch.planner.planning_round import PlanningRound
    from magnoliapitch.planner.scheduler_state import SchedulerState
    from magnoliapitch.planner.tracked import TrackedRun
    from magnoliapitch.planner.tracked import TrackedStep


# Share of the runs of a step that take less time than a straggler.
STRAGGLER_QUANTILE = 0.95
# Half of the copies end within the duration of this quantile.
COPY_QUANTILE = 0.5
# Commit and start order of a copy.
START_MS = 60
CHECK_INTERVAL_MS = 100
MAX_COPIES_PER_ROUND = 8
# With more waiting steps, hardly any capacity is left over.
MAX_WAITING_STEPS = 50


class Stragglers:
    """Finds runs that take unusually long, and plans one copy of each.

    A task has one copy for each of its runs: a run that was followed by a
    later one gets no copy again.
    """

    def __init__(self, durations: DurationEstimator) -> None:
        self._durations = durations
        self._next_check_ms = 0

    def find(self, state: SchedulerState, now_ms: int) -> list[TrackedRun]:
        """Return the runs that a copy may overtake, the longest first."""
        if now_ms < self._next_check_ms:
            return []
        self._next_check_ms = now_ms + CHECK_INTERVAL_MS
        found = [
            run
            for worker in state.workers_by_id.values()
            for run in worker.runs
            if run.task.step.spec.may_have_copies
            and self._is_straggler(run, now_ms)
        ]
        found.sort(key=lambda run: run.started_ms or 0)
        return found[:MAX_COPIES_PER_ROUND]

    def copies(
        self,
        stragglers: Sequence[TrackedRun],
        ranked_steps: Sequence[TrackedStep],
        planning_round: PlanningRound,
        now_ms: int,
        max_copies: int,
    ) -> list[PlannedStart]:
        """Plan copies where no waiting step can use the capacity.

        :param ranked_steps: the steps that waited when the round began.
        :param max_copies: number of start orders that can still be sent.
        """
        if not stragglers or len(ranked_steps) > MAX_WAITING_STEPS:
            return []
        started_by_step = Counter(
            start.task.step_key for start in planning_round.starts
        )
        for step in ranked_steps:
            count = step.startable_count - started_by_step[step.key]
            _reserve(planning_round.workers.eligible(step), step, count)
        copies: list[PlannedStart] = []
        for run in stragglers[: max(0, max_copies)]:
            candidates = self._candidates(run, planning_round, now_ms)
            with_ticket = [
                candidate
                for candidate in candidates
                if planning_round.has_ticket(run.task.step, candidate)
            ]
            if with_ticket:
                with_ticket[0].reserve(run.resources)
                copies.append(_copy_of(run, with_ticket[0]))
            else:
                planning_round.request_permits(run.task.step, candidates)
        return copies

    def _is_straggler(self, run: TrackedRun, now_ms: int) -> bool:
        task = run.task
        spec = task.step.spec
        if (
            # Copies are not counted against these limits.
            spec.max_per_worker
            or task.step.job.spec.workspace
            or task.is_done
            or not task.has_attempts_left
            or len(task.active_runs) > 1
            or run.number < task.runs
            or run.is_stopping
            or run.has_ended_with_worker
            or run.started_ms is None
            or task.lost_worker_count
        ):
            return False
        late_ms = self._durations.late_quantile_ms(
            task.step, run.worker_id, STRAGGLER_QUANTILE
        )
        return now_ms - run.started_ms > late_ms

    def _candidates(
        self, run: TrackedRun, planning_round: PlanningRound, now_ms: int
    ) -> list[Candidate]:
        """Return the workers on which a copy is expected to end first."""
        step = run.task.step
        remaining_ms = self._durations.remaining_ms(run, now_ms)
        excluded_ids = step.failed_worker_ids | {run.worker_id}
        if step.job.queue.permit_timing is not None:
            excluded_ids |= step.asked_worker_ids - step.permitted_worker_ids
        candidates = [
            candidate
            for candidate in planning_round.workers.eligible(step)
            if candidate.worker.worker_id not in excluded_ids
            and free_task_count(candidate, step)
        ]
        duration_ms_by_worker = {
            candidate.worker.worker_id: self._durations.late_quantile_ms(
                step, candidate.worker.worker_id, COPY_QUANTILE
            )
            for candidate in candidates
        }
        faster = [
            candidate
            for candidate in candidates
            if duration_ms_by_worker[candidate.worker.worker_id] + START_MS
            < remaining_ms
        ]
        faster.sort(
            key=lambda candidate: duration_ms_by_worker[
                candidate.worker.worker_id
            ]
        )
        return faster


def _reserve(
    candidates: Iterable[Candidate], step: TrackedStep, count: int
) -> None:
    """Take the capacity that the waiting tasks of a step may use."""
    for candidate in candidates:
        if count <= 0:
            return
        fitting_count = min(count, free_task_count(candidate, step))
        candidate.reserve(step.reservation.times(fitting_count))
        count -= fitting_count


def _copy_of(run: TrackedRun, candidate: Candidate) -> PlannedStart:
    worker_id = candidate.worker.worker_id
    task = run.task
    ticket, _ = task.step.ticket(worker_id)
    return PlannedStart(
        task.key, task.runs + 1, worker_id, ticket, is_copy=True
    )
