"""Order in which waiting work is served.

Urgent work first, then services, then what is overdue or holds a reserved
start, then deadlines by latest start, then owners by dominant share, and
last what borrows idle quota.
"""

from __future__ import annotations

import heapq

from typing import TYPE_CHECKING

from magnoliapitch.catalogue.entry import WorkClass
from magnoliapitch.decision.finder import BULK_CLASSES
from magnoliapitch.decision.finder import MAX_CHANGED
from magnoliapitch.decision.reclaim import Victims


if TYPE_CHECKING:
    from magnoliapitch.decision.allocations import Books
    from magnoliapitch.decision.worker_state import WorkerState
    from magnoliapitch.decision.finder import WorkerFinder
    from magnoliapitch.decision.start_reservation import HoldPlanner
    from magnoliapitch.decision.queue import GroupHeap
    from magnoliapitch.decision.queue import TaskGroup
    from magnoliapitch.decision.queue import TaskQueue
    from magnoliapitch.decision.reclaim import Reclaimer
    from magnoliapitch.decision.decision_round import Round


MAX_ASIDE = 16
MAX_VISITS = 64
DEADLINE_CREDIT = 48
CREDIT_PER_OWNER_START = 7
RECLAIM_INTERVAL_MS = 2_000
GRACE_DIVISOR = 4
FIRST_CLASSES = (WorkClass.URGENT, WorkClass.SERVICE)

_Lanes = list[tuple[float, int, "GroupHeap"]]


