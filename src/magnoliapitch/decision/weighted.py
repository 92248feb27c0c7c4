"""The default policy: work classes, deadlines, fair shares and estimates."""

from __future__ import annotations

from itertools import groupby
from typing import TYPE_CHECKING

import numpy as np

from magnoliapitch.catalogue.entry import WorkClass
from magnoliapitch.decision.admission import find_infeasibility
from magnoliapitch.decision.allocations import Allocations
from magnoliapitch.decision.decision_round import DecisionRound
from magnoliapitch.decision.dispatch import Dispatcher
from magnoliapitch.decision.estimate import Estimates
from magnoliapitch.decision.explanation import StartRate
from magnoliapitch.decision.explanation import explain_wait
from magnoliapitch.decision.features import PolicyFeatures
from magnoliapitch.decision.finder import BULK_CLASSES
from magnoliapitch.decision.finder import WorkerFinder
from magnoliapitch.decision.health import WorkerHealthTracker
from magnoliapitch.decision.queue import TaskGroup
from magnoliapitch.decision.queue import TaskQueue
from magnoliapitch.decision.reclaim import Reclaimer
from magnoliapitch.decision.retry import RetryPolicy
from magnoliapitch.decision.start_reservation import StartReservationPlanner
from magnoliapitch.job.spec import TaskOutcome
from magnoliapitch.resource import Resources


if TYPE_CHECKING:
    from collections.abc import Mapping

    from magnoliapitch.catalogue.entry import CatalogueEntry
    from magnoliapitch.decision.interface import Decision
    from magnoliapitch.decision.interface import Eviction
    from magnoliapitch.decision.interface import Explanation
    from magnoliapitch.decision.interface import TaskRequest
    from magnoliapitch.decision.interface import WorkerShape
    from magnoliapitch.decision.worker_state import RunningTask
    from magnoliapitch.policy.options import PolicyOptions


FULL_PASS_INTERVAL_MS = 1_000
MAX_DUE_GROUPS = 64
MAX_LIFTED_THROTTLES = 4
BROKEN_JOB_DELAY_MS = 120_000
MIN_RUN_FOR_USAGE_SAMPLE_MS = 20_000
MIN_MEMORY_PERCENT = 110


