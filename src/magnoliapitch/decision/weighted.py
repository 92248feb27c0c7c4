"""The default policy: classes, deadlines, shares and learned sizes."""

from __future__ import annotations

from itertools import groupby
from typing import TYPE_CHECKING
from typing import NamedTuple

import numpy as np

from magnoliapitch.catalogue.entry import WorkClass
from magnoliapitch.decision.admission import refusal_of
from magnoliapitch.decision.allocations import Books
from magnoliapitch.decision.dispatch import Dispatcher
from magnoliapitch.decision.estimate import Estimates
from magnoliapitch.decision.explanation import StartRate
from magnoliapitch.decision.explanation import explain_wait
from magnoliapitch.decision.finder import BULK_CLASSES
from magnoliapitch.decision.finder import WorkerFinder
from magnoliapitch.decision.health import HealthBook
from magnoliapitch.decision.start_reservation import HoldPlanner
from magnoliapitch.decision.queue import TaskGroup
from magnoliapitch.decision.queue import TaskQueue
from magnoliapitch.decision.reclaim import Reclaimer
from magnoliapitch.decision.retry import RetryPolicy
from magnoliapitch.decision.decision_round import Round
from magnoliapitch.job.spec import TaskOutcome
from magnoliapitch.resource import Resources


if TYPE_CHECKING:
    from collections.abc import Mapping

    from magnoliapitch.catalogue.entry import CatalogueEntry
    from magnoliapitch.decision.worker_state import RunningTask
    from magnoliapitch.decision.interface import Decision
    from magnoliapitch.decision.interface import Eviction
    from magnoliapitch.decision.interface import Explanation
    from magnoliapitch.decision.interface import TaskRequest
    from magnoliapitch.decision.interface import WorkerShape
    from magnoliapitch.policy.options import PolicyOptions


FULL_PASS_INTERVAL_MS = 1_000
MAX_DUE = 64
MAX_RESTORES = 4
BROKEN_JOB_DELAY_MS = 120_000
LEARN_AFTER_MS = 20_000
FLOOR_PERCENT = 110


class Abilities(NamedTuple):
    """Parts of the policy, to compare it with its earlier versions.

    :param learns: corrects declared sizes and run times.
    :param holds: reserves starts for gangs and overdue work.
    :param reclaims: evicts bulk work for urgent work and quotas.
    :param quarantines: takes failing workers out of service.
    """

    learns: bool = True
    holds: bool = True
    reclaims: bool = True
    quarantines: bool = True


