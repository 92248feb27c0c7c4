"""Free capacity of the workers, indexed for constant-time search.

Workers are kept in buckets by free whole cores, so that a search starts at
the fullest worker that may fit and its cost does not grow with the number
of workers.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

from magnoliapitch.resource import NO_RESOURCES
from magnoliapitch.resource import Resources


if TYPE_CHECKING:
    from collections.abc import Iterator

    from magnoliapitch.decision.interface import TaskRequest
    from magnoliapitch.decision.interface import WorkerShape


MILLIS_PER_LEVEL = 1_000
TOP_LEVEL = 255


class RunningTask:
    """A task that holds a reservation.

    :ivar ends_ms: expected end, local clock.
    :ivar borrowed: whether it runs beyond the quota of its entry.
    :ivar granted: reservation with which it was started.
    :ivar learned: whether its use was taken into the estimates.
    :ivar evicted: whether it was told to end or to shrink.
    :ivar resists: whether it was throttled without effect.
    """

    __slots__ = (
        "borrowed",
        "ends_ms",
        "evicted",
        "granted",
        "learned",
        "peak",
        "request",
        "reserved",
        "resists",
        "started_ms",
        "worker",
    )

    def __init__(
        self,
        request: TaskRequest,
        worker: WorkerState,
        reserved: Resources,
        started_ms: int,
        ends_ms: int,
    ) -> None:
        self.request = request
        self.worker = worker
        self.reserved = reserved
        self.granted = reserved
        self.started_ms = started_ms
        self.ends_ms = ends_ms
        self.borrowed = False
        self.evicted = False
        self.resists = False
        self.peak = NO_RESOURCES
        self.learned = False


class SlotHold(NamedTuple):
    """Share of a worker that is held for a reserved start.

    :param owner: group that the start is reserved for.
    :param at_ms: expected start.
    :param spare: what may still run beyond the start.
    """

    owner: object
    at_ms: int
    spare: Resources


class WorkerState:
    """Books of one worker.

    :ivar free_cpu: thousandths of a core neither reserved nor withheld.
    :ivar urgent_cpu: thousandths of a core reserved by urgent work.
    :ivar kept: capacity taken back for urgent work and services.
    :ivar kept_until_ms: when that expires.
    :ivar is_open: whether ordinary tasks may be placed here.
    """

    __slots__ = (
        "free_accelerators",
        "free_cpu",
        "free_memory",
        "headroom_cpu",
        "hold",
        "is_open",
        "kept",
        "kept_until_ms",
        "level",
        "position",
        "shape",
        "tasks_by_id",
        "urgent_cpu",
        "withheld",
    )

    def __init__(self, shape: WorkerShape, headroom: float) -> None:
        self.shape = shape
        self.free_cpu = shape.capacity.cpu_millis
        self.free_memory = shape.capacity.memory_mb
        self.free_accelerators = shape.capacity.accelerators
        self.headroom_cpu = int(shape.capacity.cpu_millis * headroom)
        self.urgent_cpu = 0
        self.kept = NO_RESOURCES
        self.kept_until_ms = 0
        self.hold: SlotHold | None = None
        self.is_open = True
        self.withheld = NO_RESOURCES
        self.tasks_by_id: dict[str, RunningTask] = {}
        self.level = -1
        self.position = -1

    @property
    def free(self) -> Resources:
        """Capacity that is neither reserved nor withheld."""
        return Resources(
            self.free_cpu, self.free_memory, self.free_accelerators
        )

    def bulk_cpu(self) -> int:
        """Return the free processors beyond the headroom."""
        return self.free_cpu - max(0, self.headroom_cpu - self.urgent_cpu)

    def take(self, amount: Resources) -> None:
        """Subtract from the free capacity."""
        self.free_cpu -= amount.cpu_millis
        self.free_memory -= amount.memory_mb
        self.free_accelerators -= amount.accelerators

    def give(self, amount: Resources) -> None:
        """Add to the free capacity."""
        self.free_cpu += amount.cpu_millis
        self.free_memory += amount.memory_mb
        self.free_accelerators += amount.accelerators


class FreeIndex:
    """Workers in buckets by free whole cores."""

    def __init__(self) -> None:
        self._buckets: list[list[WorkerState]] = [
            [] for _ in range(TOP_LEVEL + 1)
        ]
        self._mask = 0
        self._cursor = 0
        self.count = 0

    def insert(self, worker: WorkerState) -> None:
        """Add a worker."""
        level = _level_of(worker.free_cpu)
        bucket = self._buckets[level]
        worker.level = level
        worker.position = len(bucket)
        bucket.append(worker)
        self._mask |= 1 << level
        self.count += 1

    def remove(self, worker: WorkerState) -> None:
        """Remove a worker, in constant time."""
        bucket = self._buckets[worker.level]
        last = bucket.pop()
        if last is not worker:
            bucket[worker.position] = last
            last.position = worker.position
        if not bucket:
            self._mask &= ~(1 << worker.level)
        worker.level = -1
        self.count -= 1

    def update(self, worker: WorkerState) -> None:
        """Move a worker whose free capacity changed."""
        if worker.level < 0 or worker.level == _level_of(worker.free_cpu):
            return
        self.remove(worker)
        self.insert(worker)

    def most_free_cpu(self) -> int:
        """Return a bound on the free processors of any worker."""
        level = self._mask.bit_length()
        return level * MILLIS_PER_LEVEL if level <= TOP_LEVEL else 1 << 62

    def fullest_first(self, cpu_millis: int) -> Iterator[WorkerState]:
        """Iterate from the fullest worker with that many processors."""
        level = _level_of(cpu_millis)
        mask = self._mask >> level << level
        while mask:
            lowest = mask & -mask
            yield from self._rotated(lowest.bit_length() - 1)
            mask ^= lowest

    def emptiest_first(self) -> Iterator[WorkerState]:
        """Iterate from the worker with the most free processors."""
        mask = self._mask
        while mask:
            level = mask.bit_length() - 1
            yield from self._rotated(level)
            mask ^= 1 << level

    def _rotated(self, level: int) -> Iterator[WorkerState]:
        bucket = self._buckets[level]
        self._cursor += 1
        start = self._cursor % len(bucket)
        for index in range(start, start + len(bucket)):
            yield bucket[index % len(bucket)]


def _level_of(cpu_millis: int) -> int:
    return min(max(cpu_millis, 0) // MILLIS_PER_LEVEL, TOP_LEVEL)
