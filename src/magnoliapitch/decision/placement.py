"""Chooses a worker for a task."""

from __future__ import annotations

from itertools import islice
from typing import TYPE_CHECKING
from typing import NamedTuple

from magnoliapitch.decision.worker_state import FreeIndex
from magnoliapitch.decision.worker_state import WorkerState
from magnoliapitch.resource import NO_RESOURCES
from magnoliapitch.resource import UNLIMITED
from magnoliapitch.resource import Resources


if TYPE_CHECKING:
    from collections.abc import Iterable

    from magnoliapitch.decision.interface import WorkerShape


MAX_PROBES = 32
MAX_FALLBACK_PROBES = 8
MAX_CANDIDATES = 8
COMPANION_SHARE = 8
HEADROOM_STRIDE = 4
SPREAD_PENALTY = 1_000_000
ACCELERATOR_PENALTY = 100_000


class Need(NamedTuple):
    """What a task needs of a worker.

    :param until_ms: expected end if it starts now.
    :param is_bulk: whether it leaves what is held for a reserved start.
    :param owner: group on whose behalf capacity may be held.
    :param unit: rack whose workers alone may run it, or empty.
    :param uses_kept: whether it may use what is kept for urgent work.
    :param spread_by_unit: tasks of the same service in each rack.
    """

    size: Resources
    until_ms: int
    is_bulk: bool
    owner: object = None
    unit: str = ""
    uses_kept: bool = False
    spread_by_unit: dict[str, int] | None = None


