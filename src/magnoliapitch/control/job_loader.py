"""Adds stored jobs to the scheduler state and cancels cancelled ones."""

from __future__ import annotations

import sys

from typing import TYPE_CHECKING

from magnoliapitch.collector import collections_paused
from magnoliapitch.event import log_event
from magnoliapitch.workload.configuration import QueueSnapshot


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    from collections.abc import Sequence

    from magnoliapitch.control.progress_batcher import ProgressBatcher
    from magnoliapitch.ledger.job_table import JobTable
    from magnoliapitch.ledger.job_table import StoredJob
    from magnoliapitch.planner.scheduler_state import SchedulerState
    from magnoliapitch.workload.configuration import Configuration
    from magnoliapitch.workload.configuration import Queue
    from magnoliapitch.workload.job import JobSpec


# Jobs of such a queue can't start, since no worker has this service, nor fail;
# what runs of them goes on.
UNKNOWN_QUEUE = QueueSnapshot(service="", attempts=sys.maxsize)


class JobLoader:
    """Adds stored jobs to the scheduler state.

    :param configuration: returns the newest configuration, or None if none
        was read yet.
    :param delete_jobs: deletes stored jobs that have ended.
    """

    def __init__(
        self,
        state: SchedulerState,
        job_table: JobTable,
        progress_batcher: ProgressBatcher,
        configuration: Callable[[], Configuration | None],
        delete_jobs: Callable[[Sequence[str]], None],
    ) -> None:
        self._state = state
        self._job_table = job_table
        self._progress_batcher = progress_batcher
        self._configuration = configuration
        self._delete_jobs = delete_jobs

    def add_all(self, now_ms: int, goes_on: Callable[[], bool]) -> bool:
        """Add every stored job, ended ones too if runs may be active.

        :param goes_on: called before each job; returns whether to go on.
        :return: whether all were added.
        """
        for stored in self._job_table.jobs():
            if not goes_on():
                return False
            self._add(stored, now_ms)
        return True

    def apply_changes(self, job_ids: Iterable[str], now_ms: int) -> None:
        """Add the new ones of some jobs and cancel the cancelled ones.

        :param job_ids: jobs with changed records.
        """
        for job_id in job_ids:
            stored = self._job_table.get(job_id)
            known = self._state.jobs_by_id.get(job_id)
            if stored is None:
                continue
            if known is None:
                self._add(stored, now_ms)
            elif stored.is_cancelled:
                self._state.cancel_job(job_id)

    def _add(self, stored: StoredJob, now_ms: int) -> None:
        spec = stored.spec
        if spec is None:
            return
        has_ended = self._progress_batcher.has_ended(spec.job_id)
        if has_ended and not stored.has_final_progress:
            # Its progress was deleted after its last run had ended.
            self._delete_jobs([spec.job_id])
            return
        queue = self._queue_of(spec)
        with collections_paused():
            self._state.add_job(spec, queue, now_ms, stored.progress)
        self._progress_batcher.record_added(spec.job_id)
        if stored.is_cancelled:
            self._state.cancel_job(spec.job_id)

    def _queue_of(self, spec: JobSpec) -> Queue:
        """Return a job's queue, if need be as it was when it accepted it.

        The job keeps at least the attempts that it was accepted with.
        """
        configuration = self._configuration()
        if configuration is not None:
            queue = configuration.queues_by_name.get(spec.queue)
            if queue is not None:
                return queue.for_job(spec.accepting_queue)
        snapshot = spec.accepting_queue or UNKNOWN_QUEUE
        log_event(
            "queue-missing",
            job=spec.job_id,
            queue=spec.queue,
            service=snapshot.service,
        )
        return snapshot.to_queue(spec.queue)


__all__ = ["JobLoader"]
