"""Takes capacity back from bulk work, least damage first.

Processors are taken back by throttling; memory and accelerators, or more
processors than throttling yields, by checkpoints; tasks that cannot be
checkpointed in time are stopped.
"""

from __future__ import annotations

from enum import StrEnum
from typing import TYPE_CHECKING

from magnoliapitch.catalogue.entry import WorkClass
from magnoliapitch.decision.finder import BULK_CLASSES
from magnoliapitch.decision.interface import Eviction
from magnoliapitch.decision.interface import EvictionAction
from magnoliapitch.resource import NO_RESOURCES
from magnoliapitch.resource import Resources


if TYPE_CHECKING:
    from magnoliapitch.decision.allocations import Books
    from magnoliapitch.decision.worker_state import RunningTask
    from magnoliapitch.decision.worker_state import WorkerState


MAX_WORKERS = 16
KEEP_MS = 10_000
STOP_AFTER_MS = 30_000
THROTTLE_TIMEOUT_MS = 2_000
THROTTLE_DIVISOR = 2
MIN_THROTTLED_MILLIS = 100
GANG_DAMAGE = 1_000_000
DEADLINE_DAMAGE = 500_000
BORROWED_GAIN = 10_000_000


class Victims(StrEnum):
    """Which bulk work may be evicted.

    Patient is batch work without a deadline: were gangs evicted for
    deadlines, a flood of deadlines would start and evict them for ever.
    """

    BORROWED = "borrowed"
    PATIENT = "patient"
    BULK = "bulk"


class Reclaimer:
    """Plans evictions; keeps what they free for those who waited.

    :param acts: whether anything is taken back at all.
    """

    def __init__(self, books: Books, acts: bool) -> None:
        self._books = books
        self._acts = acts
        self._throttled: dict[str, RunningTask] = {}
        self._unconfirmed_ms: dict[str, int] = {}
        self._checkpointed_ms: dict[str, int] = {}

    def for_size(
        self, size: Resources, unit: str, now_ms: int, victims: Victims
    ) -> list[Eviction]:
        """Return evictions that make room for a task, or none."""
        if not self._acts:
            return []
        best: list[Eviction] = []
        best_damage = 0
        for worker in self._books.table.some(MAX_WORKERS, unit):
            plan = _plan(worker, size, victims)
            if plan is None:
                continue
            damage, evictions = plan
            if not best or damage < best_damage:
                best = evictions
                best_damage = damage
        if best:
            self._apply(best, now_ms)
            if victims is Victims.BULK:
                worker_id = best[0].worker_id
                worker = self._books.table.workers_by_id[worker_id]
                self._books.keep(worker, size, now_ms + KEEP_MS)
        return best

    def any_borrowed(self) -> bool:
        """Return whether any task runs beyond the quota of its entry."""
        return self._books.borrowed > 0

    def for_growth(self, task: RunningTask, now_ms: int) -> list[Eviction]:
        """Return the eviction of a task that outgrew its worker."""
        if task.evicted or not self._acts:
            return []
        eviction = _eviction(task, EvictionAction.CHECKPOINT)
        self._mark(eviction, task, now_ms)
        return [eviction]

    def restore(self, limit: int) -> list[Eviction]:
        """Return evictions that lift bounds where capacity is idle."""
        found = []
        for task_id, task in list(self._throttled.items())[:limit]:
            if self._books.running_by_id.get(task_id) is not task:
                del self._throttled[task_id]
                self._unconfirmed_ms.pop(task_id, None)
                continue
            if task_id in self._unconfirmed_ms:
                continue
            wanted = task.granted.cpu_millis - task.reserved.cpu_millis
            worker = task.worker
            free = worker.free_cpu - worker.headroom_cpu
            if wanted <= 0 or worker.kept != NO_RESOURCES or wanted > free:
                continue
            cpu_millis = task.granted.cpu_millis
            reserved = task.reserved._replace(cpu_millis=cpu_millis)
            self._books.resize(task, reserved)
            task.evicted = False
            del self._throttled[task_id]
            found.append(_eviction(task, EvictionAction.THROTTLE, cpu_millis))
        return found

    def confirm(self, task: RunningTask) -> None:
        """Note that a worker has bounded a task."""
        self._unconfirmed_ms.pop(task.request.task_id, None)
        task.evicted = False

    def overdue(self, now_ms: int) -> list[Eviction]:
        """Return stops of tasks whose checkpoint takes too long.

        What was throttled without effect may be checkpointed from now on.
        """
        for task_id, at_ms in list(self._unconfirmed_ms.items()):
            if now_ms - at_ms >= THROTTLE_TIMEOUT_MS:
                del self._unconfirmed_ms[task_id]
                del self._throttled[task_id]
                self._resist(task_id)
        found = []
        for task_id, at_ms in list(self._checkpointed_ms.items()):
            task = self._books.running_by_id.get(task_id)
            if task is None:
                del self._checkpointed_ms[task_id]
            elif now_ms - at_ms >= STOP_AFTER_MS:
                del self._checkpointed_ms[task_id]
                found.append(_eviction(task, EvictionAction.STOP))
        return found

    def _resist(self, task_id: str) -> None:
        task = self._books.running_by_id.get(task_id)
        if task is not None:
            task.resists = True
            task.evicted = False
            self._books.mark_freed(task.worker)

    def _apply(self, evictions: list[Eviction], now_ms: int) -> None:
        for eviction in evictions:
            task = self._books.running_by_id[eviction.task_id]
            self._mark(eviction, task, now_ms)

    def _mark(
        self, eviction: Eviction, task: RunningTask, now_ms: int
    ) -> None:
        task.evicted = True
        if eviction.action is EvictionAction.THROTTLE:
            self._throttled[eviction.task_id] = task
            self._unconfirmed_ms[eviction.task_id] = now_ms
        else:
            self._checkpointed_ms[eviction.task_id] = now_ms


