"""Tasks that wait to be handed to the scheduler, following the fold."""

from __future__ import annotations

import heapq

from collections import deque
from typing import TYPE_CHECKING

from magnoliapitch.catalogue.entry import WorkClass
from magnoliapitch.decision.interface import TaskRequest
from magnoliapitch.job.attempt import TaskKey
from magnoliapitch.job.spec import AttemptName
from magnoliapitch.job.spec import TaskOutcome
from magnoliapitch.job.spec import lease_id_of


if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Container

    from magnoliapitch.catalogue.entry import CatalogueEntry
    from magnoliapitch.journal.state import ClusterState
    from magnoliapitch.journal.state import JobRecord


TASKS_PER_STEP = 2_000
RETRY_MIN_MS = 500
RETRY_MAX_MS = 60_000
MISSING_ENTRY_RETRY_MS = 1_000


class Backlog:
    """Turns jobs into task requests, a bounded number at a time."""

    def __init__(self) -> None:
        self._requests_by_job: dict[str, dict[int, TaskRequest]] = {}
        self._jobs: deque[tuple[str, int]] = deque()
        self._retries: list[tuple[int, TaskKey]] = []

    def add_job(self, job_id: str) -> None:
        """Hand over every unfinished task of a job."""
        self._jobs.append((job_id, 0))

    def add_task(self, key: TaskKey, due_ms: int) -> None:
        """Hand over one task when it is due."""
        heapq.heappush(self._retries, (due_ms, key))

    def retry(self, key: TaskKey, job: JobRecord, now_ms: int) -> None:
        """Hand over a task again, later after each failure."""
        delay_ms = 0
        if job.ended_by_task.get(key.task) is TaskOutcome.FAILED:
            failures = min(job.attempts_by_task.get(key.task, 1), 16)
            delay_ms = min(RETRY_MIN_MS << (failures - 1), RETRY_MAX_MS)
        self.add_task(key, now_ms + delay_ms)

    def forget_job(self, job_id: str) -> None:
        """Drop what the scheduler has been told to drop."""
        self._requests_by_job.pop(job_id, None)

    def pop(self, key: TaskKey) -> TaskRequest | None:
        """Return and remove a task that the scheduler has placed."""
        requests_by_number = self._requests_by_job.get(key.job_id)
        if requests_by_number is None:
            return None
        request = requests_by_number.pop(key.task, None)
        if not requests_by_number:
            del self._requests_by_job[key.job_id]
        return request

    def put_back(self, key: TaskKey, request: TaskRequest) -> None:
        """Keep a task that was placed but not started."""
        requests_by_number = self._requests_by_job.setdefault(key.job_id, {})
        requests_by_number[key.task] = request

    def is_queued(self, key: TaskKey) -> bool:
        """Return whether the scheduler has the task in its queue."""
        return key.task in self._requests_by_job.get(key.job_id, {})

    def take(
        self,
        state: ClusterState,
        startable_units: Collection[str],
        active: Container[TaskKey],
        now_ms: int,
    ) -> tuple[TaskRequest, ...]:
        """Return tasks to submit now.

        :param startable_units: owned units.
        :param active: tasks with an attempt that has not surely ended.
        """
        ready: dict[str, list[TaskKey]] = {}
        for key in dict.fromkeys(self._due(state, now_ms)):
            job = state.jobs_by_id.get(key.job_id)
            if job is None or job.is_done or job.unit not in startable_units:
                continue
            if key in active or self.is_queued(key):
                continue
            if job.ended_by_task.get(key.task) is TaskOutcome.FINISHED:
                continue
            ready.setdefault(key.job_id, []).append(key)
        requests: list[TaskRequest] = []
        for job_id, keys in ready.items():
            job = state.jobs_by_id[job_id]
            requests += self._requests(state, job, keys, active, now_ms)
        return tuple(requests)

    def _requests(
        self,
        state: ClusterState,
        job: JobRecord,
        keys: list[TaskKey],
        active: Container[TaskKey],
        now_ms: int,
    ) -> list[TaskRequest]:
        """Return the requests of one job's tasks, and keep them."""
        versioned = state.catalogue_by_name.get(job.spec.entry)
        if versioned is None:
            for key in keys:
                self.add_task(key, now_ms + MISSING_ENTRY_RETRY_MS)
            return []
        gang_size = 1
        if versioned.entry.work_class is WorkClass.GANG:
            gang_size = self._gang_size(job, len(keys), active)
        requests = []
        for key in keys:
            request = _request(versioned.entry, job, key, now_ms, gang_size)
            self.put_back(key, request)
            requests.append(request)
        return requests

    def _gang_size(
        self, job: JobRecord, ready: int, active: Container[TaskKey]
    ) -> int:
        """Return how many tasks of a gang start together.

        All of them at first. Later the tasks that were lost join those
        that run or have finished, together with what else waits then.
        """
        job_id = job.spec.job_id
        has_started = bool(job.attempts_by_task) or any(
            TaskKey(job_id, task) in active for task in range(job.spec.tasks)
        )
        if not has_started:
            return job.spec.tasks
        return len(self._requests_by_job.get(job_id, {})) + ready

    def _due(self, state: ClusterState, now_ms: int) -> list[TaskKey]:
        due: list[TaskKey] = []
        while self._retries and self._retries[0][0] <= now_ms:
            due.append(heapq.heappop(self._retries)[1])
        while self._jobs and len(due) < TASKS_PER_STEP:
            job_id, first = self._jobs.popleft()
            job = state.jobs_by_id.get(job_id)
            if job is None:
                continue
            last = min(first + TASKS_PER_STEP - len(due), job.spec.tasks)
            due += [TaskKey(job_id, task) for task in range(first, last)]
            if last < job.spec.tasks:
                self._jobs.appendleft((job_id, last))
        return due


def _request(
    entry: CatalogueEntry,
    job: JobRecord,
    key: TaskKey,
    now_ms: int,
    gang_size: int,
) -> TaskRequest:
    attempt = job.attempts_by_task.get(key.task, 0)
    deadline_ms = job.spec.deadline_ms
    return TaskRequest(
        lease_id_of(AttemptName(key.job_id, key.task, attempt)),
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
