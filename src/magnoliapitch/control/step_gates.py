"""Which gate keeps the tasks of a step from starting."""

from __future__ import annotations

from collections import Counter
from enum import StrEnum
from itertools import islice
from typing import TYPE_CHECKING
from typing import NamedTuple
from typing import TypedDict

from magnoliapitch.planner.candidates import Candidate
from magnoliapitch.planner.candidates import free_task_count
from magnoliapitch.planner.candidates import is_eligible
from magnoliapitch.planner.permit_calls import MAX_WORKERS_PER_CALL
from magnoliapitch.planner.permit_calls import TICKET_MIN_REMAINING_MS
from magnoliapitch.planner.permit_calls import expected_call_ms


if TYPE_CHECKING:
    from collections.abc import Iterable

    from magnoliapitch.control.permit_requester import PermitRequester
    from magnoliapitch.control.worker_roster import WorkerRoster
    from magnoliapitch.planner.plan import Plan
    from magnoliapitch.planner.planner import Planner
    from magnoliapitch.planner.round_left import RoundLeft
    from magnoliapitch.planner.scheduler_state import SchedulerState
    from magnoliapitch.planner.tracked import TrackedStep
    from magnoliapitch.planner.tracked_worker import TrackedWorker


# Bounds the duration of a report at many workers.
MAX_EXAMINED_WORKERS = 100


class Gate(StrEnum):
    """The first of the gates that keeps a step, in this order."""

    QUOTA = "quota"
    HELD = "held"
    NO_USABLE_WORKER = "no-usable-worker"
    NO_ROOM = "no-room"
    CALL_UNDER_WAY = "call-under-way"
    NO_CALL = "no-call"
    CALL_SHARE = "call-share"
    CALL_QUOTA = "call-quota"
    AWAITING = "awaiting"
    NOT_ASKED = "not-asked"
    NO_ORDER = "no-order"
    ROOM_KEPT = "room-kept"
    NOT_ORDERED = "not-ordered"


class GateFields(TypedDict):
    """Fields of a log line; docs/OPERATIONS.md explains them."""

    gate: str
    asked: int
    permitted: int
    tickets: int
    ticket_tasks: int
    call: str
    failed_calls: int
    last_failed_ms_ago: int | None
    calls_left: int
    queue_calls: int
    queue_share: int
    awaiting_tasks: int
    quota_lets_call: bool
    examined: int
    usable: int
    with_room: int
    room_tasks: int
    left_tasks: int
    orders_left: int
    unusable: str
    kept_for_job: int
    kept_unasked: int
    kept_for_restart: int
    held_by_quota: bool
    held_tasks: int


class _Room(NamedTuple):
    """Permitted workers of a step, and the tasks that would fit there.

    :param ticket_tasks: tasks that fit on workers with a usable ticket.
    :param left_tasks: tasks that fit what the round has left.
    :param kept_for_job: workers with room that are kept for another job.
    :param kept_for_restart: those with room kept for services that are down.
    """

    examined: int
    usable: int
    with_room: int
    room_tasks: int
    ticket_tasks: int
    left_tasks: int
    kept_for_job: int
    kept_for_restart: int
    unusable: str


