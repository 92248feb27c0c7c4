"""Steps that lack capacity, and the runs whose stop would free it."""

from __future__ import annotations

import heapq

from collections import Counter
from collections import defaultdict
from functools import cached_property
from typing import TYPE_CHECKING

from magnoliapitch.planner.room import WorkerRoom
from magnoliapitch.resource import NO_RESOURCES
from magnoliapitch.resource import Resources


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    from collections.abc import Mapping

    from magnoliapitch.planner.candidates import Candidate
    from magnoliapitch.planner.duration import DurationEstimator
    from magnoliapitch.planner.planning_round import PlanningRound
    from magnoliapitch.planner.scheduler_state import SchedulerState
    from magnoliapitch.planner.tracked import TrackedRun
    from magnoliapitch.planner.tracked import TrackedStep
    from magnoliapitch.planner.tracked_worker import TrackedWorker
    from magnoliapitch.workload.job import StepKey


PREEMPTED = "preempted"
MOST_URGENT_PRIORITY = 0
# Longest stop that the workers' protocol allows.
STOP_MS = 400
MAX_PREEMPTIONS_PER_TASK = 2
# A run that was started lately is left alone, so that work gets on.
MIN_RUN_MS = 500
# Room of a run that ends sooner is free almost as soon without a stop.
MIN_REMAINING_MS = 2 * STOP_MS
# Bound the duration of a round, with the workers on which runs to preempt are
# looked for.
MAX_EXAMINED_STEPS = 24
MIN_EXAMINED_ROOMS = 16
EXAMINED_ROOMS_PER_TASK = 8


