"""Tasks that wait to be submitted to the scheduler."""

from __future__ import annotations

import heapq

from collections import deque
from typing import TYPE_CHECKING

from magnoliapitch.catalogue.entry import WorkClass
from magnoliapitch.decision.interface import TaskRequest
from magnoliapitch.job.attempt import TaskKey
from magnoliapitch.job.spec import AttemptKey
from magnoliapitch.job.spec import TaskOutcome
from magnoliapitch.job.spec import lease_id_of


if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Container

    from magnoliapitch.catalogue.entry import CatalogueEntry
    from magnoliapitch.journal.state import ClusterState
    from magnoliapitch.journal.state import JobRecord


MAX_TASKS_PER_STEP = 2_000
RETRY_DELAY_MIN_MS = 500
RETRY_DELAY_MAX_MS = 60_000
MAX_RETRY_DELAY_DOUBLINGS = 15
LOST_ATTEMPTS_REPEATED_AT_ONCE = 2
MISSING_ENTRY_RETRY_DELAY_MS = 1_000


class Backlog:
    """Turns jobs into task requests, a bounded number at a time.

    A task is either scheduled here for submission at a certain time, or
    submitted to the scheduler and kept here until it is placed.
    """

    def __init__(self) -> None:
        self._submitted_by_job: dict[str, dict[int, TaskRequest]] = {}
        self._unsubmitted_jobs: deque[tuple[str, int]] = deque()
        self._scheduled_tasks: list[tuple[int, TaskKey]] = []

    def add_job(self, job_id: str) -> None:
        """Queue every unfinished task of a job for submission."""
        self._unsubmitted_jobs.append((job_id, 0))

    def add_task(self, key: TaskKey, due_ms: int) -> None:
        """Queue one task for submission at a given time.

        :param due_ms: local monotonic time, in milliseconds.
        """
        heapq.heappush(self._scheduled_tasks, (due_ms, key))

    def retry(self, key: TaskKey, job: JobRecord, now_ms: int) -> None:
        """Queue a task for another attempt after one has ended.

        After a failure the delay grows exponentially with the number of
        attempts. A lost attempt is mostly not the task's fault, so the first
        ones are repeated at once; a task that ends every worker that starts
        it is then slowed down in the same way.

        :param now_ms: local monotonic time, in milliseconds.
        """
        attempt_count = job.attempts_by_task.get(key.task, 1)
        if job.ended_by_task.get(key.task) is not TaskOutcome.FAILED:
            attempt_count -= LOST_ATTEMPTS_REPEATED_AT_ONCE
        delay_ms = 0
        if attempt_count > 0:
            doublings = min(attempt_count - 1, MAX_RETRY_DELAY_DOUBLINGS)
            delay_ms = min(RETRY_DELAY_MIN_MS << doublings, RETRY_DELAY_MAX_MS)
        self.add_task(key, now_ms + delay_ms)

    def forget_job(self, job_id: str) -> None:
        """Remove the requests of a job that the scheduler has cancelled."""
        self._submitted_by_job.pop(job_id, None)

    def pop(self, key: TaskKey) -> TaskRequest | None:
        """Remove and return the request of a task that was placed.

        :return: ``None`` if the task was not submitted or is cancelled.
        """
        request_by_task = self._submitted_by_job.get(key.job_id)
        if request_by_task is None:
            return None
        request = request_by_task.pop(key.task, None)
        if not request_by_task:
            del self._submitted_by_job[key.job_id]
        return request

    def record_submitted(self, key: TaskKey, request: TaskRequest) -> None:
        """Record that a task is submitted to the scheduler."""
        request_by_task = self._submitted_by_job.setdefault(key.job_id, {})
        request_by_task[key.task] = request

    def is_queued(self, key: TaskKey) -> bool:
        """Return whether the task is in the scheduler's queue."""
        return key.task in self._submitted_by_job.get(key.job_id, {})

    def take_due_requests(
        self,
        state: ClusterState,
        owned_units: Collection[str],
        active_tasks: Container[TaskKey],
        now_ms: int,
    ) -> tuple[TaskRequest, ...]:
        """Return the requests of tasks that are due and may start.

        The caller submits them to the scheduler.

        :param owned_units: racks that this instance owns.
        :param active_tasks: tasks with an attempt that may still run or
            whose end is not recorded.
        :param now_ms: local monotonic time, in milliseconds.
        """
        ready_by_job: dict[str, list[TaskKey]] = {}
        for key in dict.fromkeys(self._pop_due(state, now_ms)):
            job = state.jobs_by_id.get(key.job_id)
            if job is None or job.is_done or job.unit not in owned_units:
                continue
            if key in active_tasks or self.is_queued(key):
                continue
            if job.ended_by_task.get(key.task) is TaskOutcome.FINISHED:
                continue
            ready_by_job.setdefault(key.job_id, []).append(key)
        requests: list[TaskRequest] = []
        for job_id, keys in ready_by_job.items():
            job = state.jobs_by_id[job_id]
            requests += self._make_requests(
                state, job, keys, active_tasks, now_ms
            )
        return tuple(requests)

    def _make_requests(
        self,
        state: ClusterState,
        job: JobRecord,
        keys: list[TaskKey],
        active_tasks: Container[TaskKey],
        now_ms: int,
    ) -> list[TaskRequest]:
        """Return the requests of tasks of one job and record them.

        While the job's catalogue entry does not exist, its tasks are
        scheduled to be tried again later.
        """
        versioned_entry = state.catalogue_by_name.get(job.spec.entry)
        if versioned_entry is None:
            for key in keys:
                self.add_task(key, now_ms + MISSING_ENTRY_RETRY_DELAY_MS)
            return []
        gang_size = 1
        if versioned_entry.entry.work_class is WorkClass.GANG:
            gang_size = self._gang_size(job, len(keys), active_tasks)
        requests = []
        for key in keys:
            request = _make_request(
                versioned_entry.entry, job, key, now_ms, gang_size
            )
            self.record_submitted(key, request)
            requests.append(request)
        return requests

    def _gang_size(
        self,
        job: JobRecord,
        ready_count: int,
        active_tasks: Container[TaskKey],
    ) -> int:
        """Return how many tasks of a gang must start together.

        These are all its tasks until one of them has been attempted.
        Afterwards lost tasks rejoin those that run or have finished. They
        start together with the other tasks of the gang that wait in the
        scheduler's queue.

        :param ready_count: tasks of the gang that are due now.
        """
        job_id = job.spec.job_id
        has_started = bool(job.attempts_by_task) or any(
            TaskKey(job_id, task) in active_tasks
            for task in range(job.spec.tasks)
        )
        if not has_started:
            return job.spec.tasks
        return len(self._submitted_by_job.get(job_id, {})) + ready_count

    def _pop_due(self, state: ClusterState, now_ms: int) -> list[TaskKey]:
        due_keys: list[TaskKey] = []
        while self._scheduled_tasks and self._scheduled_tasks[0][0] <= now_ms:
            due_keys.append(heapq.heappop(self._scheduled_tasks)[1])
        while self._unsubmitted_jobs and len(due_keys) < MAX_TASKS_PER_STEP:
            job_id, first = self._unsubmitted_jobs.popleft()
            job = state.jobs_by_id.get(job_id)
            if job is None:
                continue
            end = min(
                first + MAX_TASKS_PER_STEP - len(due_keys), job.spec.tasks
            )
            due_keys += [TaskKey(job_id, task) for task in range(first, end)]
            if end < job.spec.tasks:
                self._unsubmitted_jobs.appendleft((job_id, end))
        return due_keys


def _make_request(
    entry: CatalogueEntry,
    job: JobRecord,
    key: TaskKey,
    now_ms: int,
    gang_size: int,
) -> TaskRequest:
    attempt = job.attempts_by_task.get(key.task, 0)
    deadline_ms = job.spec.deadline_ms
    return TaskRequest(
        lease_id_of(AttemptKey(key.job_id, key.task, attempt)),
        key.job_id,
        job.spec.entry,
        entry.owner,
        entry.work_class,
        job.spec.resources,
        job.spec.run_ms,
        now_ms,
        now_ms + deadline_ms if deadline_ms else 0,
        gang_size,
        job.unit,
    )
