"""Backfill with at most one reserved start at a time.

A start is reserved for a gang, or for a group whose work class is close to
starvation, on the workers that will have the needed capacity first. Other
bulk tasks may use these workers if they end before the reserved start or
leave enough capacity. Since there is at most one reservation and a gang
starts as a whole, two gangs cannot deadlock on parts of each other's
capacity.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

from magnoliapitch.catalogue.entry import WorkClass
from magnoliapitch.decision.queue import TaskGroup
from magnoliapitch.decision.worker_state import WorkerReservation
from magnoliapitch.decision.worker_state import WorkerState
from magnoliapitch.resource import Resources


if TYPE_CHECKING:
    from magnoliapitch.decision.allocations import Allocations
    from magnoliapitch.decision.worker_state import RunningTask


MAX_EXAMINED_WORKERS = 64
MIN_RESERVATION_VALIDITY_MS = 30_000
RESERVATION_COOLDOWN_MS = 60_000
MIN_REMAINING_RUN_MS = 1_000


class StartReservation(NamedTuple):
    """A start that is reserved for a group.

    :param workers: workers on which capacity is reserved.
    :param start_ms: expected start.
    :param expires_ms: when the reservation is released if it is not used.
    """

    group: TaskGroup
    workers: tuple[WorkerState, ...]
    start_ms: int
    expires_ms: int


class _ExpectedRelease(NamedTuple):
    """Capacity that a running task is expected to release.

    :param worker_index: position of the worker in the list of workers.
    """

    release_ms: int
    worker_index: int
    amount: Resources


class StartReservationPlanner:
    """Makes and releases the only reserved start.

    :ivar reservation: the reserved start, or ``None``.
    """

    def __init__(self, allocations: Allocations) -> None:
        self.reservation: StartReservation | None = None
        self._allocations = allocations

    def reserve(
        self,
        group: TaskGroup,
        member_count: int,
        now_ms: int,
        *,
        ignore_cooldown: bool,
    ) -> bool:
        """Reserve a start for a group; return whether one was reserved.

        :param member_count: number of tasks that must start together.
        :param ignore_cooldown: whether to reserve also soon after a
            reservation for the group expired or was impossible.
        """
        if self.reservation is not None:
            return False
        if now_ms < group.next_reservation_ms and not ignore_cooldown:
            return False
        workers = self._allocations.workers.emptiest_workers(
            MAX_EXAMINED_WORKERS, group.template.unit
        )
        plan = _earliest_start(workers, group.size, member_count, now_ms)
        if plan is None:
            group.next_reservation_ms = now_ms + RESERVATION_COOLDOWN_MS
            return False
        start_ms, counts_by_worker = plan
        for worker, count in counts_by_worker:
            free = _free_capacity_at(worker, start_ms, now_ms)
            spare = free.minus(group.size.times(count))
            worker.reservation = WorkerReservation(group, start_ms, spare)
        expires_ms = start_ms + max(
            MIN_RESERVATION_VALIDITY_MS, (start_ms - now_ms) // 2
        )
        reserved_workers = tuple(worker for worker, _ in counts_by_worker)
        self.reservation = StartReservation(
            group, reserved_workers, start_ms, expires_ms
        )
        return True

    def charge_start(
        self, worker: WorkerState, group: TaskGroup, expected_end_ms: int
    ) -> None:
        """Subtract a start from the spare capacity of a reserved worker."""
        reservation = worker.reservation
        if reservation is None or reservation.for_group is group:
            return
        if expected_end_ms > reservation.start_ms:
            spare = reservation.spare.minus(group.size)
            worker.reservation = reservation._replace(spare=spare)

    def expire(self, now_ms: int) -> None:
        """Release the reservation if it expired or its group has no tasks."""
        reservation = self.reservation
        if reservation is None:
            return
        if now_ms >= reservation.expires_ms:
            reservation.group.next_reservation_ms = (
                now_ms + RESERVATION_COOLDOWN_MS
            )
            self.release()
        elif not reservation.group.tasks_by_id:
            self.release()

    def release(self) -> None:
        """Release the reservation, if there is one."""
        if self.reservation is None:
            return
        for worker in self.reservation.workers:
            worker.reservation = None
            if worker.bucket_index >= 0:
                self._allocations.mark_freed(worker)
        self.reservation = None


def _earliest_start(
    workers: list[WorkerState], size: Resources, member_count: int, now_ms: int
) -> tuple[int, list[tuple[WorkerState, int]]] | None:
    """Return the earliest start of all members, and where they fit.

    :returns: the time, and the number of members for each chosen worker;
        ``None`` if the members never fit.
    """
    free = [worker.free for worker in workers]
    fitting = [_count_fitting(item, size) for item in free]
    total = sum(fitting)
    start_ms = now_ms
    for release in _expected_releases(workers, now_ms):
        if total >= member_count:
            break
        index = release.worker_index
        free[index] = free[index].plus(release.amount)
        gained = _count_fitting(free[index], size) - fitting[index]
        fitting[index] += gained
        total += gained
        start_ms = release.release_ms
    if total < member_count:
        return None
    chosen = []
    order = sorted(range(len(workers)), key=fitting.__getitem__, reverse=True)
    for index in order:
        used = min(fitting[index], member_count)
        if used:
            chosen.append((workers[index], used))
            member_count -= used
    return start_ms, chosen


def _expected_releases(
    workers: list[WorkerState], now_ms: int
) -> list[_ExpectedRelease]:
    found = [
        _ExpectedRelease(
            max(task.expected_end_ms, now_ms + MIN_REMAINING_RUN_MS),
            index,
            task.reserved,
        )
        for index, worker in enumerate(workers)
        for task in worker.tasks_by_id.values()
        if _will_end(task)
    ]
    found.sort()
    return found


def _free_capacity_at(
    worker: WorkerState, start_ms: int, now_ms: int
) -> Resources:
    free = worker.free
    for task in worker.tasks_by_id.values():
        expected_end_ms = max(
            task.expected_end_ms, now_ms + MIN_REMAINING_RUN_MS
        )
        if _will_end(task) and expected_end_ms <= start_ms:
            free = free.plus(task.reserved)
    return free


def _will_end(task: RunningTask) -> bool:
    return task.request.work_class is not WorkClass.SERVICE


def _count_fitting(free: Resources, size: Resources) -> int:
    fitting = min(
        free.cpu_millis // max(1, size.cpu_millis),
        free.memory_mb // max(1, size.memory_mb),
    )
    if size.accelerators:
        fitting = min(fitting, free.accelerators // size.accelerators)
    return max(0, fitting)