class StepGates:
    """Derives from the leader's state what keeps a step."""

    def __init__(
        self,
        state: SchedulerState,
        planner: Planner,
        roster: WorkerRoster,
        permit_requester: PermitRequester,
    ) -> None:
        self._state = state
        self._planner = planner
        self._roster = roster
        self._permit_requester = permit_requester

    def fields(
        self, step: TrackedStep, plan: Plan, max_starts: int, now_ms: int
    ) -> GateFields:
        """Return the fields that tell the gates of a step apart.

        :param plan: the newest round, before its actions are recorded.
        :param max_starts: number of starts that the round could plan.
        """
        left = self._planner.left
        room = self._room(step, left, now_ms)
        fields = GateFields(
            gate="",
            asked=len(step.asked_worker_ids),
            permitted=len(step.permitted_worker_ids),
            tickets=_usable_ticket_count(step, now_ms),
            ticket_tasks=room.ticket_tasks,
            call=_call_text(step, plan),
            failed_calls=0,
            last_failed_ms_ago=None,
            calls_left=0,
            queue_calls=0,
            queue_share=0,
            awaiting_tasks=0,
            quota_lets_call=True,
            examined=room.examined,
            usable=room.usable,
            with_room=room.with_room,
            room_tasks=room.room_tasks,
            left_tasks=room.left_tasks,
            orders_left=max_starts - len(plan.starts),
            unusable=room.unusable,
            kept_for_job=room.kept_for_job,
            kept_unasked=_kept_unasked_count(step, left),
            kept_for_restart=room.kept_for_restart,
            held_by_quota=step.is_held or not step.start_limit,
            held_tasks=sum(
                task.is_held(now_ms) for task in step.startable_tasks()
            ),
        )
        self._add_calls(fields, step, left, now_ms)
        fields["gate"] = _gate(step, fields, left)
        return fields

    def _add_calls(
        self,
        fields: GateFields,
        step: TrackedStep,
        left: RoundLeft | None,
        now_ms: int,
    ) -> None:
        failed = self._permit_requester.failed_calls_by_step.get(step.key)
        if failed is not None:
            fields["failed_calls"] = failed.in_a_row
            fields["last_failed_ms_ago"] = now_ms - failed.last_ms
        if left is None or step.job.queue.permit_timing is None:
            return
        use = left.permit_budget.use_of(step)
        fields["calls_left"] = use.left
        fields["queue_calls"] = use.used
        fields["queue_share"] = use.share
        fields["awaiting_tasks"] = use.awaiting_tasks
        fields["quota_lets_call"] = left.workspace_round.may_request(step)

    def _room(
        self, step: TrackedStep, left: RoundLeft | None, now_ms: int
    ) -> _Room:
        examined = list(islice(self._permitted(step), MAX_EXAMINED_WORKERS))
        usable = [worker for worker in examined if worker.takes_new_runs]
        counts: Counter[str] = Counter()
        for worker in usable:
            counts.update(_room_on(worker, step, left, now_ms))
        return _Room(
            len(examined),
            len(usable),
            counts["with_room"],
            counts["room_tasks"],
            counts["ticket_tasks"],
            counts["left_tasks"],
            counts["kept_for_job"],
            counts["kept_for_restart"],
            self._unusable_text(examined, now_ms),
        )

    def _permitted(self, step: TrackedStep) -> Iterable[TrackedWorker]:
        """Return the workers that may run a step, usable or not."""
        workers_by_id = self._state.workers_by_id
        if step.job.queue.permit_timing is None:
            return (
                worker
                for worker in workers_by_id.values()
                if worker.info is not None
                and is_eligible(Candidate(worker, worker.info), step)
            )
        return (
            workers_by_id[worker_id]
            for worker_id in step.permitted_worker_ids
            if worker_id in workers_by_id
        )

    def _unusable_text(
        self, workers: Iterable[TrackedWorker], now_ms: int
    ) -> str:
        """Return the number of workers by the cause why they are not used."""
        causes = (
            self._roster.unusable_cause(worker, now_ms)
            for worker in workers
            if not worker.takes_new_runs
        )
        count_by_cause = Counter(cause for cause in causes if cause)
        return ",".join(
            f"{cause}:{count}"
            for cause, count in sorted(count_by_cause.items())
        )


def _room_on(
    worker: TrackedWorker,
    step: TrackedStep,
    left: RoundLeft | None,
    now_ms: int,
) -> dict[str, int]:
    """Return what a usable worker adds to the counts."""
    if worker.info is None:
        return {}
    task_count = free_task_count(Candidate(worker, worker.info), step)
    if not task_count:
        return {}
    counts = {
        "with_room": 1,
        "room_tasks": task_count,
    }
    if _has_ticket(step, worker.worker_id, now_ms):
        counts["ticket_tasks"] = task_count
    if left is None:
        return counts
    candidate = left.workers.candidates_by_id.get(worker.worker_id)
    if candidate is None:
        return counts
    if not candidate.accepts(step.job):
        return {**counts, "kept_for_job": 1}
    if _waits_for_first_start(step) and left.kept_room.is_kept_on(
        worker.worker_id
    ):
        return {**counts, "kept_for_restart": 1}
    return {**counts, "left_tasks": free_task_count(candidate, step)}


