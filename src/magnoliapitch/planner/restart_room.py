"""Room for tasks of long-running steps that are down and fit nowhere."""

from __future__ import annotations

import heapq

from collections import Counter
from itertools import islice
from typing import TYPE_CHECKING
from typing import NamedTuple

from magnoliapitch.planner.candidates import Candidate
from magnoliapitch.planner.expected_starts import ROOM_AHEAD_MS
from magnoliapitch.planner.expected_starts import hold_until_ms
from magnoliapitch.planner.preemption_pass import STOP_MS
from magnoliapitch.planner.preemption_pass import is_at_worker_limit
from magnoliapitch.planner.preemption_pass import is_settled
from magnoliapitch.resource import NO_RESOURCES


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Collection
    from collections.abc import Iterable
    from collections.abc import Mapping

    from magnoliapitch.planner.expected_starts import ExpectedStart
    from magnoliapitch.planner.planning_round import PlanningRound
    from magnoliapitch.planner.preemption_pass import PreemptionPass
    from magnoliapitch.planner.room import WorkerRoom
    from magnoliapitch.planner.tracked import TrackedRun
    from magnoliapitch.planner.tracked import TrackedStep
    from magnoliapitch.planner.tracked_task import TrackedTask
    from magnoliapitch.resource import Resources
    from magnoliapitch.workload.job import StepKey


# Room that becomes free by itself before that is used; a task that is down
# for more than 6 s counts as lost for its users.
MIN_DOWN_MS = 2_000
# Bound the duration of a round.
MAX_RESTARTING_STEPS = 16
MAX_EXAMINED_WORKERS = 128
# Permits are requested for so many workers, since the room of some is used
# up meanwhile.
MIN_REQUESTED_WORKERS = 3
# Work that a run which saves its progress loses: the time since it last did,
# and its restoring.
SAVED_LOSS_MS = 750
# Workers refuse a start order that is older.
MAX_ORDER_MS = 5_000


class MadeRoom(NamedTuple):
    """Workers on which room is kept for a step.

    :param task_count_by_worker: number of tasks that each is kept for.
    :param lacking: workers for which permits are to be requested.
    """

    task_count_by_worker: Counter[str]
    lacking: list[Candidate]


