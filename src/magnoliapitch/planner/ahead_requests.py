"""Permits that are requested before the tasks that need them may start."""

from __future__ import annotations

import math

from typing import TYPE_CHECKING

from magnoliapitch.planner.candidates import free_task_count
from magnoliapitch.planner.expected_starts import needed_until_ms
from magnoliapitch.planner.permit_calls import CAPACITY_MARGIN_RATIO
from magnoliapitch.planner.permit_calls import enough_candidates


if TYPE_CHECKING:
    from collections.abc import Mapping

    from magnoliapitch.planner.candidate_order import CandidateOrder
    from magnoliapitch.planner.candidates import Candidate
    from magnoliapitch.planner.expected_starts import ExpectedStart
    from magnoliapitch.planner.planning_round import PlanningRound
    from magnoliapitch.planner.tracked import TrackedStep
    from magnoliapitch.workload.job import StepKey


# Other work may use the room of some of them before the tasks may start.
MIN_PERMITTED_WORKERS = 3


class AheadRequests:
    """Requests permits for expected starts in one planning round.

    Each step is expected to use the room of the first workers that it asks
    about, so that the next one asks about others. The room is not kept: the
    worker of the runs may answer again, and other work can use it meanwhile.
    """

    def __init__(
        self,
        planning_round: PlanningRound,
        expected: Mapping[StepKey, ExpectedStart],
        candidate_order: CandidateOrder,
        now_ms: int,
    ) -> None:
        self._planning_round = planning_round
        self._expected = expected
        self._candidate_order = candidate_order
        self._now_ms = now_ms
        self._copies_by_id: dict[str, Candidate] = {}

    def _copy(self, candidate: Candidate) -> Candidate:
        """Return this object's copy of a worker, made when first needed."""
        worker_id = candidate.worker.worker_id
        copy = self._copies_by_id.get(worker_id)
        if copy is None:
            copy = self._copies_by_id[worker_id] = candidate.copy()
        return copy

    def request(self, step: TrackedStep) -> None:
        """Plan a call for the permits that the tasks of a step will lack.

        It asks about workers that were permitted before, and if these have
        too little room, about others.
        """
        expected = self._expected.get(step.key)
        if expected is None or step.job.queue.permit_timing is None:
            return
        if step.spec.is_gang:
            self._free_members(step)
        fitting_count = 0
        lacking: list[Candidate] = []
        wanted_count = math.ceil(CAPACITY_MARGIN_RATIO * expected.task_count)
        for number, candidate in enumerate(self._permitted(expected)):
            if (
                fitting_count >= wanted_count
                and number >= MIN_PERMITTED_WORKERS
            ):
                break
            count = free_task_count(candidate, step)
            used_count = min(
                count, max(0, expected.task_count - fitting_count)
            )
            candidate.reserve(step.reservation.times(used_count))
            fitting_count += count
            if not self._has_permit(expected, candidate):
                lacking.append(candidate)
        missing_count = expected.task_count - fitting_count
        if not self._planning_round.may_call(step):
            return
        if missing_count > 0:
            lacking += self._unasked(step, missing_count)
        self._planning_round.request_ahead(step, lacking)

    def request_unasked(self, step: TrackedStep, task_count: int) -> None:
        """Plan a call that tells early which workers a step may use.

        :param task_count: number of tasks for which no worker is known.
        """
        if step.job.queue.permit_timing is None or step.waiting_count:
            return
        if self._planning_round.may_call(step):
            lacking = self._unasked(step, task_count)
            self._planning_round.request_ahead(step, lacking)

    def _permitted(self, expected: ExpectedStart) -> list[Candidate]:
        """Return the permitted workers with room, the best first.

        Those with the most free CPU will most probably still have room.
        """
        step = expected.step
        return sorted(
            (
                candidate
                for candidate in map(
                    self._copy, self._planning_round.workers.permitted(step)
                )
                if free_task_count(candidate, step)
            ),
            key=lambda candidate: (
                expected.may_be_suspect
                and not candidate.worker.runs_only(step.job),
                not self._has_permit(expected, candidate),
                -candidate.free.cpu_millis,
            ),
        )

    def _has_permit(
        self, expected: ExpectedStart, candidate: Candidate
    ) -> bool:
        """Return whether a permit lasts until the start, or is under way."""
        step, worker_id = expected.step, candidate.worker.worker_id
        _, valid_until_ms = step.ticket(worker_id)
        return (
            worker_id in step.in_flight_worker_ids
            or valid_until_ms >= needed_until_ms(expected.start_ms)
        )

    def _unasked(self, step: TrackedStep, task_count: int) -> list[Candidate]:
        not_asked = (
            self._copy(candidate)
            for candidate in self._candidate_order.for_request(
                step, self._planning_round.workers, self._now_ms
            )
            if candidate.worker.worker_id not in step.asked_worker_ids
        )
        return enough_candidates(step, not_asked, task_count)

    def _free_members(self, step: TrackedStep) -> None:
        """Count the room of a gang as free, which stops with its member."""
        candidates_by_id = self._planning_round.workers.candidates_by_id
        for run in step.all_active_runs():
            candidate = candidates_by_id.get(run.worker_id)
            if candidate is not None:
                self._copy(candidate).release(step.reservation)
