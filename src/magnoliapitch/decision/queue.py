"""Queue of waiting tasks, in heaps with lazy deletion.

Tasks of a job that are submitted together form a group, and the heaps
contain groups. A group without tasks is removed once it reaches the top of a
heap, so that the cost of a cancellation does not grow with the queue.
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


ORDER_MS_PER_VOLUME_DOUBLING = 300_000
BUCKET_SCALE = 2
NO_CAPACITY_VERSION = (-1, -1)


class QueuedJob:
    """The waiting and running tasks of one job.

    :ivar first_submitted_ms: when its first task was submitted.
    :ivar groups: its groups that have waiting tasks.
    :ivar running: ids of its running tasks, in order of their start.
    :ivar waiting: number of its waiting tasks.
    """

    __slots__ = (
        "first_submitted_ms",
        "groups",
        "job_id",
        "running",
        "waiting",
    )

    def __init__(self, job_id: str, first_submitted_ms: int) -> None:
        self.job_id = job_id
        self.first_submitted_ms = first_submitted_ms
        self.groups: list[TaskGroup] = []
        self.running: dict[str, None] = {}
        self.waiting = 0


class TaskGroup:
    """Waiting tasks of one job that the policy treats alike.

    :ivar template: task request with the properties that all tasks share.
    :ivar min_memory_mb: least memory to reserve for each task, after an
        earlier attempt failed or used more than was reserved.
    :ivar size: resources to reserve for each task.
    :ivar run_ms: expected run time of each task.
    :ivar version: version of the estimates from which ``size`` and
        ``run_ms`` were computed.
    :ivar order_key: position among the bulk work of its owner, lowest first.
    :ivar not_before_ms: until when it is delayed; 0 if it is not.
    :ivar next_reservation_ms: when a start may be reserved for it again.
    :ivar next_reclaim_ms: when tasks may be evicted for it again.
    :ivar wait_reason: why it was not started when it was last examined.
    :ivar is_late: whether its deadline can no longer be met.
    :ivar skipped_at: capacity version at which it was last not started.
    :ivar no_worker_pass: pass in which the last search for a worker failed.
    """

    __slots__ = (
        "is_late",
        "job",
        "min_memory_mb",
        "next_reclaim_ms",
        "next_reservation_ms",
        "no_worker_pass",
        "not_before_ms",
        "order_key",
        "run_ms",
        "size",
        "skipped_at",
        "tasks_by_id",
        "template",
        "version",
        "wait_reason",
    )

    def __init__(
        self,
        job: QueuedJob,
        tasks: tuple[TaskRequest, ...],
        min_memory_mb: int,
    ) -> None:
        self.job = job
        self.template = tasks[0]
        self.tasks_by_id = {task.attempt_id: task for task in tasks}
        self.min_memory_mb = min_memory_mb
        self.size: Resources = tasks[0].resources
        self.run_ms = tasks[0].run_ms
        self.version = -1
        self.order_key = 0.0
        self.not_before_ms = 0
        self.next_reservation_ms = 0
        self.next_reclaim_ms = 0
        self.no_worker_pass = -1
        self.is_late = False
        self.skipped_at = NO_CAPACITY_VERSION
        self.wait_reason = ""

    @property
    def first_submitted_ms(self) -> int:
        """When the first task of the job was submitted."""
        return self.job.first_submitted_ms

    @property
    def is_gang(self) -> bool:
        """Whether all its tasks must start together."""
        return self.template.gang_size > 1

    def latest_start_ms(self) -> int:
        """Return the latest start that still meets the deadline."""
        return self.template.deadline_ms - self.run_ms


class GroupHeap:
    """Min-heap of groups by a key, which skips groups without tasks."""

    def __init__(self) -> None:
        self._items: list[tuple[float, int, TaskGroup]] = []
        self._arrivals = 0

    def __len__(self) -> int:
        return len(self._items)

    def push(self, key: float, group: TaskGroup) -> None:
        """Add a group; groups with equal keys keep the order of arrival."""
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

    def groups_near_top(self, limit: int) -> list[TaskGroup]:
        """Return at most ``limit`` groups from the top, not fully ordered."""
        return [item[2] for item in self._items[:limit]]


class OwnerQueue:
    """Waiting bulk work of one owner, in buckets of similar size and run time.

    A capacity version is a pair of the pass number and the counter of freed
    capacity. While it stays the same, what could not start still cannot.

    :ivar exhausted_at: capacity version at which nothing more could start.
    """

    def __init__(self) -> None:
        self.exhausted_at = NO_CAPACITY_VERSION
        self._buckets_by_key: dict[tuple[int, ...], GroupHeap] = {}

    def push(self, group: TaskGroup) -> None:
        """Add a group to the bucket for its size and run time."""
        bucket_key = _bucket_key_of(group)
        heap = self._buckets_by_key.get(bucket_key)
        if heap is None:
            heap = GroupHeap()
            self._buckets_by_key[bucket_key] = heap
        self.exhausted_at = NO_CAPACITY_VERSION
        heap.push(group.order_key, group)

    def startable_buckets(
        self, capacity_version: tuple[int, int], max_capacity: Resources
    ) -> list[tuple[float, int, GroupHeap]]:
        """Return the buckets whose first group may start.

        :param capacity_version: present version; a bucket whose first group
            was already skipped at this version is left out.
        :param max_capacity: most that is free on any freed worker; bounds
            groups for which a search in this pass has failed.
        :returns: a heap of key of the first group, tie breaker and bucket.
        """
        found: list[tuple[float, int, GroupHeap]] = []
        for bucket_key, heap in list(self._buckets_by_key.items()):
            first = heap.peek()
            if first is None:
                del self._buckets_by_key[bucket_key]
                continue
            if first.skipped_at == capacity_version:
                continue
            if first.no_worker_pass == capacity_version[
                0
            ] and not first.size.fits(max_capacity):
                continue
            found.append((first.order_key, len(found), heap))
        heapq.heapify(found)
        return found

    def is_empty(self) -> bool:
        """Return whether no bucket has waiting tasks."""
        return not any(heap.peek() for heap in self._buckets_by_key.values())

    def groups(self, limit: int) -> Iterator[TaskGroup]:
        """Iterate over at most ``limit`` groups of each bucket."""
        for heap in self._buckets_by_key.values():
            yield from heap.groups_near_top(limit)


class TaskQueue:
    """All waiting tasks.

    :param short_first: order of bulk work: 1 prefers small and short work,
        0 prefers large work, 0.5 keeps the order of submission.
    :ivar waiting: number of waiting tasks.
    :ivar heap_by_class: groups of each class in order of submission.
    :ivar deadline_heap: bulk groups with a deadline, by latest start.
    :ivar delayed_heap: groups that wait for a time before they are queued.
    """

    def __init__(self, short_first: float) -> None:
        self.waiting = 0
        self.waiting_by_class = dict.fromkeys(WorkClass, 0)
        self.waiting_by_entry: dict[str, int] = {}
        self.groups_by_attempt: dict[str, TaskGroup] = {}
        self.jobs_by_id: dict[str, QueuedJob] = {}
        self.heap_by_class = {item: GroupHeap() for item in WorkClass}
        self.deadline_heap = GroupHeap()
        self.delayed_heap = GroupHeap()
        self.queues_by_owner: dict[str, OwnerQueue] = {}
        self._order_ms_per_volume_doubling = (
            2 * short_first - 1
        ) * ORDER_MS_PER_VOLUME_DOUBLING

    def get_or_create_job(self, job_id: str, now_ms: int) -> QueuedJob:
        """Return the record of a job; create it if the job is unknown."""
        job = self.jobs_by_id.get(job_id)
        if job is None:
            job = QueuedJob(job_id, now_ms)
            self.jobs_by_id[job_id] = job
        return job

    def add_waiting(
        self, group: TaskGroup, tasks: tuple[TaskRequest, ...]
    ) -> None:
        """Record that tasks of a group are waiting."""
        for task in tasks:
            self.groups_by_attempt[task.attempt_id] = group
        group.job.waiting += len(tasks)
        self._adjust_counts(group, len(tasks))

    def delay(self, group: TaskGroup, until_ms: int) -> None:
        """Delay a group until a time."""
        group.not_before_ms = until_ms
        group.job.groups.append(group)
        self.delayed_heap.push(until_ms, group)

    def pop_due(self, now_ms: int, limit: int) -> list[TaskGroup]:
        """Remove and return at most ``limit`` groups whose delay is over."""
        found: list[TaskGroup] = []
        while len(found) < limit:
            group = self.delayed_heap.peek()
            if group is None or group.not_before_ms > now_ms:
                break
            self.delayed_heap.pop()
            group.job.groups.remove(group)
            found.append(group)
        return found

    def push(self, group: TaskGroup) -> None:
        """Add a group to the heaps for its class, deadline and owner."""
        group.job.groups.append(group)
        group.not_before_ms = 0
        task = group.template
        self.heap_by_class[task.work_class].push(
            group.first_submitted_ms, group
        )
        if task.work_class in (WorkClass.URGENT, WorkClass.SERVICE):
            return
        if task.deadline_ms:
            self.deadline_heap.push(group.latest_start_ms(), group)
        volume = group.size.cpu_millis * group.run_ms / 1_000_000
        weight = self._order_ms_per_volume_doubling * math.log2(1 + volume)
        group.order_key = group.first_submitted_ms + weight
        queue = self.queues_by_owner.get(task.owner)
        if queue is None:
            queue = OwnerQueue()
            self.queues_by_owner[task.owner] = queue
        queue.push(group)

    def dequeue(self, group: TaskGroup) -> TaskRequest:
        """Remove and return the next task of a group."""
        attempt_id = next(iter(group.tasks_by_id))
        task = group.tasks_by_id.pop(attempt_id)
        del self.groups_by_attempt[attempt_id]
        group.job.waiting -= 1
        self._adjust_counts(group, -1)
        self._detach_if_empty(group)
        return task

    def remove_task(self, attempt_id: str) -> None:
        """Remove a waiting task, if it is known."""
        group = self.groups_by_attempt.pop(attempt_id, None)
        if group is None:
            return
        del group.tasks_by_id[attempt_id]
        group.job.waiting -= 1
        self._adjust_counts(group, -1)
        self._detach_if_empty(group)

    def cancel(self, job_id: str) -> tuple[str, ...]:
        """Remove a job's waiting tasks; return its running attempt ids."""
        job = self.jobs_by_id.get(job_id)
        if job is None:
            return ()
        for group in job.groups:
            for attempt_id in group.tasks_by_id:
                del self.groups_by_attempt[attempt_id]
            self._adjust_counts(group, -len(group.tasks_by_id))
            group.tasks_by_id = {}
        job.groups = []
        job.waiting = 0
        if not job.running:
            del self.jobs_by_id[job_id]
        return tuple(job.running)

    def forget_running(self, job_id: str, attempt_id: str) -> None:
        """Record that a task of a job is no longer running."""
        job = self.jobs_by_id.get(job_id)
        if job is None:
            return
        job.running.pop(attempt_id, None)
        if not job.running and not job.waiting:
            del self.jobs_by_id[job_id]

    def _detach_if_empty(self, group: TaskGroup) -> None:
        if not group.tasks_by_id:
            group.job.groups.remove(group)

    def _adjust_counts(self, group: TaskGroup, count: int) -> None:
        task = group.template
        self.waiting += count
        self.waiting_by_class[task.work_class] += count
        entry_count = self.waiting_by_entry.get(task.entry, 0) + count
        if entry_count:
            self.waiting_by_entry[task.entry] = entry_count
        else:
            self.waiting_by_entry.pop(task.entry, None)


def _bucket_key_of(group: TaskGroup) -> tuple[int, ...]:
    size = group.size
    cpu = int(math.log2(max(1, size.cpu_millis)) * BUCKET_SCALE)
    memory = int(math.log2(max(1, size.memory_mb)))
    run = int(math.log2(max(1, group.run_ms)) / BUCKET_SCALE)
    return cpu, memory, run, size.accelerators, int(group.is_gang)