class RestartRoom:
    """Makes room for service tasks that are down, in one pass.

    Room is taken first where a permit is valid, or is being renewed, and
    where stopping the runs loses the least work, of the same or a less urgent
    queue. Runs that end soon, or may not be stopped, are waited for. Nothing
    is stopped for tasks that never ran.

    :param expected: tasks whose runs will be given up soon, by step.
    """

    def __init__(
        self,
        preemption_pass: PreemptionPass,
        planning_round: PlanningRound,
        expected: Mapping[StepKey, ExpectedStart],
        now_ms: int,
    ) -> None:
        self._pass = preemption_pass
        self._planning_round = planning_round
        self._expected = expected
        self._now_ms = now_ms
        self._count_by_step: dict[StepKey, int] = {}
        self._restarting_count = 0
        self._displaceable_by_key: dict[tuple[str, int], list[TrackedRun]] = {}

    def count(self, step: TrackedStep) -> int:
        """Return for how many tasks of a step room is to be made now."""
        if not step.spec.is_long_running or step.is_beyond_share:
            return 0
        count = self._count_by_step.get(step.key)
        if count is None:
            count = 0
            if self._restarting_count < MAX_RESTARTING_STEPS:
                count = max(0, self._due_count(step))
                self._restarting_count += count > 0
            self._count_by_step[step.key] = count
        return count

    def _due_count(self, step: TrackedStep) -> int:
        down = sum(map(self._is_overdue, step.startable_tasks()))
        if step.spec.is_gang:
            is_whole = step.startable_count == len(step.tasks)
            down = len(step.tasks) if down and is_whole else 0
        else:
            down = min(down, step.startable_count) + self._coming_count(step)
        return down - self._pass.started_count(step)

    def _is_overdue(self, task: TrackedTask) -> bool:
        return (
            task.runs > 0
            and self._now_ms >= hold_until_ms(task)
            and self._now_ms - task.last_active_ms >= MIN_DOWN_MS
        )

    def _coming_count(self, step: TrackedStep) -> int:
        expected = self._expected.get(step.key)
        if expected is None or expected.may_be_suspect:
            return 0
        if expected.start_ms - self._now_ms > ROOM_AHEAD_MS:
            return 0
        return expected.coming_count

    def make(
        self, step: TrackedStep, held: Collection[str], *, may_preempt: bool
    ) -> MadeRoom:
        """Take room for the tasks of a step, and preempt runs for it.

        :param held: workers that were chosen before, which are preferred.
        """
        ready: list[Candidate] = []
        others: list[Candidate] = []
        delay_ms = self._delay_ms(step)
        for candidate in islice(
            self._pass.candidates(step), MAX_EXAMINED_WORKERS
        ):
            is_ready = (
                candidate.worker.worker_id in step.in_flight_worker_ids
                or self._planning_round.has_ticket(step, candidate, delay_ms)
            )
            (ready if is_ready else others).append(candidate)
        choice = _Choice(step, self.count(step), held)
        rooms = self._rooms(ready)
        self._take(choice, rooms, self._victims)
        if step.spec.is_gang and choice.missing_count:
            for room in rooms:
                room.restore()
            return MadeRoom(Counter(), [])
        self._pass.settle(rooms, may_preempt=may_preempt)
        lacking: list[Candidate] = []
        if choice.missing_count and others:
            rooms = self._rooms(others)
            chosen = self._take(choice, rooms, self._victims)
            self._pass.settle(rooms, may_preempt=False)
            lacking = [others[index] for index in chosen]
        if choice.missing_count:
            rooms = self._rooms(ready + others)
            self._take(choice, rooms, self._nothing_but_waiting)
            self._pass.settle(rooms, may_preempt=False)
        return MadeRoom(choice.counts, lacking)

    def _delay_ms(self, step: TrackedStep) -> int:
        """Return the time until the tasks can start at the earliest."""
        expected = self._expected.get(step.key)
        start_ms = 0 if expected is None else expected.start_ms
        return max(STOP_MS, start_ms - self._now_ms)

    def _rooms(self, candidates: Iterable[Candidate]) -> list[WorkerRoom]:
        return [self._pass.room(candidate.worker) for candidate in candidates]

    def _take(
        self,
        choice: _Choice,
        rooms: list[WorkerRoom],
        victims_of: Callable[
            [WorkerRoom, TrackedStep], list[TrackedRun] | None
        ],
    ) -> list[int]:
        """Take room task by task where the least work is lost.

        :return: numbers of the rooms that were taken, and of some more that
            could be.
        """
        heap: list[tuple[bool, int, int, list[TrackedRun]]] = []

        def push(index: int) -> None:
            room = rooms[index]
            worker = room.worker
            if is_at_worker_limit(choice.step, worker, choice.counts):
                return
            victims = victims_of(room, choice.step)
            if victims is not None:
                lost = sum(map(self._lost_work, victims))
                is_new = worker.worker_id not in choice.held
                heapq.heappush(heap, (is_new, lost, index, victims))

        for index in range(len(rooms)):
            push(index)
        taken: dict[int, None] = {}
        while heap and choice.missing_count:
            _, _, index, victims = heapq.heappop(heap)
            taken[index] = None
            rooms[index].take(choice.step.reservation, victims)
            choice.counts[rooms[index].worker.worker_id] += 1
            push(index)
        while heap and len(taken) < MIN_REQUESTED_WORKERS:
            taken[heapq.heappop(heap)[2]] = None
        return list(taken)

    def _victims(
        self, room: WorkerRoom, step: TrackedStep
    ) -> list[TrackedRun] | None:
        """Return the runs whose stop makes room, those that save first."""
        coming = self._coming(room, self._pass.ends_soon)
        displaceable = self._displaceable(room, step)
        saved = [r for r in displaceable if r.task.step.spec.saves_progress]
        for runs in (saved, displaceable):
            victims = room.victims_for(
                step, runs, self._pass.ends_soon, coming
            )
            if victims is not None:
                return victims
        return None

    def _nothing_but_waiting(
        self, room: WorkerRoom, step: TrackedStep
    ) -> list[TrackedRun] | None:
        """Return no victims if all other work together leaves the room."""
        coming = self._coming(room, lambda _: True)
        return room.victims_for(step, (), self._pass.ends_soon, coming)

    def _coming(
        self, room: WorkerRoom, ends: Callable[[TrackedRun], bool]
    ) -> Resources:
        """Return the capacity of the runs that end and are not stopped."""
        coming = NO_RESOURCES
        for run in room.worker.runs:
            if (
                not run.is_stopping
                and not run.task.step.spec.is_long_running
                and run.started_ms is not None
                and run not in room.victims
                and ends(run)
            ):
                coming = coming.plus(run.resources)
        return coming

    def _displaceable(
        self, room: WorkerRoom, step: TrackedStep
    ) -> list[TrackedRun]:
        """Return the runs that a step may displace, the first ones first."""
        priority = step.job.queue.priority
        key = (room.worker.worker_id, priority)
        runs = self._displaceable_by_key.get(key)
        if runs is None:
            runs = [
                run
                for run in room.worker.runs
                if run.task.step.job.queue.priority >= priority
                and self._is_settled(run)
                and self._pass.may_be_stopped(run)
            ]
            runs.sort(key=self._lost_work)
            self._displaceable_by_key[key] = runs
        return runs

    def _is_settled(self, run: TrackedRun) -> bool:
        """Return whether no copy of a run's order can be carried out."""
        age_ms = self._now_ms - run.ordered_ms
        return is_settled(run) or age_ms >= MAX_ORDER_MS

    def _lost_work(self, run: TrackedRun) -> int:
        """Return what a stop loses, in thousandths of a core x ms."""
        lost_ms = self._pass.elapsed_ms(run)
        if run.task.step.spec.saves_progress:
            lost_ms = min(lost_ms, SAVED_LOSS_MS)
        return lost_ms * run.resources.cpu_millis


class _Choice:
    """Workers that are chosen for the tasks of a step.

    :ivar counts: number of tasks by worker.
    :ivar held: workers that were chosen before.
    """

    __slots__ = ("_count", "counts", "held", "step")

    def __init__(
        self, step: TrackedStep, count: int, held: Collection[str]
    ) -> None:
        self.step = step
        self.counts: Counter[str] = Counter()
        self.held = held
        self._count = count

    @property
    def missing_count(self) -> int:
        """Return for how many tasks no worker is chosen yet."""
        return self._count - self.counts.total()


__all__ = ["MIN_DOWN_MS", "MadeRoom", "RestartRoom"]
