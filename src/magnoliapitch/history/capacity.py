"""Invariant: no worker ever runs more than its capacity."""

from __future__ import annotations

from typing import TYPE_CHECKING

from magnoliapitch.history.event import Violation
from magnoliapitch.history.event import WorkerCapacityReported
from magnoliapitch.history.interval import running_intervals
from magnoliapitch.history.registry import invariant
from magnoliapitch.resource import NO_RESOURCES
from magnoliapitch.resource import Resources


if TYPE_CHECKING:
    from collections.abc import Iterator
    from collections.abc import Sequence

    from magnoliapitch.history.event import Event


@invariant("capacity")
def check_capacity(events: Sequence[Event]) -> Iterator[Violation]:
    """Yield each start of a task that exceeds its worker's capacity."""
    capacity_by_worker = {
        event.worker_id: event.capacity
        for event in events
        if isinstance(event, WorkerCapacityReported)
    }
    changes: list[tuple[int, int, str, Resources]] = []
    for run in running_intervals(events):
        if run.end_ms > run.start_ms:
            changes.append((run.start_ms, 1, run.worker_id, run.resources))
            changes.append((run.end_ms, 0, run.worker_id, run.resources))
    used_by_worker: dict[str, Resources] = {}
    for at_ms, is_start, worker_id, resources in sorted(changes):
        used = used_by_worker.get(worker_id, NO_RESOURCES)
        used = used.plus(resources) if is_start else used.minus(resources)
        used_by_worker[worker_id] = used
        capacity = capacity_by_worker.get(worker_id, NO_RESOURCES)
        if is_start and not used.fits(capacity):
            detail = (
                f"{worker_id} runs tasks of {used}, but its capacity is "
                f"{capacity}"
            )
            yield Violation("capacity", at_ms, detail)