class PreemptionPass:
    """One pass over the steps that lack capacity.

    Each step takes the room that it may get on the workers before the steps
    that rank behind it. Room is capacity that is free, or is when the runs
    that are being stopped have ended.

    :ivar preempting_count: number of steps whose tasks wait for runs that
        are being stopped.
    """

    def __init__(
        self,
        state: SchedulerState,
        planning_round: PlanningRound,
        durations: DurationEstimator,
        now_ms: int,
    ) -> None:
        self.preempting_count = 0
        self._state = state
        self._planning_round = planning_round
        self._workers = planning_round.workers
        self._durations = durations
        self._now_ms = now_ms
        self._started_by_step: Counter[StepKey] = Counter()
        self._planned_by_worker: dict[str, Resources] = defaultdict(Resources)
        self._preemptible_by_key: dict[tuple[str, int], list[TrackedRun]] = {}
        self._ends_soon_by_run: dict[int, bool] = {}
        self._room_by_worker: dict[str, WorkerRoom] = {}
        for start in planning_round.starts:
            key = start.task.step_key
            self._started_by_step[key] += 1
            step = state.waiting_steps[key]
            self._planned_by_worker[start.worker_id] = self._planned_by_worker[
                start.worker_id
            ].plus(step.reservation)

    def short_steps(
        self,
        ranked_steps: Iterable[TrackedStep],
        restart_count: Callable[[TrackedStep], int],
    ) -> Iterable[TrackedStep]:
        """Return the first steps that may use room that becomes free.

        Those that no worker suits, or that lack a ticket for what follows a
        stop, are passed over.

        :param restart_count: returns for how many tasks of a service, which
            are down, room is to be made.
        """
        examined_count = 0
        for step in ranked_steps:
            if examined_count >= MAX_EXAMINED_STEPS:
                return
            if not self._workers.suit(step):
                continue
            if not restart_count(step):
                if not self._missing_count(step):
                    continue
                if step.job.queue.priority >= self._least_urgent_priority:
                    continue
                if not self._planning_round.has_any_ticket(step, STOP_MS):
                    continue
            examined_count += 1
            yield step

    def ready_rooms(self, step: TrackedStep) -> list[WorkerRoom]:
        """Return the workers on which a step may start after a stop."""
        return [
            self.room(candidate.worker)
            for candidate in self.candidates(step)
            if self._planning_round.has_ticket(step, candidate, STOP_MS)
        ]

    def candidates(self, step: TrackedStep) -> Iterable[Candidate]:
        """Return the workers that may run a step, full ones too."""
        if step.job.queue.permit_timing is None:
            return self._workers.eligible(step)
        return self._workers.permitted(step)

    def make_room(
        self, step: TrackedStep, rooms: list[WorkerRoom], *, may_preempt: bool
    ) -> Counter[str] | None:
        """Take the room of a step's waiting tasks, and preempt runs for it.

        No run is preempted unless there is room for every waiting task then.

        :param rooms: the workers on which the step may start.
        :return: number of tasks on each worker if runs were preempted.
        """
        counts = self._take(step, rooms, may_preempt=may_preempt)
        is_whole = counts.total() == self._missing_count(step)
        if not is_whole and (may_preempt or step.spec.is_gang):
            for room in rooms:
                room.restore()
            if step.spec.is_gang:
                return None
            counts = self._take(step, rooms, may_preempt=False)
        used = [room for room in rooms if counts[room.worker.worker_id]]
        if any(not NO_RESOURCES.fits(room.free_now) for room in used):
            self.preempting_count += 1
        has_preempted = self.settle(rooms, may_preempt=True)
        return counts if has_preempted else None

    def settle(
        self, rooms: Iterable[WorkerRoom], *, may_preempt: bool
    ) -> bool:
        """Make the room that was taken final, and preempt runs for it.

        :param may_preempt: whether the runs that were chosen may be stopped;
            otherwise the room is only taken.
        :return: whether runs were preempted.
        """
        victims: list[TrackedRun] = []
        for room in rooms:
            if may_preempt:
                victims += [run for run in room.victims if not run.is_stopping]
            else:
                room.spare_victims()
            room.keep()
        for run in victims:
            run.task.preemptions += 1
            self._state.mark_for_stop(run, PREEMPTED)
        return bool(victims)

    def _take(
        self, step: TrackedStep, rooms: list[WorkerRoom], *, may_preempt: bool
    ) -> Counter[str]:
        """Take room task by task where the fewest runs are preempted."""
        counts: Counter[str] = Counter()
        heap: list[tuple[int, int, int, list[TrackedRun]]] = []
        missing_count = self._missing_count(step)
        max_rooms = (
            MIN_EXAMINED_ROOMS + EXAMINED_ROOMS_PER_TASK * missing_count
        )
        for index, room in enumerate(rooms):
            is_examined = may_preempt and index < max_rooms
            self._push(heap, index, step, room, counts, is_examined)
        while heap and counts.total() < missing_count:
            _, _, index, victims = heapq.heappop(heap)
            room = rooms[index]
            room.take(step.reservation, victims)
            counts[room.worker.worker_id] += 1
            self._push(heap, index, step, room, counts, may_preempt)
        return counts

    def _push(
        self,
        heap: list[tuple[int, int, int, list[TrackedRun]]],
        index: int,
        step: TrackedStep,
        room: WorkerRoom,
        counts: Counter[str],
        may_preempt: bool,
    ) -> None:
        """Add a worker with what another task there costs, if it can fit."""
        worker = room.worker
        if is_at_worker_limit(step, worker, counts):
            return
        preemptible = self._preemptible(worker, step) if may_preempt else []
        victims = room.victims_for(step, preemptible, self.ends_soon)
        if victims is not None:
            lost_ms = sum(self.elapsed_ms(run) for run in victims)
            heapq.heappush(heap, (len(victims), lost_ms, index, victims))

    def _missing_count(self, step: TrackedStep) -> int:
        return step.startable_count - self.started_count(step)

    def started_count(self, step: TrackedStep) -> int:
        """Return how many tasks of a step this round starts."""
        return self._started_by_step[step.key]

    @cached_property
    def _least_urgent_priority(self) -> int:
        """Return the priority of the least urgent run."""
        return max(
            (
                run.task.step.job.queue.priority
                for candidate in self._workers.candidates_by_id.values()
                for run in candidate.worker.runs
            ),
            default=MOST_URGENT_PRIORITY,
        )

    def _preemptible(
        self, worker: TrackedWorker, step: TrackedStep
    ) -> list[TrackedRun]:
        """Return the runs that a step may preempt, the first ones first."""
        key = (worker.worker_id, step.job.queue.priority)
        runs = self._preemptible_by_key.get(key)
        if runs is None:
            runs = [
                run
                for run in worker.runs
                if run.task.step.job.queue.priority > step.job.queue.priority
                and run.task.step.spec.saves_progress
                and is_settled(run)
                and self.may_be_stopped(run)
            ]
            runs.sort(
                key=lambda run: (
                    -run.task.step.job.queue.priority,
                    self.elapsed_ms(run),
                )
            )
            self._preemptible_by_key[key] = runs
        return runs

    def ends_soon(self, run: TrackedRun) -> bool:
        """Return whether stopping a run saves no time."""
        ends_soon = self._ends_soon_by_run.get(id(run))
        if ends_soon is None:
            remaining_ms = self._durations.remaining_ms(run, self._now_ms)
            ends_soon = remaining_ms < MIN_REMAINING_MS
            self._ends_soon_by_run[id(run)] = ends_soon
        return ends_soon

    def may_be_stopped(self, run: TrackedRun) -> bool:
        """Return whether a run can be stopped without harm but for time."""
        spec = run.task.step.spec
        return (
            not spec.is_gang
            and not spec.is_long_running
            and run.started_ms is not None
            and not run.is_stopping
            and not run.has_ended_with_worker
            and self.elapsed_ms(run) >= MIN_RUN_MS
            and run.task.preemptions < MAX_PREEMPTIONS_PER_TASK
            and len(run.task.active_runs) == 1
            and run.task.has_attempts_left
            and not run.task.is_suspect
        )

    def elapsed_ms(self, run: TrackedRun) -> int:
        """Return how long a run has been running, as far as is known."""
        return 0 if run.started_ms is None else self._now_ms - run.started_ms

    def room(self, worker: TrackedWorker) -> WorkerRoom:
        """Return the room of a worker, as this pass has left it."""
        room = self._room_by_worker.get(worker.worker_id)
        if room is None:
            planned = self._planned_by_worker[worker.worker_id]
            room = WorkerRoom(worker, planned)
            self._room_by_worker[worker.worker_id] = room
        return room


def is_settled(run: TrackedRun) -> bool:
    """Return whether a run's order was carried out, once and for all."""
    return run.is_order_settled or run.is_restored


def is_at_worker_limit(
    step: TrackedStep, worker: TrackedWorker, counts: Mapping[str, int]
) -> bool:
    """Return whether a worker has as many tasks of a step as it may have.

    :param counts: number of tasks that are to be added, by worker.
    """
    if not step.spec.max_per_worker:
        return False
    used = sum(run.task.step is step for run in worker.runs)
    used += counts.get(worker.worker_id, 0)
    return used >= step.spec.max_per_worker
