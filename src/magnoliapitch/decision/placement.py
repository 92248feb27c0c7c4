"""Search for the best worker for a task."""

from __future__ import annotations

from itertools import islice
from typing import TYPE_CHECKING
from typing import NamedTuple

from magnoliapitch.decision.worker_state import FreeCpuIndex
from magnoliapitch.decision.worker_state import WorkerState
from magnoliapitch.resource import NO_RESOURCES
from magnoliapitch.resource import UNLIMITED
from magnoliapitch.resource import Resources


if TYPE_CHECKING:
    from collections.abc import Iterable

    from magnoliapitch.decision.interface import WorkerShape


MAX_EXAMINED_WORKERS = 32
MAX_FALLBACK_WORKERS = 8
MAX_CANDIDATES = 8
ACCELERATOR_SHARE_DIVISOR = 8
HEADROOM_WORKER_INTERVAL = 4
SPREAD_PENALTY_MILLIS = 1_000_000
ACCELERATOR_PENALTY_MILLIS = 100_000


class PlacementNeed(NamedTuple):
    """What a task needs of a worker.

    :param size: resources to reserve.
    :param expected_end_ms: expected end if it starts now.
    :param is_bulk: whether it is a batch or gang task, which must leave
        capacity that is reserved or protected for others.
    :param for_group: its group; the group may use its own reserved start.
    :param unit: the only rack that it may run in; empty for any.
    :param may_use_protected: whether it may use capacity that is protected
        from bulk work.
    :param service_tasks_by_unit: running tasks of the same service by rack;
        ``None`` if it is not part of a service.
    """

    size: Resources
    expected_end_ms: int
    is_bulk: bool
    for_group: object = None
    unit: str = ""
    may_use_protected: bool = False
    service_tasks_by_unit: dict[str, int] | None = None


