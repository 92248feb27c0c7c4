"""State of running tasks and workers, and an index of workers by free CPU.

The index groups workers into buckets by whole free cores, so that a search
can start at the fullest worker that may fit, and its cost does not grow with
the number of workers.
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


CPU_MILLIS_PER_BUCKET = 1_000
LAST_BUCKET_INDEX = 255


class RunningTask:
    """A running task and the resources that are reserved for it.

    :ivar reserved: resources that are reserved now.
    :ivar initially_reserved: resources that were reserved at the start.
    :ivar expected_end_ms: expected end, local clock.
    :ivar borrowed: whether it exceeded the quota of its entry at the start.
    :ivar peak_usage: largest reported usage of each resource.
    :ivar is_usage_recorded: whether the estimates include its usage.
    :ivar is_being_evicted: whether an eviction of any kind is under way.
    :ivar ignores_throttle: whether a throttle had no effect on it.
    """

    __slots__ = (
        "borrowed",
        "expected_end_ms",
        "ignores_throttle",
        "initially_reserved",
        "is_being_evicted",
        "is_usage_recorded",
        "peak_usage",
        "request",
        "reserved",
        "started_ms",
        "worker",
    )

    def __init__(
        self,
        request: TaskRequest,
        worker: WorkerState,
        reserved: Resources,
        started_ms: int,
        expected_end_ms: int,
    ) -> None:
        self.request = request
        self.worker = worker
        self.reserved = reserved
        self.initially_reserved = reserved
        self.started_ms = started_ms
        self.expected_end_ms = expected_end_ms
        self.borrowed = False
        self.is_being_evicted = False
        self.ignores_throttle = False
        self.peak_usage = NO_RESOURCES
        self.is_usage_recorded = False


class WorkerReservation(NamedTuple):
    """Capacity of one worker that is reserved for a future start.

    :param for_group: group of tasks that the start is reserved for.
    :param start_ms: expected start.
    :param spare: capacity for other bulk tasks that end after that start.
    """

    for_group: object
    start_ms: int
    spare: Resources


class WorkerState:
    """Capacity and running tasks of one worker.

    :param headroom: share of its CPU that bulk work leaves free.
    :ivar free_cpu_millis: CPU that is neither reserved nor withheld.
    :ivar headroom_cpu_millis: CPU that bulk work leaves to urgent work.
    :ivar urgent_cpu_millis: CPU that is reserved for urgent tasks.
    :ivar earmarked: capacity taken back from bulk work for urgent tasks,
        services or work that is close to starvation.
    :ivar earmarked_until_ms: when bulk work may use that again.
    :ivar reservation: capacity reserved for a future start, if any.
    :ivar accepts_tasks: whether tasks may be placed here; a quarantined
        worker gets only probes.
    :ivar withheld: capacity that must not be used.
    :ivar bucket_index: bucket of the index that lists it, -1 if none.
    :ivar bucket_position: position in that bucket.
    """

    __slots__ = (
        "accepts_tasks",
        "bucket_index",
        "bucket_position",
        "earmarked",
        "earmarked_until_ms",
        "free_accelerators",
        "free_cpu_millis",
        "free_memory_mb",
        "headroom_cpu_millis",
        "reservation",
        "shape",
        "tasks_by_id",
        "urgent_cpu_millis",
        "withheld",
    )

    def __init__(self, shape: WorkerShape, headroom: float) -> None:
        self.shape = shape
        self.free_cpu_millis = shape.capacity.cpu_millis
        self.free_memory_mb = shape.capacity.memory_mb
        self.free_accelerators = shape.capacity.accelerators
        self.headroom_cpu_millis = int(shape.capacity.cpu_millis * headroom)
        self.urgent_cpu_millis = 0
        self.earmarked = NO_RESOURCES
        self.earmarked_until_ms = 0
        self.reservation: WorkerReservation | None = None
        self.accepts_tasks = True
        self.withheld = NO_RESOURCES
        self.tasks_by_id: dict[str, RunningTask] = {}
        self.bucket_index = -1
        self.bucket_position = -1

    @property
    def free(self) -> Resources:
        """Capacity that is neither reserved nor withheld."""
        return Resources(
            self.free_cpu_millis, self.free_memory_mb, self.free_accelerators
        )

    def free_bulk_cpu_millis(self) -> int:
        """Return the free CPU that bulk work may use, without the headroom."""
        return self.free_cpu_millis - max(
            0, self.headroom_cpu_millis - self.urgent_cpu_millis
        )

    def allocate(self, amount: Resources) -> None:
        """Subtract resources from the free capacity."""
        self.free_cpu_millis -= amount.cpu_millis
        self.free_memory_mb -= amount.memory_mb
        self.free_accelerators -= amount.accelerators

    def release(self, amount: Resources) -> None:
        """Add resources to the free capacity."""
        self.free_cpu_millis += amount.cpu_millis
        self.free_memory_mb += amount.memory_mb
        self.free_accelerators += amount.accelerators


class FreeCpuIndex:
    """Workers in buckets by whole free cores.

    :ivar count: number of workers.
    """

    def __init__(self) -> None:
        self._buckets: list[list[WorkerState]] = [
            [] for _ in range(LAST_BUCKET_INDEX + 1)
        ]
        self._nonempty_mask = 0
        self._rotation_count = 0
        self.count = 0

    def insert(self, worker: WorkerState) -> None:
        """Add a worker."""
        bucket_index = _bucket_index_of(worker.free_cpu_millis)
        bucket = self._buckets[bucket_index]
        worker.bucket_index = bucket_index
        worker.bucket_position = len(bucket)
        bucket.append(worker)
        self._nonempty_mask |= 1 << bucket_index
        self.count += 1

    def remove(self, worker: WorkerState) -> None:
        """Remove a worker, in constant time."""
        bucket = self._buckets[worker.bucket_index]
        last = bucket.pop()
        if last is not worker:
            bucket[worker.bucket_position] = last
            last.bucket_position = worker.bucket_position
        if not bucket:
            self._nonempty_mask &= ~(1 << worker.bucket_index)
        worker.bucket_index = -1
        self.count -= 1

    def update(self, worker: WorkerState) -> None:
        """Move a worker to the bucket for its free CPU."""
        if worker.bucket_index < 0 or worker.bucket_index == _bucket_index_of(
            worker.free_cpu_millis
        ):
            return
        self.remove(worker)
        self.insert(worker)

    def max_free_cpu_millis(self) -> int:
        """Return an upper bound of the free CPU of any worker."""
        bucket_index = self._nonempty_mask.bit_length()
        return (
            bucket_index * CPU_MILLIS_PER_BUCKET
            if bucket_index <= LAST_BUCKET_INDEX
            else 1 << 62
        )

    def fullest_first(self, cpu_millis: int) -> Iterator[WorkerState]:
        """Iterate over workers from the bucket of ``cpu_millis`` upwards.

        Workers of the first bucket may have less free CPU than that.
        """
        bucket_index = _bucket_index_of(cpu_millis)
        mask = self._nonempty_mask >> bucket_index << bucket_index
        while mask:
            lowest = mask & -mask
            yield from self._rotated(lowest.bit_length() - 1)
            mask ^= lowest

    def emptiest_first(self) -> Iterator[WorkerState]:
        """Iterate over workers from the bucket with the most free CPU down."""
        mask = self._nonempty_mask
        while mask:
            bucket_index = mask.bit_length() - 1
            yield from self._rotated(bucket_index)
            mask ^= 1 << bucket_index

    def _rotated(self, bucket_index: int) -> Iterator[WorkerState]:
        bucket = self._buckets[bucket_index]
        self._rotation_count += 1
        start = self._rotation_count % len(bucket)
        for index in range(start, start + len(bucket)):
            yield bucket[index % len(bucket)]


def _bucket_index_of(cpu_millis: int) -> int:
    return min(max(cpu_millis, 0) // CPU_MILLIS_PER_BUCKET, LAST_BUCKET_INDEX)