def _kept_unasked_count(step: TrackedStep, left: RoundLeft | None) -> int:
    """Return about how many workers a step cannot ask, as others have them.

    Kept for another job, they are not among those that it may run on.
    """
    if left is None or step.job.queue.permit_timing is None:
        return 0
    unasked = (
        candidate
        for worker_id, candidate in left.workers.candidates_by_id.items()
        if worker_id not in step.asked_worker_ids
    )
    return sum(
        not candidate.accepts(step.job)
        for candidate in islice(unasked, MAX_EXAMINED_WORKERS)
    )


def _waits_for_first_start(step: TrackedStep) -> bool:
    return step.spec.is_long_running and not step.has_interrupted_task()


def _has_ticket(step: TrackedStep, worker_id: str, now_ms: int) -> bool:
    if step.job.queue.permit_timing is None:
        return True
    _, valid_until_ms = step.ticket(worker_id)
    return valid_until_ms >= now_ms + TICKET_MIN_REMAINING_MS


def _usable_ticket_count(step: TrackedStep, now_ms: int) -> int:
    min_valid_until_ms = now_ms + TICKET_MIN_REMAINING_MS
    if step.newest_ticket_until_ms < min_valid_until_ms:
        return 0
    return sum(
        valid_until_ms >= min_valid_until_ms
        for _, valid_until_ms in step.tickets_by_worker.values()
    )


def _call_text(step: TrackedStep, plan: Plan) -> str:
    """Return whether a call is under way, planned in the round, or none."""
    if step.has_call_in_flight:
        return "under-way"
    is_planned = any(
        request.step == step.key for request in plan.permit_requests
    )
    return "planned" if is_planned else "none"


def _gate(
    step: TrackedStep, fields: GateFields, left: RoundLeft | None
) -> Gate:
    if fields["held_by_quota"]:
        return Gate.QUOTA
    needed_count = step.waiting_count if step.spec.is_gang else 1
    if step.waiting_count - fields["held_tasks"] < needed_count:
        return Gate.HELD
    if fields["permitted"] or step.job.queue.permit_timing is None:
        if not fields["usable"]:
            return Gate.NO_USABLE_WORKER
        if fields["room_tasks"] < needed_count:
            return Gate.NO_ROOM
    gate = Gate.NOT_ORDERED
    if fields["ticket_tasks"] < needed_count:
        gate = _call_gate(step, fields, left)
    elif fields["orders_left"] <= 0:
        return Gate.NO_ORDER
    is_idle = gate in (Gate.NOT_ORDERED, Gate.NOT_ASKED)
    if is_idle and fields["left_tasks"] < needed_count <= fields["room_tasks"]:
        return Gate.ROOM_KEPT
    return gate


def _call_gate(
    step: TrackedStep, fields: GateFields, left: RoundLeft | None
) -> Gate:
    """Return what keeps a step from the ticket that it lacks."""
    if fields["call"] != "none":
        return Gate.CALL_UNDER_WAY
    if fields["calls_left"] <= 0:
        return Gate.NO_CALL
    if fields["queue_calls"] >= fields["queue_share"]:
        return Gate.CALL_SHARE
    if not fields["quota_lets_call"]:
        return Gate.CALL_QUOTA
    call_ms = expected_call_ms(step, MAX_WORKERS_PER_CALL)
    if left is not None and not left.permit_budget.may_request(step, call_ms):
        return Gate.AWAITING
    return Gate.NOT_ASKED


__all__ = ["Gate", "GateFields", "StepGates"]