class WorkerTable:
    """All workers, with a search for the best one for a task.

    :param headroom: share of all CPU that bulk work leaves free.
    :ivar capacity: total capacity of all workers.
    :ivar examined_count: number of workers examined so far, a measure of
        cost.
    :ivar has_accelerator_work: whether any submitted task needs accelerators.
    :ivar version: counter that grows with each added or removed worker.
    """

    def __init__(self, headroom: float) -> None:
        self.by_id: dict[str, WorkerState] = {}
        self.capacity = NO_RESOURCES
        self.examined_count = 0
        self.has_accelerator_work = False
        self.version = 0
        self._headroom_share = headroom
        self._added = 0
        self._largest = NO_RESOURCES
        self._plain_index = FreeCpuIndex()
        self._accelerator_index = FreeCpuIndex()
        self._workers_by_unit: dict[str, list[WorkerState]] = {}

    def add(self, shape: WorkerShape) -> WorkerState:
        """Add a worker."""
        worker = WorkerState(shape, self._next_headroom_share())
        self.by_id[shape.worker_id] = worker
        self._workers_by_unit.setdefault(shape.unit, []).append(worker)
        self._index_of(worker).insert(worker)
        self.capacity = self.capacity.plus(shape.capacity)
        self._largest = max(self._largest, shape.capacity)
        self.version += 1
        return worker

    def remove(self, worker_id: str) -> WorkerState | None:
        """Remove a worker; return its state, or ``None`` if unknown."""
        worker = self.by_id.pop(worker_id, None)
        if worker is None:
            return None
        self._workers_by_unit[worker.shape.unit].remove(worker)
        if worker.bucket_index >= 0:
            self._index_of(worker).remove(worker)
        self.capacity = self.capacity.minus(worker.shape.capacity)
        self.version += 1
        return worker

    def set_accepts_tasks(
        self, worker: WorkerState, accepts_tasks: bool
    ) -> None:
        """Set whether tasks may be placed on a worker."""
        if worker.accepts_tasks == accepts_tasks:
            return
        worker.accepts_tasks = accepts_tasks
        if accepts_tasks:
            self._index_of(worker).insert(worker)
        else:
            self._index_of(worker).remove(worker)

    def allocate(self, worker: WorkerState, amount: Resources) -> None:
        """Subtract resources from the free capacity of a worker."""
        worker.allocate(amount)
        if worker.bucket_index >= 0:
            self._index_of(worker).update(worker)

    def release(self, worker: WorkerState, amount: Resources) -> None:
        """Add resources to the free capacity of a worker."""
        worker.release(amount)
        if worker.bucket_index >= 0:
            self._index_of(worker).update(worker)

    def search(self, need: PlacementNeed, now_ms: int) -> WorkerState | None:
        """Return the best worker for a task, or ``None`` if none fits.

        A task without accelerators goes to a worker with accelerators only
        if no other worker fits.
        """
        if need.unit:
            in_rack = self._workers_by_unit.get(need.unit, ())
            return self._best(in_rack, need, now_ms)
        if not need.size.accelerators:
            found = self._search_index(self._plain_index, need, now_ms)
            if found is not None:
                return found
        return self._search_index(self._accelerator_index, need, now_ms)

    def best_of(
        self, workers: Iterable[WorkerState], need: PlacementNeed, now_ms: int
    ) -> WorkerState | None:
        """Return the best of the given workers, or ``None`` if none fits."""
        if need.unit:
            workers = [
                item for item in workers if item.shape.unit == need.unit
            ]
        return self._best(workers, need, now_ms)

    def fits(
        self, worker: WorkerState, need: PlacementNeed, now_ms: int
    ) -> bool:
        """Return whether a task may start on a worker now."""
        size = need.size
        if (
            size.cpu_millis > worker.free_cpu_millis
            or size.memory_mb > worker.free_memory_mb
            or size.accelerators > worker.free_accelerators
            or not worker.accepts_tasks
        ):
            return False
        if not need.is_bulk:
            return True
        return size.fits(self.available(worker, need, now_ms))

    def available(
        self, worker: WorkerState, need: PlacementNeed, now_ms: int
    ) -> Resources:
        """Return the capacity of a worker that a bulk task may use now."""
        cpu = worker.free_cpu_millis
        memory = worker.free_memory_mb
        if not need.may_use_protected:
            protected = self._protected_from_bulk(worker, need, now_ms)
            cpu -= protected.cpu_millis
            memory -= protected.memory_mb
        reservation = worker.reservation
        if (
            reservation is not None
            and reservation.for_group is not need.for_group
            and need.expected_end_ms > reservation.start_ms
        ):
            cpu = min(cpu, reservation.spare.cpu_millis)
            memory = min(memory, reservation.spare.memory_mb)
        return Resources(cpu, memory, worker.free_accelerators)

    def limit(self, is_bulk: bool) -> Resources:
        """Return the most that a task may reserve on any worker.

        For bulk work this leaves the headroom of the largest worker free.
        """
        if not self._largest.cpu_millis:
            return UNLIMITED
        if not is_bulk:
            return self._largest
        rest = 1 - min(1.0, self._headroom_share * HEADROOM_WORKER_INTERVAL)
        cpu_millis = int(self._largest.cpu_millis * rest)
        return self._largest._replace(cpu_millis=cpu_millis)

    def may_fit(self, size: Resources) -> bool:
        """Return whether any worker may have enough free CPU."""
        if size.accelerators:
            return (
                size.cpu_millis
                <= self._accelerator_index.max_free_cpu_millis()
            )
        most = max(
            self._plain_index.max_free_cpu_millis(),
            self._accelerator_index.max_free_cpu_millis(),
        )
        return size.cpu_millis <= most

    def emptiest_workers(
        self, limit: int, unit: str = ""
    ) -> list[WorkerState]:
        """Return at most ``limit`` workers that accept tasks, emptiest first.

        Workers without accelerators come first. The workers of a single
        rack, if ``unit`` is given, come in no particular order.
        """
        if unit:
            in_rack = self._workers_by_unit.get(unit, ())
            return [item for item in in_rack if item.accepts_tasks][:limit]
        found = list(islice(self._plain_index.emptiest_first(), limit))
        rest = limit - len(found)
        found.extend(islice(self._accelerator_index.emptiest_first(), rest))
        return found

    def _protected_from_bulk(
        self, worker: WorkerState, need: PlacementNeed, now_ms: int
    ) -> Resources:
        """Return the capacity of a worker that is protected from bulk work.

        This is the headroom for urgent work and the earmarked capacity. For
        each free accelerator it is also an eighth of the CPU and memory, so
        that tasks that need accelerators can still use them.
        """
        protected = Resources(
            max(0, worker.headroom_cpu_millis - worker.urgent_cpu_millis)
        )
        if worker.earmarked_until_ms > now_ms:
            protected = protected.plus(worker.earmarked)
        if not self._protects_accelerators(worker, need):
            return protected
        capacity = worker.shape.capacity
        accelerators = worker.free_accelerators
        return protected.plus(
            Resources(
                accelerators
                * capacity.cpu_millis
                // ACCELERATOR_SHARE_DIVISOR,
                accelerators * capacity.memory_mb // ACCELERATOR_SHARE_DIVISOR,
            )
        )

    def _next_headroom_share(self) -> float:
        """Return the headroom share of the next worker to be added.

        One worker in four has the headroom of all four, so that a whole
        urgent task fits there. Spread over all workers, the headroom could
        be too small for a task on each of them.
        """
        self._added += 1
        if self._added % HEADROOM_WORKER_INTERVAL != 1:
            return 0.0
        return min(1.0, self._headroom_share * HEADROOM_WORKER_INTERVAL)

    def _protects_accelerators(
        self, worker: WorkerState, need: PlacementNeed
    ) -> bool:
        return bool(
            self.has_accelerator_work
            and worker.free_accelerators
            and not need.size.accelerators
        )

    def _index_of(self, worker: WorkerState) -> FreeCpuIndex:
        if worker.shape.capacity.accelerators:
            return self._accelerator_index
        return self._plain_index

    def _search_index(
        self, index: FreeCpuIndex, need: PlacementNeed, now_ms: int
    ) -> WorkerState | None:
        cpu_millis = need.size.cpu_millis
        if index.count <= MAX_EXAMINED_WORKERS:
            ordered = index.fullest_first(cpu_millis)
            return self._best(ordered, need, now_ms)
        examined_before = self.examined_count
        found = self._best(index.fullest_first(cpu_millis), need, now_ms)
        was_cut_short = (
            self.examined_count - examined_before >= MAX_EXAMINED_WORKERS
        )
        if found is not None or not was_cut_short:
            return found
        emptiest = islice(index.emptiest_first(), MAX_FALLBACK_WORKERS)
        return self._best(emptiest, need, now_ms)

    def _best(
        self, workers: Iterable[WorkerState], need: PlacementNeed, now_ms: int
    ) -> WorkerState | None:
        best = None
        best_score = 0
        candidates = 0
        for worker in islice(workers, MAX_EXAMINED_WORKERS):
            self.examined_count += 1
            if not self.fits(worker, need, now_ms):
                continue
            score = _score(worker, need)
            if best is None or score < best_score:
                best = worker
                best_score = score
            candidates += 1
            if candidates >= MAX_CANDIDATES:
                break
        return best


def _score(worker: WorkerState, need: PlacementNeed) -> int:
    """Return the cost of a placement; the lowest is best.

    The cost is the CPU and memory that stay free, plus the imbalance between
    the two. Memory is converted to thousandths of a core by the ratio of the
    worker's capacity. Penalties keep workers with accelerators free and
    spread the tasks of a service over racks.
    """
    capacity = worker.shape.capacity
    size = need.size
    left_cpu = worker.free_cpu_millis - size.cpu_millis
    left_memory = (
        (worker.free_memory_mb - size.memory_mb)
        * capacity.cpu_millis
        // max(1, capacity.memory_mb)
    )
    score = left_cpu + left_memory + abs(left_cpu - left_memory)
    if capacity.accelerators and not size.accelerators:
        score += ACCELERATOR_PENALTY_MILLIS
    if need.service_tasks_by_unit is not None:
        same_rack_tasks = need.service_tasks_by_unit.get(worker.shape.unit, 0)
        score += same_rack_tasks * SPREAD_PENALTY_MILLIS
    return score
