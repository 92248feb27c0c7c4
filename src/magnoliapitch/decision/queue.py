"""Waiting tasks, in heaps with lazy deletion.

Tasks that are submitted together form a group; heaps hold groups. A group
that has no tasks left is dropped when it comes to the top, so that
cancelling costs the same however long the queue is.
"""

from __future__ import annotations

import heapq
import math

from typing import TYPE_CHECKING

from magnoliapitch.catalogue.entry import WorkClass


if TYPE_CHECKING:
    from collections.abc import Iterator

    from magnoliapitch.decision.interface import TaskRequest
    from magnoliapitch.resource import Resources


SIZE_WEIGHT_MS = 300_000
LANE_STEPS = 2
NEVER = (-1, -1)


class JobState:
    """Tasks of one job that wait or run.

    :ivar first_ms: when its first task was submitted.
    """

    __slots__ = ("first_ms", "groups", "job_id", "running", "waiting")

    def __init__(self, job_id: str, first_ms: int) -> None:
        self.job_id = job_id
        self.first_ms = first_ms
        self.groups: list[TaskGroup] = []
        self.running: dict[str, None] = {}
        self.waiting = 0


class TaskGroup:
    """Tasks of one job that are equal to a policy.

    :ivar floor_mb: memory to reserve at least, after an overrun.
    :ivar size: what to reserve for each task.
    :ivar run_ms: expected run time of each task.
    :ivar version: version of the estimate that these come from.
    :ivar reason: why it was last passed over.
    :ivar is_late: whether its deadline can no longer be met.
    :ivar visited: stamp at which it was last passed over.
    :ivar missed_pass: the pass in which no worker was found for it.
    """

    __slots__ = (
        "floor_mb",
        "is_late",
        "job",
        "key",
        "missed_pass",
        "next_hold_ms",
        "next_reclaim_ms",
        "not_before_ms",
        "reason",
        "run_ms",
        "sample",
        "size",
        "tasks_by_id",
        "version",
        "visited",
    )

    def __init__(
        self, job: JobState, tasks: tuple[TaskRequest, ...], floor_mb: int
    ) -> None:
        self.job = job
        self.sample = tasks[0]
        self.tasks_by_id = {task.task_id: task for task in tasks}
        self.floor_mb = floor_mb
        self.size: Resources = tasks[0].resources
        self.run_ms = tasks[0].run_ms
        self.version = -1
        self.key = 0.0
        self.not_before_ms = 0
        self.next_hold_ms = 0
        self.next_reclaim_ms = 0
        self.missed_pass = -1
        self.is_late = False
        self.visited = NEVER
        self.reason = ""

    @property
    def first_ms(self) -> int:
        """When the job was submitted."""
        return self.job.first_ms

    @property
    def is_gang(self) -> bool:
        """Whether its tasks start together."""
        return self.sample.gang_size > 1

    def latest_start_ms(self) -> int:
        """Return when it must start to meet its deadline."""
        return self.sample.deadline_ms - self.run_ms


class GroupHeap:
    """Groups in order of a key; empty groups vanish at the top."""

    def __init__(self) -> None:
        self._items: list[tuple[float, int, TaskGroup]] = []
        self._arrivals = 0

    def __len__(self) -> int:
        return len(self._items)

    def push(self, key: float, group: TaskGroup) -> None:
        """Add a group."""
        self._arrivals += 1
        heapq.heappush(self._items, (key, self._arrivals, group))

    def peek(self) -> TaskGroup | None:
        """Return the first group that has tasks."""
        items = self._items
        while items and not items[0][2].tasks_by_id:
            heapq.heappop(items)
        return items[0][2] if items else None

    def pop(self) -> TaskGroup | None:
        """Remove and return the first group that has tasks."""
        if self.peek() is None:
            return None
        return heapq.heappop(self._items)[2]

    def head(self, limit: int) -> list[TaskGroup]:
        """Return some groups near the top, without removing them."""
        return [item[2] for item in self._items[:limit]]


class OwnerQueue:
    """Bulk work of one owner, in lanes of about equal size and run time.

    :ivar exhausted: stamp at which nothing of it could be started. A
        stamp is a pass and the count of times that capacity was freed.
    """

    def __init__(self) -> None:
        self.exhausted = NEVER
        self._lanes: dict[tuple[int, ...], GroupHeap] = {}

    def push(self, group: TaskGroup) -> None:
        """Add a group to the lane of its size."""
        lane = _lane_of(group)
        heap = self._lanes.get(lane)
        if heap is None:
            heap = GroupHeap()
            self._lanes[lane] = heap
        self.exhausted = NEVER
        heap.push(group.key, group)

    def heads(
        self, stamp: tuple[int, int], room: Resources
    ) -> list[tuple[float, int, GroupHeap]]:
        """Return the lanes that may start work, as a heap by first key.

        :param stamp: the present one; what it passed over is left out.
        :param room: most that is free on any worker that changed since.
        """
        found: list[tuple[float, int, GroupHeap]] = []
        for lane, heap in list(self._lanes.items()):
            first = heap.peek()
            if first is None:
                del self._lanes[lane]
                continue
            if first.visited == stamp:
                continue
            if first.missed_pass == stamp[0] and not first.size.fits(room):
                continue
            found.append((first.key, len(found), heap))
        heapq.heapify(found)
        return found

    def is_empty(self) -> bool:
        """Return whether no lane has work."""
        return not any(heap.peek() for heap in self._lanes.values())

    def groups(self, limit: int) -> Iterator[TaskGroup]:
        """Iterate over some groups of each lane."""
        for heap in self._lanes.values():
            yield from heap.head(limit)