def _plan(
    worker: WorkerState, size: Resources, kind: Victims
) -> tuple[int, list[Eviction]] | None:
    """Return the damage and the evictions that make room on a worker."""
    if not size.fits(worker.shape.capacity):
        return None
    free = worker.free
    victims = sorted(
        (
            task
            for task in worker.tasks_by_id.values()
            if _may_evict(task, kind)
        ),
        key=_damage,
    )
    throttles = _throttles(victims, size, free)
    if throttles is not None:
        return len(throttles), throttles
    evictions: list[Eviction] = []
    damage = 0
    for task in victims:
        if size.fits(free):
            break
        evictions.append(_eviction(task, EvictionAction.CHECKPOINT))
        free = free.plus(task.reserved)
        damage += 1_000 + max(0, _damage(task) + BORROWED_GAIN)
    return (damage, evictions) if evictions and size.fits(free) else None


def _throttles(
    victims: list[RunningTask], size: Resources, free: Resources
) -> list[Eviction] | None:
    """Return throttles that suffice when only processors are lacking."""
    if size._replace(cpu_millis=0).fits(free._replace(cpu_millis=0)) is False:
        return None
    missing = size.cpu_millis - free.cpu_millis
    found: list[Eviction] = []
    by_size = sorted(
        (task for task in victims if not task.resists),
        key=lambda task: -task.reserved.cpu_millis,
    )
    for task in by_size:
        if missing <= 0:
            break
        left = max(
            MIN_THROTTLED_MILLIS, task.reserved.cpu_millis // THROTTLE_DIVISOR
        )
        if left >= task.reserved.cpu_millis:
            continue
        missing -= task.reserved.cpu_millis - left
        found.append(_eviction(task, EvictionAction.THROTTLE, left))
    return found if found and missing <= 0 else None


def _may_evict(task: RunningTask, kind: Victims) -> bool:
    request = task.request
    if task.evicted or request.work_class not in BULK_CLASSES:
        return False
    if kind is Victims.BORROWED:
        return task.borrowed
    if kind is Victims.BULK:
        return True
    return request.work_class is WorkClass.BATCH and not request.deadline_ms


def _damage(task: RunningTask) -> int:
    damage = task.reserved.cpu_millis
    if task.request.work_class is WorkClass.GANG:
        damage += GANG_DAMAGE
    if task.request.deadline_ms:
        damage += DEADLINE_DAMAGE
    if task.borrowed:
        damage -= BORROWED_GAIN
    return damage


def _eviction(
    task: RunningTask, action: EvictionAction, cpu_millis: int = 0
) -> Eviction:
    worker_id = task.worker.shape.worker_id
    return Eviction(task.request.task_id, worker_id, action, cpu_millis)