class WeightedScheduler:
    """Serves classes in order, owners by share, and fits best.

    :param options: weights of the deployment and the seed of jitter.
    :param abilities: the parts that are switched on.
    """

    def __init__(
        self, options: PolicyOptions, abilities: Abilities | None = None
    ) -> None:
        chosen = abilities or Abilities()
        weights = options.weights
        self._books = Books(weights.urgent_headroom)
        self._queue = TaskQueue(weights.short_first)
        self._estimates = Estimates(weights, chosen.learns)
        self._health = HealthBook(chosen.quarantines)
        self._retry = RetryPolicy(np.random.default_rng(options.seed))
        self._reclaimer = Reclaimer(self._books, chosen.reclaims)
        self._finder = WorkerFinder(self._books, self._estimates)
        self._dispatcher = Dispatcher(
            self._books,
            self._queue,
            self._finder,
            HoldPlanner(self._books) if chosen.holds else None,
            self._reclaimer,
        )
        self._rate = StartRate()
        self._pending: list[Eviction] = []
        self._floors_by_task: dict[str, int] = {}
        self._now_ms = 0
        self._submitted = 0
        self._idle_stamp = (-1, -1)
        self._next_pass_ms = 0
        self._pass_number = 0

    def set_catalogue(self, by_name: Mapping[str, CatalogueEntry]) -> None:
        """Use these catalogue entries from now on."""
        self._books.accounts.set_catalogue(by_name)
        self._books.freed += 1

    def add_worker(self, worker: WorkerShape) -> None:
        """Add a worker, or replace its capacity."""
        if worker.worker_id in self._books.table.workers_by_id:
            self._health.remove(worker.worker_id)
        self._health.add(worker)
        self._books.add_worker(worker)

    def remove_worker(self, worker_id: str) -> None:
        """Forget a worker; its reservations are dropped."""
        self._health.remove(worker_id)
        for task in self._books.remove_worker(worker_id):
            request = task.request
            self._queue.forget_running(request.job_id, request.task_id)

    def set_withheld(self, worker_id: str, withheld: Resources) -> None:
        """Withhold capacity that an earlier owner may have granted."""
        self._books.set_withheld(worker_id, withheld)

    def adopt(
        self, task: TaskRequest, worker_id: str, reserved: Resources
    ) -> None:
        """Count a task that already runs on a worker."""
        if task.task_id in self._books.running_by_id:
            return
        self._queue.drop(task.task_id)
        job = self._queue.job(task.job_id, task.submitted_ms)
        job.running[task.task_id] = None
        self._books.adopt(task, worker_id, reserved)

    def submit(self, tasks: tuple[TaskRequest, ...]) -> None:
        """Queue tasks; a known task id is ignored."""
        self._submitted += 1
        fresh = (task for task in tasks if not self._is_known(task.task_id))
        for _, members in groupby(fresh, self._group_key):
            self._submit_group(tuple(members))

    def cancel(self, job_id: str) -> tuple[str, ...]:
        """Drop a job's queued tasks; return its running task ids."""
        self._health.forget_job(job_id)
        return self._queue.cancel(job_id)

    def ended(self, task_id: str, outcome: TaskOutcome, now_ms: int) -> None:
        """Free the reservation of a task that surely runs no more."""
        task = self._books.end(task_id)
        if task is None:
            self._queue.drop(task_id)
            return
        self._queue.forget_running(task.request.job_id, task_id)
        if outcome is TaskOutcome.FINISHED:
            self._finished(task, now_ms)
        elif outcome is TaskOutcome.FAILED:
            self._failed(task, now_ms)
        else:
            self._health.lost(task)

    def report_usage(
        self, task_id: str, usage: Resources, now_ms: int
    ) -> None:
        """Note a usage report of a running task."""
        task = self._books.running_by_id.get(task_id)
        if task is None:
            return
        task.peak = Resources(
            *(max(old, new) for old, new in zip(task.peak, usage, strict=True))
        )
        is_ripe = now_ms - task.started_ms >= LEARN_AFTER_MS
        if is_ripe and not task.learned:
            self._learn_usage(task)
        if usage.memory_mb > task.reserved.memory_mb:
            self._grow(task, usage.memory_mb, now_ms)

    def resized(self, task_id: str, reserved: Resources) -> None:
        """Note that a worker confirmed a new bound on a running task."""
        task = self._books.running_by_id.get(task_id)
        if task is None or reserved.cpu_millis >= task.reserved.cpu_millis:
            return
        self._reclaimer.confirm(task)
        cpu_millis = reserved.cpu_millis
        self._books.resize(task, task.reserved._replace(cpu_millis=cpu_millis))

    def decide(self, now_ms: int) -> Decision:
        """Return the next decision, bounded in work."""
        self._now_ms = now_ms
        if now_ms >= self._next_pass_ms:
            self._pass_number += 1
            self._next_pass_ms = now_ms + FULL_PASS_INTERVAL_MS
            self._books.changed_by_id.clear()
            self._idle_stamp = (-1, -1)
        turn = Round(now_ms, self._pass_number)
        turn.evictions.extend(self._pending)
        self._pending.clear()
        for group in self._queue.due(now_ms, MAX_DUE):
            self._queue.push(group)
            self._submitted += 1
        if self._is_idle():
            return turn.decision(has_more=False)
        stamp = (self._books.freed, self._submitted)
        self._probe(turn)
        self._dispatcher.serve(turn)
        turn.evictions.extend(self._reclaimer.overdue(now_ms))
        has_more = turn.is_full or turn.is_cut_short
        if turn.may_search and not has_more:
            self._books.changed_by_id.clear()
        if not has_more:
            self._idle_stamp = stamp
            turn.evictions.extend(self._reclaimer.restore(MAX_RESTORES))
        for placement in turn.placements:
            task = self._books.running_by_id[placement.task_id]
            self._retry.started(task.request.entry)
        self._rate.add(len(turn.placements), now_ms)
        return turn.decision(has_more)

    def explain(self, job_id: str, now_ms: int) -> Explanation | None:
        """Tell why a queued job waits."""
        job = self._queue.jobs_by_id.get(job_id)
        if job is None or not job.groups:
            return None
        return explain_wait(self._queue, job, self._rate, now_ms)

    def refusal(
        self, task: TaskRequest, fleet: tuple[WorkerShape, ...]
    ) -> str:
        """Tell why a task can never run on the fleet, or return ''."""
        return refusal_of(task, fleet, self._books.accounts, self._estimates)

    def free(self) -> Resources:
        """Return the unreserved capacity."""
        return self._books.free

    def queued(self) -> int:
        """Return the number of waiting tasks."""
        return self._queue.waiting

    def probes(self) -> int:
        """Return how many workers were examined, a measure of cost."""
        return self._books.table.probes

    def _is_known(self, task_id: str) -> bool:
        return (
            task_id in self._queue.groups_by_task
            or task_id in self._books.running_by_id
        )

    def _is_idle(self) -> bool:
        return self._idle_stamp == (self._books.freed, self._submitted)

    def _group_key(self, task: TaskRequest) -> tuple[str, Resources, str]:
        failed = bool(self._retry.failures(task.task_id))
        apart = failed or _task_key(task.task_id) in self._floors_by_task
        return task.job_id, task.resources, task.task_id if apart else ""

    def _submit_group(self, tasks: tuple[TaskRequest, ...]) -> None:
        first = tasks[0]
        if first.resources.accelerators:
            self._books.table.keeps_accelerators = True
        job = self._queue.job(first.job_id, first.submitted_ms)
        if first.gang_size > 1 and job.groups:
            group = job.groups[0]
            group.sample = group.sample._replace(gang_size=first.gang_size)
            group.tasks_by_id.update({task.task_id: task for task in tasks})
            self._queue.count(group, tasks)
            return
        reserved_mb = first.resources.memory_mb
        floor_mb = max(
            self._floors_by_task.get(_task_key(first.task_id), 0),
            self._retry.floor_mb(first.task_id, reserved_mb),
        )
        group = TaskGroup(job, tasks, floor_mb)
        self._finder.refresh(group)
        self._queue.count(group, tasks)
        delay_ms = self._delay_ms(first, group)
        if delay_ms:
            self._queue.delay(group, self._now_ms + delay_ms)
        else:
            self._queue.push(group)

    def _delay_ms(self, task: TaskRequest, group: TaskGroup) -> int:
        delay_ms = self._retry.delay_ms(task.entry, task.task_id)
        if not delay_ms or not self._health.fails_everywhere(task.job_id):
            return delay_ms
        group.reason = "it failed on several workers"
        return delay_ms + BROKEN_JOB_DELAY_MS

    def _finished(self, task: RunningTask, now_ms: int) -> None:
        request = task.request
        self._retry.finished(request.task_id)
        self._floors_by_task.pop(_task_key(request.task_id), None)
        if not task.learned:
            self._learn_usage(task)
        if task.reserved.cpu_millis >= task.granted.cpu_millis:
            run_ms = now_ms - task.started_ms
            self._estimates.record_run(request.entry, run_ms, request.run_ms)
        if self._health.succeeded(task):
            self._books.table.set_open(task.worker, True)
            self._books.mark_freed(task.worker)

    def _failed(self, task: RunningTask, now_ms: int) -> None:
        self._retry.failed(task.request.task_id)
        if self._health.failed(task, now_ms):
            self._books.table.set_open(task.worker, False)

    def _learn_usage(self, task: RunningTask) -> None:
        task.learned = True
        request = task.request
        self._estimates.record_usage(
            request.entry, task.peak, request.resources
        )

    def _grow(self, task: RunningTask, memory_mb: int, now_ms: int) -> None:
        """Reserve more for a task, or take memory back on its worker."""
        wanted_mb = memory_mb - task.reserved.memory_mb
        if wanted_mb <= task.worker.free_memory:
            reserved = task.reserved._replace(memory_mb=memory_mb)
            self._books.resize(task, reserved)
            return
        victim = _least_damage(task)
        if victim is None or victim.evicted:
            return
        if victim is task:
            key = _task_key(task.request.task_id)
            self._floors_by_task[key] = memory_mb * FLOOR_PERCENT // 100
        self._pending.extend(self._reclaimer.for_growth(victim, now_ms))

    def _probe(self, turn: Round) -> None:
        """Try one batch task on a quarantined worker whose time has come."""
        if not self._health.any_quarantined():
            return
        worker_id = self._health.due_probe(turn.now_ms)
        worker = self._books.table.workers_by_id.get(worker_id)
        group = self._queue.oldest_by_class[WorkClass.BATCH].peek()
        if worker is None or group is None or group.is_gang:
            return
        self._finder.refresh(group)
        if group.size.fits(worker.free):
            task_id = self._dispatcher.start_on(turn, group, worker)
            self._health.probe(worker_id, task_id)


def _least_damage(task: RunningTask) -> RunningTask | None:
    """Return the task to evict when one outgrows its worker."""
    if task.request.work_class in BULK_CLASSES:
        return task
    bulk = [
        item
        for item in task.worker.tasks_by_id.values()
        if item.request.work_class in BULK_CLASSES and not item.evicted
    ]
    return min(bulk, key=lambda item: item.reserved.cpu_millis, default=None)


def _task_key(task_id: str) -> str:
    return task_id.rpartition("/")[0]
