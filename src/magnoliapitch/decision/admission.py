"""Check whether a task can ever run, with advice if it cannot."""

from __future__ import annotations

from typing import TYPE_CHECKING

from magnoliapitch.resource import Resources


if TYPE_CHECKING:
    from magnoliapitch.decision.estimate import Estimates
    from magnoliapitch.decision.interface import TaskRequest
    from magnoliapitch.decision.interface import WorkerShape
    from magnoliapitch.decision.quota_usage import QuotaUsage


RESOURCE_FIELDS = ("cpu_millis", "memory_mb", "accelerators")


def find_infeasibility(
    task: TaskRequest,
    workers: tuple[WorkerShape, ...],
    quota_usage: QuotaUsage,
    estimates: Estimates,
) -> str:
    """Return why a task can never run and what to change, or ''.

    The result depends on the workers, the catalogue and the estimates, and
    must be checked again when these change.

    :param workers: all workers that the task may run on; if empty, sizes are
        not checked.
    """
    return (
        _exceeds_largest_worker(task, workers)
        or _exceeds_all_workers(task, workers)
        or _exceeds_quota(task, quota_usage)
        or _misses_deadline(task, estimates)
    )


def _exceeds_largest_worker(
    task: TaskRequest, workers: tuple[WorkerShape, ...]
) -> str:
    size = task.resources
    if not workers or any(size.fits(worker.capacity) for worker in workers):
        return ""
    largest = Resources(
        *(
            max(getattr(item.capacity, field) for item in workers)
            for field in RESOURCE_FIELDS
        )
    )
    for field in RESOURCE_FIELDS:
        wanted, most = getattr(size, field), getattr(largest, field)
        if wanted > most:
            return (
                f"a task needs {field}={wanted} and the largest worker has "
                f"{most}; declare at most {most} or add a larger worker"
            )
    return (
        f"no single worker has {_format_resources(size)} together; declare "
        "less of one resource or add a larger worker"
    )


def _exceeds_all_workers(
    task: TaskRequest, workers: tuple[WorkerShape, ...]
) -> str:
    if task.gang_size <= 1 or not workers:
        return ""
    fitting = sum(
        _count_fitting(worker.capacity, task.resources) for worker in workers
    )
    if fitting >= task.gang_size:
        return ""
    return (
        f"the gang needs to start {task.gang_size} tasks of "
        f"{_format_resources(task.resources)} at once and "
        f"all workers together have {fitting} places for them; submit a "
        "smaller gang or add workers"
    )


def _exceeds_quota(task: TaskRequest, quota_usage: QuotaUsage) -> str:
    quota = quota_usage.quota(task.entry)
    wanted = task.resources.times(task.gang_size)
    if quota is None or wanted.fits(quota):
        return ""
    for field in RESOURCE_FIELDS:
        need, most = getattr(wanted, field), getattr(quota, field)
        if need > most:
            return (
                f"entry {task.entry} may use {field}={most} at once and the "
                f"task or gang needs {need}; raise limits.{field} to {need}"
            )
    return ""


def _misses_deadline(task: TaskRequest, estimates: Estimates) -> str:
    if not task.deadline_ms:
        return ""
    shortest_ms = estimates.for_entry(task.entry).shortest_ms(task.run_ms)
    left_ms = task.deadline_ms - task.submitted_ms
    if left_ms >= shortest_ms:
        return ""
    return (
        f"the deadline is {left_ms} ms after the submission and the "
        f"shortest run known for entry {task.entry} takes {shortest_ms} ms; "
        "set the deadline at least that far ahead"
    )


def _count_fitting(capacity: Resources, size: Resources) -> int:
    return (
        min(
            getattr(capacity, field) // getattr(size, field)
            for field in RESOURCE_FIELDS
            if getattr(size, field)
        )
        if any(size)
        else 1
    )


def _format_resources(size: Resources) -> str:
    return ", ".join(
        f"{field}={getattr(size, field)}" for field in RESOURCE_FIELDS
    )