class TaskQueue:
    """All waiting tasks.

    :param short_first: 1 orders short bulk work first, 0 large work.
    :ivar waiting: number of waiting tasks.
    """

    def __init__(self, short_first: float) -> None:
        self.waiting = 0
        self.waiting_by_class = dict.fromkeys(WorkClass, 0)
        self.waiting_by_entry: dict[str, int] = {}
        self.groups_by_task: dict[str, TaskGroup] = {}
        self.jobs_by_id: dict[str, JobState] = {}
        self.oldest_by_class = {item: GroupHeap() for item in WorkClass}
        self.deadlines = GroupHeap()
        self.delayed = GroupHeap()
        self.queues_by_owner: dict[str, OwnerQueue] = {}
        self._size_weight_ms = (2 * short_first - 1) * SIZE_WEIGHT_MS

    def job(self, job_id: str, now_ms: int) -> JobState:
        """Return the state of a job, made when first asked for."""
        job = self.jobs_by_id.get(job_id)
        if job is None:
            job = JobState(job_id, now_ms)
            self.jobs_by_id[job_id] = job
        return job

    def count(self, group: TaskGroup, tasks: tuple[TaskRequest, ...]) -> None:
        """Count tasks of a group as waiting."""
        for task in tasks:
            self.groups_by_task[task.task_id] = group
        group.job.waiting += len(tasks)
        self._add(group, len(tasks))

    def delay(self, group: TaskGroup, until_ms: int) -> None:
        """Hold a group back until a time."""
        group.not_before_ms = until_ms
        group.job.groups.append(group)
        self.delayed.push(until_ms, group)

    def due(self, now_ms: int, limit: int) -> list[TaskGroup]:
        """Take delayed groups whose time has come."""
        found: list[TaskGroup] = []
        while len(found) < limit:
            group = self.delayed.peek()
            if group is None or group.not_before_ms > now_ms:
                break
            self.delayed.pop()
            group.job.groups.remove(group)
            found.append(group)
        return found

    def push(self, group: TaskGroup) -> None:
        """Add a group to the heaps of its class."""
        group.job.groups.append(group)
        group.not_before_ms = 0
        task = group.sample
        self.oldest_by_class[task.work_class].push(group.first_ms, group)
        if task.work_class in (WorkClass.URGENT, WorkClass.SERVICE):
            return
        if task.deadline_ms:
            self.deadlines.push(group.latest_start_ms(), group)
        volume = group.size.cpu_millis * group.run_ms / 1_000_000
        weight = self._size_weight_ms * math.log2(1 + volume)
        group.key = group.first_ms + weight
        queue = self.queues_by_owner.get(task.owner)
        if queue is None:
            queue = OwnerQueue()
            self.queues_by_owner[task.owner] = queue
        queue.push(group)

    def take(self, group: TaskGroup) -> TaskRequest:
        """Remove the next task of a group, to start it."""
        task_id = next(iter(group.tasks_by_id))
        task = group.tasks_by_id.pop(task_id)
        del self.groups_by_task[task_id]
        group.job.waiting -= 1
        self._add(group, -1)
        self._tidy(group)
        return task

    def drop(self, task_id: str) -> None:
        """Forget one waiting task."""
        group = self.groups_by_task.pop(task_id, None)
        if group is None:
            return
        del group.tasks_by_id[task_id]
        group.job.waiting -= 1
        self._add(group, -1)
        self._tidy(group)

    def cancel(self, job_id: str) -> tuple[str, ...]:
        """Drop a job's waiting tasks; return its running task ids."""
        job = self.jobs_by_id.get(job_id)
        if job is None:
            return ()
        for group in job.groups:
            for task_id in group.tasks_by_id:
                del self.groups_by_task[task_id]
            self._add(group, -len(group.tasks_by_id))
            group.tasks_by_id = {}
        job.groups = []
        job.waiting = 0
        if not job.running:
            del self.jobs_by_id[job_id]
        return tuple(job.running)

    def forget_running(self, job_id: str, task_id: str) -> None:
        """Note that a task of a job no longer runs."""
        job = self.jobs_by_id.get(job_id)
        if job is None:
            return
        job.running.pop(task_id, None)
        if not job.running and not job.waiting:
            del self.jobs_by_id[job_id]

    def _tidy(self, group: TaskGroup) -> None:
        if not group.tasks_by_id:
            group.job.groups.remove(group)

    def _add(self, group: TaskGroup, count: int) -> None:
        task = group.sample
        self.waiting += count
        self.waiting_by_class[task.work_class] += count
        entry_count = self.waiting_by_entry.get(task.entry, 0) + count
        if entry_count:
            self.waiting_by_entry[task.entry] = entry_count
        else:
            self.waiting_by_entry.pop(task.entry, None)


def _lane_of(group: TaskGroup) -> tuple[int, ...]:
    size = group.size
    cpu = int(math.log2(max(1, size.cpu_millis)) * LANE_STEPS)
    memory = int(math.log2(max(1, size.memory_mb)))
    run = int(math.log2(max(1, group.run_ms)) / LANE_STEPS)
    return cpu, memory, run, size.accelerators, int(group.is_gang)
