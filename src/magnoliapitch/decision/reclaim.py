"""Preemption of bulk work, least disruptive first.

CPU is taken back by throttling. Memory, accelerators and more CPU than
throttling can free are taken back by checkpoints. A task that does not end
with a checkpoint in time is stopped.
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
    from magnoliapitch.decision.allocations import Allocations
    from magnoliapitch.decision.worker_state import RunningTask
    from magnoliapitch.decision.worker_state import WorkerState


MAX_EXAMINED_WORKERS = 16
EARMARK_MS = 10_000
CHECKPOINT_TIMEOUT_MS = 30_000
THROTTLE_TIMEOUT_MS = 2_000
THROTTLE_CPU_DIVISOR = 2
MIN_THROTTLED_CPU_MILLIS = 100
GANG_EVICTION_COST = 1_000_000
DEADLINE_EVICTION_COST = 500_000
BORROWED_COST_DISCOUNT = 10_000_000


class VictimKind(StrEnum):
    """Which bulk tasks may be evicted.

    - ``BORROWED``: tasks that exceed the quota of their entry.
    - ``BATCH_WITHOUT_DEADLINE``: batch tasks without a deadline. Work with a
      deadline may evict only these: if it could evict gangs, a steady stream
      of deadlines would start and evict the same gangs again and again.
    - ``BULK``: all batch and gang tasks.
    """

    BORROWED = "borrowed"
    BATCH_WITHOUT_DEADLINE = "patient"
    BULK = "bulk"


class Reclaimer:
    """Plans evictions, and earmarks what they free for the waiting tasks.

    :param is_enabled: whether any evictions are planned at all.
    """

    def __init__(self, allocations: Allocations, is_enabled: bool) -> None:
        self._allocations = allocations
        self._is_enabled = is_enabled
        self._throttled_by_attempt: dict[str, RunningTask] = {}
        self._throttle_sent_ms_by_attempt: dict[str, int] = {}
        self._checkpoint_sent_ms_by_attempt: dict[str, int] = {}

    def plan_for_task(
        self, size: Resources, unit: str, now_ms: int, victim_kind: VictimKind
    ) -> list[Eviction]:
        """Return evictions that make room for a task on the cheapest worker.

        :param size: resources that the task needs.
        :param unit: the only rack that it may run in; empty for any.
        :param victim_kind: which tasks may be evicted.
        :returns: the evictions; empty if none make enough room.
        """
        if not self._is_enabled:
            return []
        best: list[Eviction] = []
        lowest_cost = 0
        for worker in self._allocations.workers.emptiest_workers(
            MAX_EXAMINED_WORKERS, unit
        ):
            plan = _plan_on_worker(worker, size, victim_kind)
            if plan is None:
                continue
            cost, evictions = plan
            if not best or cost < lowest_cost:
                best = evictions
                lowest_cost = cost
        if best:
            self._record_all(best, now_ms)
            if victim_kind is VictimKind.BULK:
                worker_id = best[0].worker_id
                worker = self._allocations.workers.by_id[worker_id]
                self._allocations.earmark(worker, size, now_ms + EARMARK_MS)
        return best

    def has_borrowed(self) -> bool:
        """Return whether any running task exceeds the quota of its entry."""
        return self._allocations.borrowed > 0

    def plan_for_growth(
        self, task: RunningTask, now_ms: int
    ) -> list[Eviction]:
        """Return a checkpoint of a task whose worker ran out of memory.

        :returns: one eviction; empty if the task is being evicted already
            or evictions are switched off.
        """
        if task.is_being_evicted or not self._is_enabled:
            return []
        eviction = _make_eviction(task, EvictionAction.CHECKPOINT)
        self._record_eviction(eviction, task, now_ms)
        return [eviction]

    def lift_throttles(self, limit: int) -> list[Eviction]:
        """Return throttles that restore the initial CPU where it is free.

        :param limit: number of throttled tasks to examine at most.
        """
        found = []
        for attempt_id, task in list(self._throttled_by_attempt.items())[
            :limit
        ]:
            if self._allocations.running_by_id.get(attempt_id) is not task:
                del self._throttled_by_attempt[attempt_id]
                self._throttle_sent_ms_by_attempt.pop(attempt_id, None)
                continue
            if attempt_id in self._throttle_sent_ms_by_attempt:
                continue
            wanted = (
                task.initially_reserved.cpu_millis - task.reserved.cpu_millis
            )
            worker = task.worker
            free = worker.free_cpu_millis - worker.headroom_cpu_millis
            if (
                wanted <= 0
                or worker.earmarked != NO_RESOURCES
                or wanted > free
            ):
                continue
            cpu_millis = task.initially_reserved.cpu_millis
            reserved = task.reserved._replace(cpu_millis=cpu_millis)
            self._allocations.resize(task, reserved)
            task.is_being_evicted = False
            del self._throttled_by_attempt[attempt_id]
            found.append(
                _make_eviction(task, EvictionAction.THROTTLE, cpu_millis)
            )
        return found

    def confirm_throttle(self, task: RunningTask) -> None:
        """Record that a worker confirmed the throttle of a task."""
        self._throttle_sent_ms_by_attempt.pop(task.request.attempt_id, None)
        task.is_being_evicted = False

    def escalate_overdue(self, now_ms: int) -> list[Eviction]:
        """Return stops of tasks whose checkpoint takes too long.

        A task whose throttle was not confirmed in time is marked, so that it
        may be checkpointed instead.
        """
        for attempt_id, sent_ms in list(
            self._throttle_sent_ms_by_attempt.items()
        ):
            if now_ms - sent_ms >= THROTTLE_TIMEOUT_MS:
                del self._throttle_sent_ms_by_attempt[attempt_id]
                del self._throttled_by_attempt[attempt_id]
                self._mark_throttle_ignored(attempt_id)
        found = []
        for attempt_id, sent_ms in list(
            self._checkpoint_sent_ms_by_attempt.items()
        ):
            task = self._allocations.running_by_id.get(attempt_id)
            if task is None:
                del self._checkpoint_sent_ms_by_attempt[attempt_id]
            elif now_ms - sent_ms >= CHECKPOINT_TIMEOUT_MS:
                del self._checkpoint_sent_ms_by_attempt[attempt_id]
                found.append(_make_eviction(task, EvictionAction.STOP))
        return found

    def _mark_throttle_ignored(self, attempt_id: str) -> None:
        task = self._allocations.running_by_id.get(attempt_id)
        if task is not None:
            task.ignores_throttle = True
            task.is_being_evicted = False
            self._allocations.mark_freed(task.worker)

    def _record_all(self, evictions: list[Eviction], now_ms: int) -> None:
        for eviction in evictions:
            task = self._allocations.running_by_id[eviction.attempt_id]
            self._record_eviction(eviction, task, now_ms)

    def _record_eviction(
        self, eviction: Eviction, task: RunningTask, now_ms: int
    ) -> None:
        task.is_being_evicted = True
        if eviction.action is EvictionAction.THROTTLE:
            self._throttled_by_attempt[eviction.attempt_id] = task
            self._throttle_sent_ms_by_attempt[eviction.attempt_id] = now_ms
        else:
            self._checkpoint_sent_ms_by_attempt[eviction.attempt_id] = now_ms


def _plan_on_worker(
    worker: WorkerState, size: Resources, victim_kind: VictimKind
) -> tuple[int, list[Eviction]] | None:
    """Return the cost and the evictions that make room on a worker.

    Throttles that suffice are always cheaper than checkpoints.
    """
    if not size.fits(worker.shape.capacity):
        return None
    free = worker.free
    victims = sorted(
        (
            task
            for task in worker.tasks_by_id.values()
            if _is_candidate(task, victim_kind)
        ),
        key=_eviction_cost,
    )
    throttles = _plan_throttles(victims, size, free)
    if throttles is not None:
        return len(throttles), throttles
    evictions: list[Eviction] = []
    cost = 0
    for task in victims:
        if size.fits(free):
            break
        evictions.append(_make_eviction(task, EvictionAction.CHECKPOINT))
        free = free.plus(task.reserved)
        cost += 1_000 + max(0, _eviction_cost(task) + BORROWED_COST_DISCOUNT)
    return (cost, evictions) if evictions and size.fits(free) else None


def _plan_throttles(
    victims: list[RunningTask], size: Resources, free: Resources
) -> list[Eviction] | None:
    """Return throttles that free enough CPU, if only CPU is missing."""
    if size._replace(cpu_millis=0).fits(free._replace(cpu_millis=0)) is False:
        return None
    missing = size.cpu_millis - free.cpu_millis
    found: list[Eviction] = []
    largest_first = sorted(
        (task for task in victims if not task.ignores_throttle),
        key=lambda task: -task.reserved.cpu_millis,
    )
    for task in largest_first:
        if missing <= 0:
            break
        throttled_cpu_millis = max(
            MIN_THROTTLED_CPU_MILLIS,
            task.reserved.cpu_millis // THROTTLE_CPU_DIVISOR,
        )
        if throttled_cpu_millis >= task.reserved.cpu_millis:
            continue
        missing -= task.reserved.cpu_millis - throttled_cpu_millis
        found.append(
            _make_eviction(task, EvictionAction.THROTTLE, throttled_cpu_millis)
        )
    return found if found and missing <= 0 else None


def _is_candidate(task: RunningTask, victim_kind: VictimKind) -> bool:
    request = task.request
    if task.is_being_evicted or request.work_class not in BULK_CLASSES:
        return False
    if victim_kind is VictimKind.BORROWED:
        return task.borrowed
    if victim_kind is VictimKind.BULK:
        return True
    return request.work_class is WorkClass.BATCH and not request.deadline_ms


def _eviction_cost(task: RunningTask) -> int:
    """Return the cost of an eviction, in thousandths of a core."""
    cost = task.reserved.cpu_millis
    if task.request.work_class is WorkClass.GANG:
        cost += GANG_EVICTION_COST
    if task.request.deadline_ms:
        cost += DEADLINE_EVICTION_COST
    if task.borrowed:
        cost -= BORROWED_COST_DISCOUNT
    return cost


def _make_eviction(
    task: RunningTask, action: EvictionAction, cpu_millis: int = 0
) -> Eviction:
    worker_id = task.worker.shape.worker_id
    return Eviction(task.request.attempt_id, worker_id, action, cpu_millis)
