"""One reserved start at a time, for a gang or for a task that is overdue.

A reservation holds what the group will need on workers that will have it
soonest. Other bulk work may use these workers as long as it ends before the
reserved start or leaves enough. Since there is at most one reservation and
a gang starts as a whole, two gangs never wait for each other's halves.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

from magnoliapitch.catalogue.entry import WorkClass
from magnoliapitch.decision.worker_state import SlotHold
from magnoliapitch.decision.worker_state import WorkerState
from magnoliapitch.decision.queue import TaskGroup
from magnoliapitch.resource import Resources


if TYPE_CHECKING:
    from magnoliapitch.decision.allocations import Books
    from magnoliapitch.decision.worker_state import RunningTask


MAX_WORKERS = 64
MIN_VALIDITY_MS = 30_000
COOLDOWN_MS = 60_000
MIN_LEFT_MS = 1_000


class Hold(NamedTuple):
    """A reserved start.

    :param at_ms: expected start.
    :param expires_ms: when it is given up.
    """

    group: TaskGroup
    workers: tuple[WorkerState, ...]
    at_ms: int
    expires_ms: int


class _Release(NamedTuple):
    at_ms: int
    worker: int
    amount: Resources


class HoldPlanner:
    """Keeps the one reserved start.

    :ivar hold: the reserved start, if there is one.
    """

    def __init__(self, books: Books) -> None:
        self.hold: Hold | None = None
        self._books = books

    def place(
        self, group: TaskGroup, members: int, now_ms: int, *, at_once: bool
    ) -> bool:
        """Reserve a start for a group; return whether one was reserved.

        :param at_once: whether also soon after its last one expired.
        """
        if self.hold is not None:
            return False
        if now_ms < group.next_hold_ms and not at_once:
            return False
        workers = self._books.table.some(MAX_WORKERS, group.sample.unit)
        plan = _plan(workers, group.size, members, now_ms)
        if plan is None:
            group.next_hold_ms = now_ms + COOLDOWN_MS
            return False
        at_ms, seats_by_worker = plan
        for worker, seats in seats_by_worker:
            free = _free_at(worker, at_ms, now_ms)
            spare = free.minus(group.size.times(seats))
            worker.hold = SlotHold(group, at_ms, spare)
        expires_ms = at_ms + max(MIN_VALIDITY_MS, (at_ms - now_ms) // 2)
        held = tuple(worker for worker, _ in seats_by_worker)
        self.hold = Hold(group, held, at_ms, expires_ms)
        return True

    def charge(
        self, worker: WorkerState, group: TaskGroup, ends_ms: int
    ) -> None:
        """Count a start on a held worker against what it may spare."""
        hold = worker.hold
        if hold is None or hold.owner is group:
            return
        if ends_ms > hold.at_ms:
            spare = hold.spare.minus(group.size)
            worker.hold = hold._replace(spare=spare)

    def expire(self, now_ms: int) -> None:
        """Give up a reservation that is stale or no longer wanted."""
        hold = self.hold
        if hold is None:
            return
        if now_ms >= hold.expires_ms:
            hold.group.next_hold_ms = now_ms + COOLDOWN_MS
            self.release()
        elif not hold.group.tasks_by_id:
            self.release()

    def release(self) -> None:
        """Give up the reservation."""
        if self.hold is None:
            return
        for worker in self.hold.workers:
            worker.hold = None
            if worker.level >= 0:
                self._books.mark_freed(worker)
        self.hold = None


def _plan(
    workers: list[WorkerState], size: Resources, members: int, now_ms: int
) -> tuple[int, list[tuple[WorkerState, int]]] | None:
    """Return the earliest start and the seats on each worker."""
    free = [worker.free for worker in workers]
    seats = [_seats(item, size) for item in free]
    total = sum(seats)
    at_ms = now_ms
    for release in _releases(workers, now_ms):
        if total >= members:
            break
        index = release.worker
        free[index] = free[index].plus(release.amount)
        gained = _seats(free[index], size) - seats[index]
        seats[index] += gained
        total += gained
        at_ms = release.at_ms
    if total < members:
        return None
    chosen = []
    order = sorted(range(len(workers)), key=seats.__getitem__, reverse=True)
    for index in order:
        used = min(seats[index], members)
        if used:
            chosen.append((workers[index], used))
            members -= used
    return at_ms, chosen


def _releases(workers: list[WorkerState], now_ms: int) -> list[_Release]:
    found = [
        _Release(max(task.ends_ms, now_ms + MIN_LEFT_MS), index, task.reserved)
        for index, worker in enumerate(workers)
        for task in worker.tasks_by_id.values()
        if _will_end(task)
    ]
    found.sort()
    return found


def _free_at(worker: WorkerState, at_ms: int, now_ms: int) -> Resources:
    free = worker.free
    for task in worker.tasks_by_id.values():
        ends_ms = max(task.ends_ms, now_ms + MIN_LEFT_MS)
        if _will_end(task) and ends_ms <= at_ms:
            free = free.plus(task.reserved)
    return free


def _will_end(task: RunningTask) -> bool:
    return task.request.work_class is not WorkClass.SERVICE


def _seats(free: Resources, size: Resources) -> int:
    seats = min(
        free.cpu_millis // max(1, size.cpu_millis),
        free.memory_mb // max(1, size.memory_mb),
    )
    if size.accelerators:
        seats = min(seats, free.accelerators // size.accelerators)
    return max(0, seats)
