"""What could be reached by knowing the whole trace in advance.

The packing uses true sizes and run times, places nothing on a worker that
will fail or be lost before the task ends, and lets the members of a gang
start apart, so it is more lenient than any policy can be.
"""

from __future__ import annotations

import heapq

from typing import TYPE_CHECKING
from typing import NamedTuple

import numpy as np

from magnoliapitch.bench.decisions.trace import TracedJob
from magnoliapitch.bench.decisions.trace import TracedTask
from magnoliapitch.catalogue.entry import WorkClass


if TYPE_CHECKING:
    from collections.abc import Callable

    from numpy.typing import NDArray

    from magnoliapitch.bench.decisions.trace import Trace


STEP_MS = 1_000
HORIZON_FACTOR = 4


class OfflineBound(NamedTuple):
    """Reference values of one trace.

    :param packed_bulk: bulk work of the offline packing within the peak.
    :param volume_bulk: processors left to bulk work within the peak, or
        the bulk work that has arrived by its end if that is less.
    :param feasible: jobs whose deadline an offline schedule meets.
    """

    packed_bulk: float
    volume_bulk: float
    feasible: frozenset[str]


class _Item(NamedTuple):
    job: TracedJob
    task: TracedTask
    key: tuple[float, ...]


class _Run(NamedTuple):
    item: _Item
    from_ms: int
    until_ms: int


def offline_bound(trace: Trace) -> OfflineBound:
    """Pack a trace that is known in advance."""
    packing = _pack(trace, _largest_first)
    begin_ms, end_ms = trace.peak_ms()
    work_by_class = dict.fromkeys(WorkClass, 0.0)
    for run in packing:
        overlap_ms = min(run.until_ms, end_ms) - max(run.from_ms, begin_ms)
        work = max(0, overlap_ms) * run.item.task.usage.cpu_millis
        work_by_class[run.item.job.entry.work_class] += work
    bulk = work_by_class[WorkClass.BATCH] + work_by_class[WorkClass.GANG]
    others = work_by_class[WorkClass.URGENT] + work_by_class[WorkClass.SERVICE]
    capacity = trace.fleet.capacity.cpu_millis * (end_ms - begin_ms)
    arrived = sum(
        task.usage.cpu_millis * task.run_ms
        for job in trace.runnable()
        if job.is_bulk and job.arrives_ms < end_ms
        for task in job.tasks
    )
    return OfflineBound(bulk, min(capacity - others, arrived), _met(trace))


def _met(trace: Trace) -> frozenset[str]:
    ended_by_job: dict[str, int] = {}
    tasks_by_job: dict[str, int] = {}
    for run in _pack(trace, _earliest_deadline):
        job = run.item.job
        ended = max(ended_by_job.get(job.job_id, 0), run.until_ms)
        ended_by_job[job.job_id] = ended
        tasks_by_job[job.job_id] = tasks_by_job.get(job.job_id, 0) + 1
    return frozenset(
        job.job_id
        for job in trace.jobs
        if job.deadline_ms
        and tasks_by_job.get(job.job_id) == len(job.tasks)
        and ended_by_job[job.job_id] <= job.deadline_ms
    )


def _largest_first(job: TracedJob, task: TracedTask) -> tuple[float, ...]:
    rank = 1.0 if job.is_bulk else 0.0
    return rank, -task.usage.cpu_millis, -task.run_ms


def _earliest_deadline(job: TracedJob, task: TracedTask) -> tuple[float, ...]:
    if not job.is_bulk:
        return 0.0, float(job.arrives_ms)
    if not job.deadline_ms:
        return 2.0, float(job.arrives_ms)
    return 1.0, float(job.deadline_ms - task.run_ms)


def _items(
    trace: Trace,
    key_of: Callable[[TracedJob, TracedTask], tuple[float, ...]],
) -> list[_Item]:
    cancelled = {item.job_id for item in trace.cancellations}
    items = [
        _Item(job, task, key_of(job, task))
        for job in trace.runnable()
        if job.job_id not in cancelled
        for task in job.tasks
    ]
    items.sort(key=lambda item: item.key)
    return items


class _Packer:
    """List schedule over tasks that are sorted by priority."""

    def __init__(self, trace: Trace, items: list[_Item]) -> None:
        self.runs: list[_Run] = []
        self._trace = trace
        self._items = items
        self._cpu = np.array([item.task.usage.cpu_millis for item in items])
        self._memory = np.array([item.task.usage.memory_mb for item in items])
        self._run_ms = np.array([item.task.run_ms for item in items])
        self._waiting = np.zeros(len(items), dtype=bool)
        self._left = len(items)
        workers = trace.fleet.workers
        self._free_cpu = [item.capacity.cpu_millis for item in workers]
        self._free_memory = [item.capacity.memory_mb for item in workers]
        self._ends: list[tuple[int, int, int]] = []

    def pack(self) -> list[_Run]:
        """Return the schedule."""
        releases = sorted(
            (item.job.arrives_ms, index)
            for index, item in enumerate(self._items)
        )
        next_release = 0
        now_ms = 0
        while self._left and now_ms < self._horizon_ms():
            while (
                next_release < len(releases)
                and releases[next_release][0] <= now_ms
            ):
                self._waiting[releases[next_release][1]] = True
                next_release += 1
            while self._ends and self._ends[0][0] <= now_ms:
                _, worker, index = heapq.heappop(self._ends)
                self._free(worker, index)
            self._fill(now_ms)
            now_ms += STEP_MS
        return self.runs

    def _horizon_ms(self) -> int:
        return self._trace.arrivals_ms * HORIZON_FACTOR

    def _free(self, worker: int, index: int) -> None:
        self._free_cpu[worker] += int(self._cpu[index])
        self._free_memory[worker] += int(self._memory[index])

    def _fill(self, now_ms: int) -> None:
        fullest = sorted(
            range(len(self._free_cpu)), key=self._free_cpu.__getitem__
        )
        for worker in fullest:
            until_ms = self._usable_until(worker, now_ms)
            while until_ms > now_ms:
                index = self._first(worker, until_ms - now_ms)
                if index < 0:
                    break
                self._start(index, worker, now_ms)

    def _first(self, worker: int, within_ms: int) -> int:
        fits: NDArray[np.bool_] = (
            self._waiting
            & (self._cpu <= self._free_cpu[worker])
            & (self._memory <= self._free_memory[worker])
            & (self._run_ms <= within_ms)
        )
        index = int(fits.argmax()) if len(fits) else 0
        return index if len(fits) and fits[index] else -1

    def _start(self, index: int, worker: int, now_ms: int) -> None:
        self._waiting[index] = False
        self._left -= 1
        self._free_cpu[worker] -= int(self._cpu[index])
        self._free_memory[worker] -= int(self._memory[index])
        until_ms = now_ms + int(self._run_ms[index])
        heapq.heappush(self._ends, (until_ms, worker, index))
        self.runs.append(_Run(self._items[index], now_ms, until_ms))

    def _usable_until(self, worker: int, now_ms: int) -> int:
        """Return when the worker is next lost; it is unusable if past."""
        trace = self._trace
        worker_id = trace.fleet.workers[worker].worker_id
        if worker_id in trace.failing:
            return trace.failing_from_ms
        for outage in trace.outages:
            if worker_id in outage.worker_ids and now_ms < outage.until_ms:
                return outage.from_ms
        return 1 << 62


def _pack(
    trace: Trace,
    key_of: Callable[[TracedJob, TracedTask], tuple[float, ...]],
) -> list[_Run]:
    return _Packer(trace, _items(trace, key_of)).pack()