class Dispatcher:
    """Serves the queue in order, within the bounds of a round.

    :param holds: whether starts are reserved for what does not fit.
    """

    def __init__(
        self,
        books: Books,
        queue: TaskQueue,
        finder: WorkerFinder,
        holds: HoldPlanner | None,
        reclaimer: Reclaimer,
    ) -> None:
        self._books = books
        self._queue = queue
        self._finder = finder
        self._holds = holds
        self._reclaimer = reclaimer
        self._deadline_credit = DEADLINE_CREDIT

    def serve(self, turn: Round) -> None:
        """Start what can be started, in order."""
        turn.room = self._books.changed_room(MAX_CHANGED)
        for work_class in FIRST_CLASSES:
            self._serve_first(turn, work_class)
        self._serve_held(turn)
        for work_class in BULK_CLASSES:
            self._serve_overdue(turn, work_class)
        self._serve_deadlines(turn)
        beyond_quota = self._serve_owners(turn)
        for group in beyond_quota:
            if turn.is_full or not turn.may_search:
                break
            self._start_all(turn, group)

    def start_on(
        self, turn: Round, group: TaskGroup, worker: WorkerState
    ) -> str:
        """Start the next task of a group on a worker; return its id."""
        task = self._queue.take(group)
        now_ms = turn.now_ms
        ends_ms = now_ms + group.run_ms
        placement = self._books.start(
            task, worker, group.size, (now_ms, ends_ms)
        )
        if self._holds is not None:
            self._holds.charge(worker, group, ends_ms)
        group.job.running[task.task_id] = None
        self._finder.progress.started(task.work_class, now_ms)
        turn.placements.append(placement)
        return task.task_id

    def _serve_first(self, turn: Round, work_class: WorkClass) -> None:
        heap = self._queue.oldest_by_class[work_class]
        aside: list[TaskGroup] = []
        while turn.may_search and not turn.is_full and len(aside) < MAX_ASIDE:
            group = heap.pop()
            if group is None:
                break
            served = self._start_all(turn, group)
            if group.tasks_by_id:
                aside.append(group)
            if not served and turn.may_evict:
                self._reclaim(turn, group, Victims.BULK)
        for group in aside:
            heap.push(group.first_ms, group)

    def _serve_held(self, turn: Round) -> None:
        if self._holds is None:
            return
        self._holds.expire(turn.now_ms)
        hold = self._holds.hold
        if hold is None or turn.is_full:
            return
        if self._start_all(turn, hold.group):
            self._holds.release()
        elif self._finder.is_overdue(turn, hold.group) and turn.may_evict:
            self._reclaim(turn, hold.group, Victims.BULK)

    def _serve_overdue(self, turn: Round, work_class: WorkClass) -> None:
        heap = self._queue.oldest_by_class[work_class]
        group = heap.peek()
        while group is not None and self._finder.is_overdue(turn, group):
            if turn.is_full or not self._start_all(turn, group):
                self._hold(turn, group)
                return
            group = heap.peek()

    def _serve_deadlines(self, turn: Round) -> None:
        heap = self._queue.deadlines
        aside: list[TaskGroup] = []
        started = len(turn.placements)
        while (
            turn.may_search
            and not turn.is_full
            and len(aside) < MAX_ASIDE
            and len(turn.placements) - started < self._deadline_credit
        ):
            group = heap.pop()
            if group is None:
                break
            if group.missed_pass == turn.number and not group.size.fits(
                turn.room
            ):
                aside.append(group)
                continue
            self._finder.refresh(group)
            grace_ms = group.run_ms // GRACE_DIVISOR
            if group.latest_start_ms() + grace_ms < turn.now_ms:
                group.is_late = True
                continue
            if not self._start_all(turn, group):
                self._hold(turn, group)
                if self._finder.is_pressing(turn, group) and turn.may_evict:
                    self._reclaim(turn, group, Victims.PATIENT)
            if group.tasks_by_id:
                aside.append(group)
        for group in aside:
            heap.push(group.latest_start_ms(), group)
        self._deadline_credit -= len(turn.placements) - started

    def _serve_owners(self, turn: Round) -> list[TaskGroup]:
        """Serve owners by dominant share; return what is beyond quota.

        Starts here earn credit for starts by deadline, so that deadlines
        cannot take everything.
        """
        started = len(turn.placements)
        beyond_quota: list[TaskGroup] = []
        lanes_by_owner: dict[str, _Lanes] = {}
        stamp = self._stamp(turn)
        owners = [
            (self._share(owner), owner)
            for owner, queue in self._queue.queues_by_owner.items()
            if queue.exhausted != stamp
        ]
        heapq.heapify(owners)
        visits = 0
        while (
            owners
            and visits < MAX_VISITS
            and turn.may_search
            and not turn.is_full
        ):
            visits += 1
            owner = heapq.heappop(owners)[1]
            lanes = lanes_by_owner.get(owner)
            if lanes is None:
                lanes = self._queue.queues_by_owner[owner].heads(
                    stamp, turn.room
                )
                lanes_by_owner[owner] = lanes
            if not lanes:
                self._queue.queues_by_owner[owner].exhausted = stamp
                continue
            self._serve_lane(turn, lanes, beyond_quota)
            heapq.heappush(owners, (self._share(owner), owner))
        turn.is_cut_short = bool(owners) and visits >= MAX_VISITS
        for owner, lanes in lanes_by_owner.items():
            if not lanes and self._queue.queues_by_owner[owner].is_empty():
                del self._queue.queues_by_owner[owner]
        earned = (len(turn.placements) - started) * CREDIT_PER_OWNER_START
        if not owners:
            earned += CREDIT_PER_OWNER_START
        credit = self._deadline_credit + earned
        self._deadline_credit = min(DEADLINE_CREDIT, credit)
        return beyond_quota

    def _serve_lane(
        self, turn: Round, lanes: _Lanes, beyond_quota: list[TaskGroup]
    ) -> None:
        """Start one task of the first lane, or leave it out of the round."""
        _, number, heap = heapq.heappop(lanes)
        group = heap.peek()
        if group is None:
            return
        self._finder.refresh(group)
        entry = group.sample.entry
        members = len(group.tasks_by_id) if group.is_gang else 1
        wanted = group.size.times(members)
        if not self._books.accounts.is_within_quota(entry, wanted):
            group.reason = f"quota of entry {entry}"
            group.visited = self._stamp(turn)
            beyond_quota.append(group)
            return
        if not self._start(turn, group):
            group.visited = self._stamp(turn)
            self._hold(turn, group)
            if turn.may_evict:
                self._reclaim_borrowed(turn, group)
            return
        first = heap.peek()
        if first is not None:
            heapq.heappush(lanes, (first.key, number, heap))

    def _stamp(self, turn: Round) -> tuple[int, int]:
        return turn.number, self._books.freed

    def _share(self, owner: str) -> float:
        capacity = self._books.table.capacity
        return self._books.accounts.dominant_share(owner, capacity)

    def _start_all(self, turn: Round, group: TaskGroup) -> bool:
        """Start all tasks of a group; return whether none is left."""
        while group.tasks_by_id:
            if turn.is_full or not self._start(turn, group):
                return False
        return True

    def _start(self, turn: Round, group: TaskGroup) -> bool:
        """Start the next task of a group, or the whole gang."""
        self._finder.refresh(group)
        if group.is_gang:
            return self._start_gang(turn, group)
        worker = self._finder.find(turn, group)
        if worker is None:
            return False
        self.start_on(turn, group, worker)
        return True

    def _start_gang(self, turn: Round, group: TaskGroup) -> bool:
        missing = group.sample.gang_size - len(group.job.running)
        members = len(group.tasks_by_id)
        if members < missing:
            group.reason = "the rest of the gang is not submitted"
            return False
        total = group.size.times(members)
        if not turn.may_try_gang or not total.fits(self._books.free):
            group.reason = "room for the whole gang"
            return False
        turn.gang_tries += 1
        workers: list[WorkerState] = []
        for _ in range(members):
            worker = self._finder.find(turn, group)
            if worker is None:
                break
            self._books.table.take(worker, group.size)
            workers.append(worker)
        for worker in workers:
            self._books.table.give(worker, group.size)
        if len(workers) < members:
            group.reason = "room for the whole gang"
            return False
        for worker in workers:
            self.start_on(turn, group, worker)
        return True

    def _hold(self, turn: Round, group: TaskGroup) -> None:
        """Reserve a start for a gang, or for what is overdue."""
        if self._holds is None or not group.tasks_by_id:
            return
        is_overdue = self._finder.is_overdue(turn, group)
        if not group.is_gang and not is_overdue:
            return
        members = len(group.tasks_by_id) if group.is_gang else 1
        if self._holds.place(group, members, turn.now_ms, at_once=is_overdue):
            group.reason = "a reserved start"

    def _reclaim(
        self, turn: Round, group: TaskGroup, victims: Victims
    ) -> None:
        """Evict for one task; wait for it before evicting for the next."""
        if turn.now_ms < group.next_reclaim_ms:
            return
        evictions = self._reclaimer.for_size(
            group.size, group.sample.unit, turn.now_ms, victims
        )
        if evictions:
            interval_ms = RECLAIM_INTERVAL_MS // len(group.tasks_by_id)
            group.next_reclaim_ms = turn.now_ms + interval_ms
            turn.evictions.extend(evictions)

    def _reclaim_borrowed(self, turn: Round, group: TaskGroup) -> None:
        if not self._reclaimer.any_borrowed():
            return
        self._reclaim(turn, group, Victims.BORROWED)
