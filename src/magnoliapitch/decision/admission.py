"""Tells what can never run, and what would make it possible."""

from __future__ import annotations

from typing import TYPE_CHECKING

from magnoliapitch.resource import Resources


if TYPE_CHECKING:
    from magnoliapitch.decision.quota_usage import Accounts
    from magnoliapitch.decision.estimate import Estimates
    from magnoliapitch.decision.interface import TaskRequest
    from magnoliapitch.decision.interface import WorkerShape


PARTS = ("cpu_millis", "memory_mb", "accelerators")


def refusal_of(
    task: TaskRequest,
    fleet: tuple[WorkerShape, ...],
    accounts: Accounts,
    estimates: Estimates,
) -> str:
    """Return why a task can never run, or ''.

    It depends on the fleet, the catalogue and what was learned, so it is
    asked again whenever these change.
    """
    return (
        _too_large(task, fleet)
        or _too_many(task, fleet)
        or _over_quota(task, accounts)
        or _too_late(task, estimates)
    )


def _too_large(task: TaskRequest, fleet: tuple[WorkerShape, ...]) -> str:
    size = task.resources
    if not fleet or any(size.fits(worker.capacity) for worker in fleet):
        return ""
    largest = Resources(
        *(
            max(getattr(item.capacity, part) for item in fleet)
            for part in PARTS
        )
    )
    for part in PARTS:
        wanted, most = getattr(size, part), getattr(largest, part)
        if wanted > most:
            return (
                f"a task needs {part}={wanted} and the largest worker has "
                f"{most}; declare at most {most} or add a larger worker"
            )
    return (
        f"no single worker has {_text(size)} together; declare less of one "
        "part or add a larger worker"
    )


def _too_many(task: TaskRequest, fleet: tuple[WorkerShape, ...]) -> str:
    if task.gang_size <= 1 or not fleet:
        return ""
    seats = sum(_seats(worker.capacity, task.resources) for worker in fleet)
    if seats >= task.gang_size:
        return ""
    return (
        f"the gang needs {task.gang_size} places of {_text(task.resources)} "
        f"at once and all workers together have {seats}; submit a smaller "
        "gang or add workers"
    )


def _over_quota(task: TaskRequest, accounts: Accounts) -> str:
    quota = accounts.quota(task.entry)
    wanted = task.resources.times(task.gang_size)
    if quota is None or wanted.fits(quota):
        return ""
    for part in PARTS:
        need, most = getattr(wanted, part), getattr(quota, part)
        if need > most:
            return (
                f"entry {task.entry} may use {part}={most} at once and this "
                f"needs {need}; raise limits.{part} to {need}"
            )
    return ""


def _too_late(task: TaskRequest, estimates: Estimates) -> str:
    if not task.deadline_ms:
        return ""
    shortest_ms = estimates.of(task.entry).shortest_ms(task.run_ms)
    left_ms = task.deadline_ms - task.submitted_ms
    if left_ms >= shortest_ms:
        return ""
    return (
        f"the deadline is {left_ms} ms away and the shortest run known for "
        f"entry {task.entry} takes {shortest_ms} ms; allow at least that"
    )


def _seats(capacity: Resources, size: Resources) -> int:
    return (
        min(
            getattr(capacity, part) // getattr(size, part)
            for part in PARTS
            if getattr(size, part)
        )
        if any(size)
        else 1
    )


def _text(size: Resources) -> str:
    return ", ".join(f"{part}={getattr(size, part)}" for part in PARTS)
