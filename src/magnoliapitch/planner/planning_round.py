"""One planning round: starts and permit requests, step by step."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

from magnoliapitch.planner.candidates import Candidate
from magnoliapitch.planner.candidates import CandidateWorkers
from magnoliapitch.planner.candidates import free_task_count
from magnoliapitch.planner.candidates import most_free_cpu_first
from magnoliapitch.planner.candidates import release
from magnoliapitch.planner.expected_starts import is_held
from magnoliapitch.planner.gang_room import GangRoom
from magnoliapitch.planner.permit_calls import MAX_WORKERS_PER_CALL
from magnoliapitch.planner.permit_calls import MIN_WORKERS_PER_CALL
from magnoliapitch.planner.permit_calls import TICKET_MIN_REMAINING_MS
from magnoliapitch.planner.permit_calls import enough_candidates
from magnoliapitch.planner.permit_calls import expected_call_ms
from magnoliapitch.planner.plan import PlannedPermitRequest
from magnoliapitch.planner.plan import PlannedStart


if TYPE_CHECKING:
    from magnoliapitch.planner.candidate_order import CandidateOrder
    from magnoliapitch.planner.kept_room import KeptRoom
    from magnoliapitch.planner.permit_budget import PermitBudget
    from magnoliapitch.planner.scheduler_state import SchedulerState
    from magnoliapitch.planner.tracked import TrackedStep
    from magnoliapitch.planner.worker_isolation import WorkerIsolation
    from magnoliapitch.planner.workspace_round import WorkspaceRound
    from magnoliapitch.workload.job import StepKey


class PlanningRound:
    """Collects the starts and permit requests of one round.

    Steps are placed in the order of their rank. Each limited resource is used
    up only by the steps that use it, so that those waiting for one do not
    keep the others from the rest.

    :param max_starts: number of start orders that can be sent now.
    :param isolation: keeps other jobs off the workers of some tasks.
    :param workspace_round: limits the permits of workspaces with a quota.
    :param candidate_order: tells which workers are the best for a step.
    :param kept_room: room that only services which are down may use for good.
    :param begun_ms: when this leader planned its first round.
    """

    def __init__(
        self,
        state: SchedulerState,
        now_ms: int,
        permit_budget: PermitBudget,
        max_starts: int,
        isolation: WorkerIsolation,
        workspace_round: WorkspaceRound,
        candidate_order: CandidateOrder,
        kept_room: KeptRoom,
        begun_ms: int,
    ) -> None:
        self.starts: list[PlannedStart] = []
        self._now_ms = now_ms
        self._permit_budget = permit_budget
        self._max_starts = max_starts
        self._workers = CandidateWorkers(state.workers_by_id.values())
        self._isolation = isolation
        self._workspace_round = workspace_round
        self._candidate_order = candidate_order
        self._kept_room = kept_room
        candidate_order.begin_round(self._workers)
        isolation.begin_round(state, self._workers, now_ms)
        self._gang_room = GangRoom(self._workers, now_ms, begun_ms)
        self._steps_with_request: set[StepKey] = set()

    @property
    def workers(self) -> CandidateWorkers:
        """Return the workers that take new runs, with what is left free."""
        return self._workers

    @property
    def is_complete(self) -> bool:
        """Return whether no further start or permit request can be added."""
        return not self._has_orders_left and self._permit_budget.is_used_up

    @property
    def _has_orders_left(self) -> bool:
        return len(self.starts) < self._max_starts

    def record_call(self, step: TrackedStep) -> None:
        """Count the tasks of a step if a call for it is under way."""
        if step.has_call_in_flight:
            self._permit_budget.record_awaiting(step)
            self._workspace_round.record_awaiting(step)

    def can_serve(self, step: TrackedStep) -> bool:
        """Return whether a step can use an order or a call in this round.

        One without a ticket cannot start, and only keeps capacity while it
        waits for its call. Without orders, only calls are of use, to steps
        whose tickets do not outlast their renewal. One that no worker suits
        can use neither.
        """
        if not self._workers.suit(step):
            return False
        if step.job.queue.permit_timing is None:
            return self._has_orders_left
        if step.has_call_in_flight:
            return self._has_orders_left
        delay_ms = 0.0
        if not self._has_orders_left:
            delay_ms = expected_call_ms(step, MIN_WORKERS_PER_CALL)
        if self.has_any_ticket(step, delay_ms):
            return self._has_orders_left
        return self._can_call_advisor(step)

    def place(self, step: TrackedStep) -> None:
        """Plan starts for the waiting tasks of a step that fit.

        A gang is started as a whole or not at all. Advisor calls are
        planned for the workers that lack a valid ticket. Workers keep
        capacity for a step without tickets only if a call for it is under
        way or granted, so that steps with tickets need not wait for those
        that wait for a call.
        """
        is_gang = step.spec.is_gang
        if is_gang and step.waiting_count < step.spec.task_count:
            return
        if is_held(step, self._now_ms):
            return
        self._gang_room.admit(step)
        candidates = self._allowed_candidates(step)
        chosen = self._choose(step, candidates) if candidates else []
        if is_gang and len(chosen) < step.waiting_count:
            self._prepare_gang(step, candidates)
            return
        without_ticket = [
            candidate
            for candidate in chosen
            if not self.has_ticket(step, candidate)
        ]
        if without_ticket and is_gang:
            without_ticket = self._with_spare_candidates(
                step, chosen, candidates
            )
        is_asking = self.request_permits(step, without_ticket)
        if not chosen:
            self._ask_about_unasked(step)
        if without_ticket and is_gang:
            if not is_asking:
                release(step, chosen)
            return
        if not is_asking:
            release(step, without_ticket)
        self._start(
            step,
            [
                candidate
                for candidate in chosen
                if candidate not in without_ticket
            ],
        )

    def _prepare_gang(
        self, step: TrackedStep, candidates: list[Candidate]
    ) -> None:
        """Renew tickets and reserve capacity for a gang that does not fit.

        Permits take long to get and expire soon. So the gangs that rank
        first have their tickets renewed on every worker that may run them,
        and later steps are kept away from the workers on which these gangs
        will probably fit. They can then start as soon as they fit.
        """
        self._ask_about_unasked(step)
        if not self._gang_room.may_reserve(step, candidates):
            return
        if not self._has_fresh_tickets(step, candidates):
            self.request_permits(
                step, sorted(candidates, key=most_free_cpu_first)
            )
        self._gang_room.reserve(step, candidates)

    def _has_fresh_tickets(
        self, step: TrackedStep, candidates: list[Candidate]
    ) -> bool:
        """Return whether at least half the tickets outlast their renewal."""
        renewal_ms = expected_call_ms(
            step, min(len(candidates), MAX_WORKERS_PER_CALL)
        )
        min_valid_until_ms = (
            self._now_ms + TICKET_MIN_REMAINING_MS + renewal_ms
        )
        fresh_count = sum(
            step.ticket(candidate.worker.worker_id)[1] >= min_valid_until_ms
            for candidate in candidates
        )
        return fresh_count * 2 >= len(candidates)

    def _allowed_candidates(self, step: TrackedStep) -> list[Candidate]:
        if step.job.queue.permit_timing is None:
            allowed = list(self._workers.eligible(step))
        elif step.asked_worker_ids:
            allowed = self._workers.permitted(step)
        else:
            self._ask_about_unasked(step)
            return []
        if step.spec.is_long_running and not step.has_interrupted_task():
            allowed = [
                candidate
                for candidate in allowed
                if self._kept_room.leaves_room(candidate, step)
            ]
        return self._isolation.select(step, allowed, self._now_ms)

    def has_ticket(
        self, step: TrackedStep, candidate: Candidate, delay_ms: int = 0
    ) -> bool:
        """Return whether a step may start on a worker after a delay."""
        if step.job.queue.permit_timing is None:
            return True
        _, valid_until_ms = step.ticket(candidate.worker.worker_id)
        start_ms = self._now_ms + delay_ms
        return valid_until_ms >= start_ms + TICKET_MIN_REMAINING_MS

    def has_any_ticket(self, step: TrackedStep, delay_ms: float = 0) -> bool:
        """Return whether a step may start on some worker after a delay."""
        if step.job.queue.permit_timing is None:
            return True
        start_ms = self._now_ms + delay_ms
        return (
            step.newest_ticket_until_ms >= start_ms + TICKET_MIN_REMAINING_MS
        )

    def _ask_about_unasked(self, step: TrackedStep) -> None:
        """Plan a call about workers that the advisor was not asked about."""
        if self._can_call_advisor(step):
            ordered = self._candidate_order.for_request(
                step, self._workers, self._now_ms
            )
            not_asked = (
                candidate
                for candidate in ordered
                if candidate.worker.worker_id not in step.asked_worker_ids
            )
            self.request_permits(
                step, enough_candidates(step, not_asked, step.startable_count)
            )

    def _with_spare_candidates(
        self,
        step: TrackedStep,
        chosen: list[Candidate],
        candidates: list[Candidate],
    ) -> list[Candidate]:
        """Return the workers of one advisor call for a whole gang.

        Tickets from several calls would expire one after the other, so all
        are requested together. Spare workers replace those whose capacity
        is taken by the time the answer arrives.
        """
        spares = [
            candidate
            for candidate in candidates
            if candidate not in chosen and free_task_count(candidate, step)
        ]
        return [*chosen, *spares]

    def _can_call_advisor(self, step: TrackedStep) -> bool:
        if self._has_call(step) or step.job.queue.permit_timing is None:
            return False
        longest_call_ms = expected_call_ms(step, MAX_WORKERS_PER_CALL)
        return (
            self._permit_budget.has_call_for(step)
            and self._permit_budget.may_request(step, longest_call_ms)
            and self._workspace_round.may_request(step)
        )

    def may_call(self, step: TrackedStep) -> bool:
        """Return whether a call is left, and none for a step is planned."""
        shortest_call_ms = expected_call_ms(step, 1)
        return self._permit_budget.has_channel_for(
            shortest_call_ms
        ) and not self._has_call(step)

    def _has_call(self, step: TrackedStep) -> bool:
        return step.has_call_in_flight or step.key in self._steps_with_request

    def request_permits(
        self, step: TrackedStep, candidates: list[Candidate]
    ) -> bool:
        """Plan a call about workers, unless one is planned or under way.

        :return: whether a call for the step is under way or granted.
        """
        if not candidates or not self._can_call_advisor(step):
            return step.has_call_in_flight
        return self._add_request(step, candidates)

    def end_placing(self) -> None:
        """Keep what is left for gangs from all that follows."""
        self._gang_room.close()

    def request_ahead(
        self, step: TrackedStep, candidates: list[Candidate]
    ) -> None:
        """Plan a call for tasks whose runs count towards quotas as yet."""
        if candidates and not self._has_call(step):
            self._add_request(step, candidates)

    def _add_request(
        self, step: TrackedStep, candidates: list[Candidate]
    ) -> bool:
        worker_ids = dict.fromkeys(
            candidate.worker.worker_id for candidate in candidates
        )
        max_count = self._permit_budget.max_workers_for(step)
        asked = tuple(worker_ids)[:max_count]
        call_ms = expected_call_ms(step, len(asked))
        if not (
            asked
            and self._permit_budget.has_channel_for(call_ms)
            and self._permit_budget.may_request(step, call_ms)
        ):
            return False
        self._workspace_round.record_awaiting(step)
        self._steps_with_request.add(step.key)
        return self._permit_budget.add(
            step,
            PlannedPermitRequest(
                step.key, asked, step.job.queue.priority, call_ms
            ),
        )

    def _choose(
        self, step: TrackedStep, candidates: list[Candidate]
    ) -> list[Candidate]:
        """Reserve capacity and return the worker of each task that fits.

        A gang that does not fit as a whole reserves nothing.
        """
        chosen: list[Candidate] = []
        count = self._isolation.startable_count(step)
        cpu_millis = step.reservation.cpu_millis
        fitting = [
            candidate
            for candidate in candidates
            if candidate.free.cpu_millis >= cpu_millis
        ]
        ordered = self._candidate_order.for_start(
            step,
            fitting,
            partial(self.has_ticket, step),
            expected_call_ms(step, 1),
            self._now_ms,
        )
        for candidate in ordered:
            task_count = min(
                count - len(chosen), free_task_count(candidate, step)
            )
            for _ in range(task_count):
                candidate.reserve(step.reservation)
                chosen.append(candidate)
            if len(chosen) == count:
                break
        if step.spec.is_gang and len(chosen) < count:
            release(step, chosen)
        return chosen

    def _start(self, step: TrackedStep, candidates: list[Candidate]) -> None:
        """Plan the starts, as far as their orders can be sent now.

        A gang is started whole if at least one order can be sent.
        """
        remaining_starts = max(0, self._max_starts - len(self.starts))
        if not candidates or not remaining_starts:
            return
        if not step.spec.is_gang:
            candidates = candidates[:remaining_starts]
        run_number = max(task.runs for task in step.tasks) + 1
        tasks = self._isolation.startable_tasks(step)
        if step.spec.is_long_running and not step.spec.is_gang:
            # Room was made only for tasks that are down.
            tasks.sort(key=lambda task: not task.runs)
        for task, candidate in zip(tasks, candidates, strict=False):
            worker_id = candidate.worker.worker_id
            number = run_number if step.spec.is_gang else task.runs + 1
            ticket, _ = step.ticket(worker_id)
            self.starts.append(
                PlannedStart(task.key, number, worker_id, ticket)
            )