class WorkerTable:
    """All workers and the search for one that fits.

    :ivar capacity: sum over the open workers.
    :ivar probes: workers examined so far, a measure of cost.
    :ivar keeps_accelerators: whether any work needs accelerators.
    :ivar version: increases with each worker that comes or goes.
    """

    def __init__(self, headroom: float) -> None:
        self.workers_by_id: dict[str, WorkerState] = {}
        self.capacity = NO_RESOURCES
        self.probes = 0
        self.keeps_accelerators = False
        self.version = 0
        self._headroom = headroom
        self._added = 0
        self._largest = NO_RESOURCES
        self._plain = FreeIndex()
        self._accelerated = FreeIndex()
        self._workers_by_unit: dict[str, list[WorkerState]] = {}

    def add(self, shape: WorkerShape) -> WorkerState:
        """Add a worker."""
        worker = WorkerState(shape, self._headroom_of_next())
        self.workers_by_id[shape.worker_id] = worker
        self._workers_by_unit.setdefault(shape.unit, []).append(worker)
        self._index_of(worker).insert(worker)
        self.capacity = self.capacity.plus(shape.capacity)
        self._largest = max(self._largest, shape.capacity)
        self.version += 1
        return worker

    def remove(self, worker_id: str) -> WorkerState | None:
        """Forget a worker and return its last state."""
        worker = self.workers_by_id.pop(worker_id, None)
        if worker is None:
            return None
        self._workers_by_unit[worker.shape.unit].remove(worker)
        if worker.level >= 0:
            self._index_of(worker).remove(worker)
        self.capacity = self.capacity.minus(worker.shape.capacity)
        self.version += 1
        return worker

    def set_open(self, worker: WorkerState, is_open: bool) -> None:
        """Allow or forbid ordinary tasks on a worker."""
        if worker.is_open == is_open:
            return
        worker.is_open = is_open
        if is_open:
            self._index_of(worker).insert(worker)
        else:
            self._index_of(worker).remove(worker)

    def take(self, worker: WorkerState, amount: Resources) -> None:
        """Reserve on a worker."""
        worker.take(amount)
        if worker.level >= 0:
            self._index_of(worker).update(worker)

    def give(self, worker: WorkerState, amount: Resources) -> None:
        """Free a reservation on a worker."""
        worker.give(amount)
        if worker.level >= 0:
            self._index_of(worker).update(worker)

    def search(self, need: Need, now_ms: int) -> WorkerState | None:
        """Return the best worker for a task, or none.

        Accelerated workers are tried last for tasks without accelerators.
        """
        if need.unit:
            members = self._workers_by_unit.get(need.unit, ())
            return self._best(members, need, now_ms)
        if not need.size.accelerators:
            found = self._search_index(self._plain, need, now_ms)
            if found is not None:
                return found
        return self._search_index(self._accelerated, need, now_ms)

    def best_of(
        self, workers: Iterable[WorkerState], need: Need, now_ms: int
    ) -> WorkerState | None:
        """Return the best of some workers, or none."""
        if need.unit:
            workers = [
                item for item in workers if item.shape.unit == need.unit
            ]
        return self._best(workers, need, now_ms)

    def fits(self, worker: WorkerState, need: Need, now_ms: int) -> bool:
        """Return whether a task may start on a worker now."""
        size = need.size
        if (
            size.cpu_millis > worker.free_cpu
            or size.memory_mb > worker.free_memory
            or size.accelerators > worker.free_accelerators
            or not worker.is_open
        ):
            return False
        if not need.is_bulk:
            return True
        return size.fits(self.available(worker, need, now_ms))

    def available(
        self, worker: WorkerState, need: Need, now_ms: int
    ) -> Resources:
        """Return what bulk work may use of a worker now."""
        cpu = worker.free_cpu
        memory = worker.free_memory
        if not need.uses_kept:
            kept = self._kept(worker, need, now_ms)
            cpu -= kept.cpu_millis
            memory -= kept.memory_mb
        hold = worker.hold
        if (
            hold is not None
            and hold.owner is not need.owner
            and need.until_ms > hold.at_ms
        ):
            cpu = min(cpu, hold.spare.cpu_millis)
            memory = min(memory, hold.spare.memory_mb)
        return Resources(cpu, memory, worker.free_accelerators)

    def limit(self, is_bulk: bool) -> Resources:
        """Return the most that a task may reserve on the largest worker."""
        if not self._largest.cpu_millis:
            return UNLIMITED
        if not is_bulk:
            return self._largest
        rest = 1 - min(1.0, self._headroom * HEADROOM_STRIDE)
        cpu_millis = int(self._largest.cpu_millis * rest)
        return self._largest._replace(cpu_millis=cpu_millis)

    def may_fit(self, size: Resources) -> bool:
        """Return quickly whether any worker may have the processors."""
        if size.accelerators:
            return size.cpu_millis <= self._accelerated.most_free_cpu()
        most = max(
            self._plain.most_free_cpu(), self._accelerated.most_free_cpu()
        )
        return size.cpu_millis <= most

    def some(self, limit: int, unit: str = "") -> list[WorkerState]:
        """Return at most ``limit`` open workers, the emptiest first."""
        if unit:
            members = self._workers_by_unit.get(unit, ())
            return [item for item in members if item.is_open][:limit]
        found = list(islice(self._plain.emptiest_first(), limit))
        rest = limit - len(found)
        found.extend(islice(self._accelerated.emptiest_first(), rest))
        return found

    def _kept(self, worker: WorkerState, need: Need, now_ms: int) -> Resources:
        """Return what a worker keeps for others than bulk work."""
        kept = Resources(max(0, worker.headroom_cpu - worker.urgent_cpu))
        if worker.kept_until_ms > now_ms:
            kept = kept.plus(worker.kept)
        if not self._keeps_companion(worker, need):
            return kept
        capacity = worker.shape.capacity
        share = worker.free_accelerators
        return kept.plus(
            Resources(
                share * capacity.cpu_millis // COMPANION_SHARE,
                share * capacity.memory_mb // COMPANION_SHARE,
            )
        )

    def _headroom_of_next(self) -> float:
        """Return the headroom of a new worker.

        Every fourth worker keeps it for four, so that it holds a whole
        urgent task rather than parts of one everywhere.
        """
        self._added += 1
        if self._added % HEADROOM_STRIDE != 1:
            return 0.0
        return min(1.0, self._headroom * HEADROOM_STRIDE)

    def _keeps_companion(self, worker: WorkerState, need: Need) -> bool:
        return bool(
            self.keeps_accelerators
            and worker.free_accelerators
            and not need.size.accelerators
        )

    def _index_of(self, worker: WorkerState) -> FreeIndex:
        if worker.shape.capacity.accelerators:
            return self._accelerated
        return self._plain

    def _search_index(
        self, index: FreeIndex, need: Need, now_ms: int
    ) -> WorkerState | None:
        cpu_millis = need.size.cpu_millis
        if index.count <= MAX_PROBES:
            ordered = index.fullest_first(cpu_millis)
            return self._best(ordered, need, now_ms)
        probes = self.probes
        found = self._best(index.fullest_first(cpu_millis), need, now_ms)
        was_cut_short = self.probes - probes >= MAX_PROBES
        if found is not None or not was_cut_short:
            return found
        emptiest = islice(index.emptiest_first(), MAX_FALLBACK_PROBES)
        return self._best(emptiest, need, now_ms)

    def _best(
        self, workers: Iterable[WorkerState], need: Need, now_ms: int
    ) -> WorkerState | None:
        best = None
        best_score = 0
        candidates = 0
        for worker in islice(workers, MAX_PROBES):
            self.probes += 1
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


def _score(worker: WorkerState, need: Need) -> int:
    """Return the waste of a placement; the least is best.

    The waste is what stays free, in thousandths of a core, and how uneven
    it is between processors and memory.
    """
    capacity = worker.shape.capacity
    size = need.size
    left_cpu = worker.free_cpu - size.cpu_millis
    left_memory = (
        (worker.free_memory - size.memory_mb)
        * capacity.cpu_millis
        // max(1, capacity.memory_mb)
    )
    score = left_cpu + left_memory + abs(left_cpu - left_memory)
    if capacity.accelerators and not size.accelerators:
        score += ACCELERATOR_PENALTY
    if need.spread_by_unit is not None:
        peers = need.spread_by_unit.get(worker.shape.unit, 0)
        score += peers * SPREAD_PENALTY
    return score
