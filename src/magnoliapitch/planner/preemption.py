"""Preemption of less urgent runs for steps that would miss their objective."""

from __future__ import annotations

from collections import Counter
from types import MappingProxyType
from typing import TYPE_CHECKING
from typing import NamedTuple

from magnoliapitch.planner.preemption_pass import MOST_URGENT_PRIORITY
from magnoliapitch.planner.preemption_pass import PREEMPTED
from magnoliapitch.planner.preemption_pass import STOP_MS
from magnoliapitch.planner.preemption_pass import PreemptionPass
from magnoliapitch.planner.restart_room import RestartRoom
from magnoliapitch.workload.progress import JobOutcome


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    from collections.abc import Mapping
    from collections.abc import Set

    from magnoliapitch.planner.duration import DurationEstimator
    from magnoliapitch.planner.expected_starts import ExpectedStart
    from magnoliapitch.planner.planning_round import PlanningRound
    from magnoliapitch.planner.scheduler_state import SchedulerState
    from magnoliapitch.planner.tracked import TrackedStep
    from magnoliapitch.workload.job import StepKey


MIN_WAIT_MS = 100
# Report of the stop, round, commit and start order.
START_MS = 60
# Steps that wait for the ends of preempted runs at a time.
MAX_PREEMPTING_STEPS = 8
# Bounds the duration of a round.
PASS_INTERVAL_MS = 40
# Other steps may use the room of a gang that has not started by then.
HOLD_ROOM_MS = 1_000


class _HeldRoom(NamedTuple):
    task_count_by_worker: Counter[str]
    until_ms: int


NO_ROOM = _HeldRoom(Counter(), 0)
NOTHING_EXPECTED: Mapping[StepKey, ExpectedStart] = MappingProxyType({})


class Preemption:
    """Marks runs for stopping whose room more urgent steps need.

    Runs that are being stopped already, for whatever reason, count as room
    of the steps that rank first. So nothing is stopped twice for one step,
    and no record is needed of what was stopped for which step.
    """

    def __init__(self, durations: DurationEstimator) -> None:
        self._durations = durations
        self._next_pass_ms = 0
        self._short_since_ms_by_step: dict[StepKey, int] = {}
        self._held_by_step: dict[StepKey, _HeldRoom] = {}

    def hold_room(
        self, step: TrackedStep, planning_round: PlanningRound, now_ms: int
    ) -> None:
        """Keep later steps off the room that is being made for a step.

        The members of a gang start only once the room of all is free, and a
        task of a service once that of several runs is.
        """
        held = self._held_by_step.get(step.key)
        if held is None:
            return
        if now_ms > held.until_ms:
            del self._held_by_step[step.key]
            return
        started = Counter(
            start.worker_id
            for start in planning_round.starts
            if start.task.step_key == step.key
        )
        if started and step.spec.is_gang:
            return
        for worker_id, count in held.task_count_by_worker.items():
            candidate = planning_round.workers.candidates_by_id.get(worker_id)
            count_left = count - started[worker_id]
            if candidate is not None and count_left > 0:
                candidate.reserve(step.reservation.times(count_left))

    def mark(
        self,
        state: SchedulerState,
        ranked_steps: Iterable[TrackedStep],
        planning_round: PlanningRound,
        now_ms: int,
        may_preempt: Callable[[TrackedStep], bool] = lambda _: True,
        expected: Mapping[StepKey, ExpectedStart] = NOTHING_EXPECTED,
    ) -> None:
        """Mark the runs to preempt, after the starts of a round are planned.

        :param ranked_steps: the waiting steps in the order of their rank, and
            among them those that are expected to wait.
        :param may_preempt: whether a step may preempt; for example, not one
            that is held back by a quota.
        :param expected: the expected starts of services by step.
        """
        if now_ms < self._next_pass_ms:
            return
        self._next_pass_ms = now_ms + PASS_INTERVAL_MS
        preemption_pass = PreemptionPass(
            state, planning_round, self._durations, now_ms
        )
        restart_room = RestartRoom(
            preemption_pass, planning_round, expected, now_ms
        )
        self._forget_started(state.waiting_steps.keys() | expected, now_ms)
        _withdraw_unsent(state)
        for step in preemption_pass.short_steps(
            ranked_steps, restart_room.count
        ):
            if restart_room.count(step):
                self._restart(step, restart_room, planning_round, now_ms)
                continue
            if preemption_pass.preempting_count >= MAX_PREEMPTING_STEPS:
                return
            rooms = preemption_pass.ready_rooms(step)
            if not rooms:
                continue
            is_allowed = (
                self._is_short_for_long(step, now_ms)
                and _may_meet_objective(step, now_ms)
                and may_preempt(step)
            )
            counts = preemption_pass.make_room(
                step, rooms, may_preempt=is_allowed
            )
            if counts and step.spec.is_gang:
                self._held_by_step[step.key] = _HeldRoom(
                    counts, now_ms + HOLD_ROOM_MS
                )

    def _restart(
        self,
        step: TrackedStep,
        restart_room: RestartRoom,
        planning_round: PlanningRound,
        now_ms: int,
    ) -> None:
        """Make room for the tasks of a service that are down."""
        held = self._held_by_step.get(step.key, NO_ROOM)
        made = restart_room.make(
            step,
            held.task_count_by_worker,
            may_preempt=self._is_short_for_long(step, now_ms),
        )
        if made.task_count_by_worker:
            self._held_by_step[step.key] = _HeldRoom(
                made.task_count_by_worker, now_ms + HOLD_ROOM_MS
            )
        if step.waiting_count:
            planning_round.request_permits(step, made.lacking)
        else:
            planning_round.request_ahead(step, made.lacking)

    def _is_short_for_long(self, step: TrackedStep, now_ms: int) -> bool:
        since_ms = self._short_since_ms_by_step.setdefault(step.key, now_ms)
        return now_ms - since_ms > MIN_WAIT_MS

    def _forget_started(self, keys: Set[StepKey], now_ms: int) -> None:
        """Forget what was kept for steps that do not wait any more."""
        for key in self._short_since_ms_by_step.keys() - keys:
            del self._short_since_ms_by_step[key]
        for key, held in list(self._held_by_step.items()):
            if key not in keys or now_ms > held.until_ms:
                del self._held_by_step[key]


def _withdraw_unsent(state: SchedulerState) -> None:
    """Let runs go on whose worker does not answer.

    Their room would come too late, and a worker that was only silent for a
    while would lose its work.
    """
    for run in list(state.runs_to_stop.values()):
        worker = state.get_or_add_worker(run.worker_id)
        if (
            run.stop_reason == PREEMPTED
            and run.stop_sent_ms is None
            and not worker.takes_new_runs
            and not run.task.is_done
            and run.task.step.job.outcome is JobOutcome.OPEN
        ):
            run.task.preemptions -= 1
            state.withdraw_stop(run)


def _may_meet_objective(step: TrackedStep, now_ms: int) -> bool:
    """Return whether a step that preempts can still meet its objective.

    A service has no objective, suspects are placed apart, and a gang of a
    less urgent queue needs so much room that too much work would stop.
    """
    if step.spec.is_long_running or step.latest_start_ms is None:
        return False
    if step.spec.is_gang and step.job.queue.priority > MOST_URGENT_PRIORITY:
        return False
    if any(task.is_suspect for task in step.startable_tasks()):
        return False
    return now_ms + STOP_MS + START_MS <= step.latest_start_ms
