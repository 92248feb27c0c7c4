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
        requests: list[TaskRequest] = []
        for key in self._due(state, now_ms):
            job = state.jobs_by_id.get(key.job_id)
            if job is None or job.is_done or job.unit not in startable_units:
                continue
            if key in active or self.is_queued(key):
                continue
            if job.ended_by_task.get(key.task) is TaskOutcome.FINISHED:
                continue
            request = _request(state, job, key, now_ms)
            if request is None:
                self.add_task(key, now_ms + MISSING_ENTRY_RETRY_MS)
                continue
            self.put_back(key, request)
            requests.append(request)
        return tuple(requests)

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
    state: ClusterState, job: JobRecord, key: TaskKey, now_ms: int
) -> TaskRequest | None:
    versioned = state.catalogue_by_name.get(job.spec.entry)
    if versioned is None:
        return None
    entry = versioned.entry
    attempt = job.attempts_by_task.get(key.task, 0)
    is_gang = entry.work_class is WorkClass.GANG
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
        job.spec.tasks if is_gang else 1,
        job.unit,
    )