class WeightedScheduler:
    """Scheduler with work classes, dominant shares and best-fit placement.

    Work is done in passes of about a second. In a pass, a group whose search
    for a worker failed is tried again only on workers with freed capacity.

    :param options: weights of the deployment and the random seed.
    :param features: features that are switched on; all if ``None``.
    """

    def __init__(
        self, options: PolicyOptions, features: PolicyFeatures | None = None
    ) -> None:
        enabled = features or PolicyFeatures()
        weights = options.weights
        self._allocations = Allocations(weights.urgent_headroom)
        self._queue = TaskQueue(weights.short_first)
        self._estimates = Estimates(weights, enabled.learns_estimates)
        self._health = WorkerHealthTracker(enabled.quarantines)
        self._retry = RetryPolicy(np.random.default_rng(options.seed))
        self._reclaimer = Reclaimer(self._allocations, enabled.reclaims)
        self._finder = WorkerFinder(self._allocations, self._estimates)
        self._dispatcher = Dispatcher(
            self._allocations,
            self._queue,
            self._finder,
            StartReservationPlanner(self._allocations)
            if enabled.reserves_starts
            else None,
            self._reclaimer,
        )
        self._start_rate = StartRate()
        self._pending_evictions: list[Eviction] = []
        self._min_memory_mb_by_task: dict[str, int] = {}
        self._now_ms = 0
        self._submission_count = 0
        self._idle_version = (-1, -1)
        self._next_pass_ms = 0
        self._pass_number = 0

    def set_catalogue(self, by_name: Mapping[str, CatalogueEntry]) -> None:
        """Replace the catalogue."""
        self._allocations.quota_usage.set_catalogue(by_name)
        # A larger quota may let tasks start, as freed capacity does.
        self._allocations.freed_count += 1

    def add_worker(self, worker: WorkerShape) -> None:
        """Add a worker, or update its capacity if it is known."""
        if worker.worker_id in self._allocations.workers.by_id:
            self._health.remove(worker.worker_id)
        self._health.add(worker)
        self._allocations.add_worker(worker)

    def remove_worker(self, worker_id: str) -> None:
        """Remove a worker and the reservations of its tasks."""
        self._health.remove(worker_id)
        for task in self._allocations.remove_worker(worker_id):
            request = task.request
            self._queue.forget_running(request.job_id, request.attempt_id)

    def set_withheld(self, worker_id: str, withheld: Resources) -> None:
        """Set the capacity of a worker that must not be used."""
        self._allocations.set_withheld(worker_id, withheld)

    def adopt(
        self, task: TaskRequest, worker_id: str, reserved: Resources
    ) -> None:
        """Add a task that is already running."""
        if task.attempt_id in self._allocations.running_by_id:
            return
        self._queue.remove_task(task.attempt_id)
        job = self._queue.get_or_create_job(task.job_id, task.submitted_ms)
        job.running[task.attempt_id] = None
        self._allocations.adopt(task, worker_id, reserved)

    def submit(self, tasks: tuple[TaskRequest, ...]) -> None:
        """Add tasks to the queue; ignore those whose id is known."""
        self._submission_count += 1
        new_tasks = (
            task for task in tasks if not self._is_known(task.attempt_id)
        )
        for _, group_tasks in groupby(new_tasks, self._group_key):
            self._submit_group(tuple(group_tasks))

    def cancel(self, job_id: str) -> tuple[str, ...]:
        """Remove the queued tasks of a job; return its running attempt ids."""
        self._health.forget_job(job_id)
        return self._queue.cancel(job_id)

    def record_task_end(
        self, attempt_id: str, outcome: TaskOutcome, now_ms: int
    ) -> None:
        """Release the resources of a task that is certain to have ended."""
        task = self._allocations.end(attempt_id)
        if task is None:
            self._queue.remove_task(attempt_id)
            return
        self._queue.forget_running(task.request.job_id, attempt_id)
        if outcome is TaskOutcome.FINISHED:
            self._handle_success(task, now_ms)
        elif outcome is TaskOutcome.FAILED:
            self._handle_failure(task, now_ms)
        else:
            self._health.record_lost(task)

    def report_usage(
        self, attempt_id: str, usage: Resources, now_ms: int
    ) -> None:
        """Record the resource usage that a running task reported."""
        task = self._allocations.running_by_id.get(attempt_id)
        if task is None:
            return
        task.peak_usage = Resources(
            *(
                max(old, new)
                for old, new in zip(task.peak_usage, usage, strict=True)
            )
        )
        has_run_long_enough = (
            now_ms - task.started_ms >= MIN_RUN_FOR_USAGE_SAMPLE_MS
        )
        if has_run_long_enough and not task.is_usage_recorded:
            self._learn_usage(task)
        if usage.memory_mb > task.reserved.memory_mb:
            self._handle_memory_growth(task, usage.memory_mb, now_ms)

    def record_resize(self, attempt_id: str, reserved: Resources) -> None:
        """Record that a worker confirmed the new size of a running task."""
        task = self._allocations.running_by_id.get(attempt_id)
        if task is None or reserved.cpu_millis >= task.reserved.cpu_millis:
            return
        self._reclaimer.confirm_throttle(task)
        cpu_millis = reserved.cpu_millis
        self._allocations.resize(
            task, task.reserved._replace(cpu_millis=cpu_millis)
        )

    def decide(self, now_ms: int) -> Decision:
        """Return what to start and evict now; each call does bounded work."""
        self._now_ms = now_ms
        if now_ms >= self._next_pass_ms:
            self._pass_number += 1
            self._next_pass_ms = now_ms + FULL_PASS_INTERVAL_MS
            self._allocations.freed_workers_by_id.clear()
            self._idle_version = (-1, -1)
        decision_round = DecisionRound(now_ms, self._pass_number)
        decision_round.evictions.extend(self._pending_evictions)
        self._pending_evictions.clear()
        for group in self._queue.pop_due(now_ms, MAX_DUE_GROUPS):
            self._queue.push(group)
            self._submission_count += 1
        if self._is_idle():
            return decision_round.decision(has_more=False)
        state_version = (self._allocations.freed_count, self._submission_count)
        self._probe_quarantined_worker(decision_round)
        self._dispatcher.serve(decision_round)
        decision_round.evictions.extend(
            self._reclaimer.escalate_overdue(now_ms)
        )
        has_more = (
            decision_round.is_full or decision_round.has_unvisited_owners
        )
        if decision_round.may_search and not has_more:
            self._allocations.freed_workers_by_id.clear()
        if not has_more:
            self._idle_version = state_version
            decision_round.evictions.extend(
                self._reclaimer.lift_throttles(MAX_LIFTED_THROTTLES)
            )
        for placement in decision_round.placements:
            task = self._allocations.running_by_id[placement.attempt_id]
            self._retry.record_start(task.request.entry)
        self._start_rate.record_starts(len(decision_round.placements), now_ms)
        return decision_round.decision(has_more)

    def explain(self, job_id: str, now_ms: int) -> Explanation | None:
        """Return why a job waits, or ``None`` if none of its tasks do."""
        job = self._queue.jobs_by_id.get(job_id)
        if job is None or not job.groups:
            return None
        return explain_wait(self._queue, job, self._start_rate, now_ms)

    def infeasibility_reason(
        self, task: TaskRequest, workers: tuple[WorkerShape, ...]
    ) -> str:
        """Return why a task can never run on these workers, or ''."""
        return find_infeasibility(
            task, workers, self._allocations.quota_usage, self._estimates
        )

    def free_capacity(self) -> Resources:
        """Return the capacity that is neither reserved nor withheld."""
        return self._allocations.free

    def queued_count(self) -> int:
        """Return the number of queued tasks."""
        return self._queue.waiting

    def examined_count(self) -> int:
        """Return how many workers were examined so far, a measure of cost."""
        return self._allocations.workers.examined_count

    def _is_known(self, attempt_id: str) -> bool:
        return (
            attempt_id in self._queue.groups_by_attempt
            or attempt_id in self._allocations.running_by_id
        )

    def _is_idle(self) -> bool:
        """Return whether nothing has changed since no more could start."""
        return self._idle_version == (
            self._allocations.freed_count,
            self._submission_count,
        )

    def _group_key(self, task: TaskRequest) -> tuple[str, Resources, str]:
        failed = bool(self._retry.failures(task.attempt_id))
        is_separate = (
            failed or _task_key(task.attempt_id) in self._min_memory_mb_by_task
        )
        return (
            task.job_id,
            task.resources,
            task.attempt_id if is_separate else "",
        )

    def _submit_group(self, tasks: tuple[TaskRequest, ...]) -> None:
        first = tasks[0]
        if first.resources.accelerators:
            self._allocations.workers.has_accelerator_work = True
        job = self._queue.get_or_create_job(first.job_id, first.submitted_ms)
        if first.gang_size > 1 and job.groups:
            group = job.groups[0]
            group.template = group.template._replace(gang_size=first.gang_size)
            group.tasks_by_id.update({task.attempt_id: task for task in tasks})
            self._queue.add_waiting(group, tasks)
            return
        declared_mb = first.resources.memory_mb
        min_memory_mb = max(
            self._min_memory_mb_by_task.get(_task_key(first.attempt_id), 0),
            self._retry.min_memory_mb(first.attempt_id, declared_mb),
        )
        group = TaskGroup(job, tasks, min_memory_mb)
        self._finder.refresh_estimates(group)
        self._queue.add_waiting(group, tasks)
        delay_ms = self._delay_ms(first, group)
        if delay_ms:
            self._queue.delay(group, self._now_ms + delay_ms)
        else:
            self._queue.push(group)

    def _delay_ms(self, task: TaskRequest, group: TaskGroup) -> int:
        delay_ms = self._retry.delay_ms(task.entry, task.attempt_id)
        if not delay_ms or not self._health.fails_everywhere(task.job_id):
            return delay_ms
        group.wait_reason = "it failed on several workers"
        return delay_ms + BROKEN_JOB_DELAY_MS

    def _handle_success(self, task: RunningTask, now_ms: int) -> None:
        request = task.request
        self._retry.forget_task(request.attempt_id)
        self._min_memory_mb_by_task.pop(_task_key(request.attempt_id), None)
        if not task.is_usage_recorded:
            self._learn_usage(task)
        if task.reserved.cpu_millis >= task.initially_reserved.cpu_millis:
            run_ms = now_ms - task.started_ms
            self._estimates.record_run(request.entry, run_ms, request.run_ms)
        if self._health.record_success(task):
            self._allocations.workers.set_accepts_tasks(task.worker, True)
            self._allocations.mark_freed(task.worker)

    def _handle_failure(self, task: RunningTask, now_ms: int) -> None:
        self._retry.record_failure(task.request.attempt_id)
        if self._health.record_failure(task, now_ms):
            self._allocations.workers.set_accepts_tasks(task.worker, False)

    def _learn_usage(self, task: RunningTask) -> None:
        task.is_usage_recorded = True
        request = task.request
        self._estimates.record_usage(
            request.entry, task.peak_usage, request.resources
        )

    def _handle_memory_growth(
        self, task: RunningTask, memory_mb: int, now_ms: int
    ) -> None:
        """Handle a task that uses more memory than is reserved for it.

        Its worker provides the memory if it has enough, else a bulk task
        there is evicted, which may be the task itself.

        :param memory_mb: memory that the task uses now.
        """
        wanted_mb = memory_mb - task.reserved.memory_mb
        if wanted_mb <= task.worker.free_memory_mb:
            reserved = task.reserved._replace(memory_mb=memory_mb)
            self._allocations.resize(task, reserved)
            return
        victim = _select_growth_victim(task)
        if victim is None or victim.is_being_evicted:
            return
        if victim is task:
            key = _task_key(task.request.attempt_id)
            self._min_memory_mb_by_task[key] = (
                memory_mb * MIN_MEMORY_PERCENT // 100
            )
        self._pending_evictions.extend(
            self._reclaimer.plan_for_growth(victim, now_ms)
        )

    def _probe_quarantined_worker(self, decision_round: DecisionRound) -> None:
        """Start one batch task on a quarantined worker whose probe is due."""
        if not self._health.has_quarantined():
            return
        worker_id = self._health.next_probe_worker(decision_round.now_ms)
        worker = self._allocations.workers.by_id.get(worker_id)
        group = self._queue.heap_by_class[WorkClass.BATCH].peek()
        if worker is None or group is None or group.is_gang:
            return
        self._finder.refresh_estimates(group)
        if group.size.fits(worker.free):
            attempt_id = self._dispatcher.start_on(
                decision_round, group, worker
            )
            self._health.record_probe(worker_id, attempt_id)


def _select_growth_victim(task: RunningTask) -> RunningTask | None:
    """Return the task to evict if a task needs more memory than is free.

    This is the task itself if it is bulk work, else the bulk task with the
    least reserved CPU on its worker, or ``None`` if there is none.
    """
    if task.request.work_class in BULK_CLASSES:
        return task
    bulk = [
        item
        for item in task.worker.tasks_by_id.values()
        if item.request.work_class in BULK_CLASSES
        and not item.is_being_evicted
    ]
    return min(bulk, key=lambda item: item.reserved.cpu_millis, default=None)


def _task_key(attempt_id: str) -> str:
    """Return the ``JOB/TASK`` part of an attempt id."""
    return attempt_id.rpartition("/")[0]
