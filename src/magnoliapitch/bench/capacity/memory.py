"""Memory slopes of the state that an entry instance holds."""

from __future__ import annotations

from typing import TYPE_CHECKING

from magnoliapitch.bench.capacity import sample
from magnoliapitch.bench.capacity.registry import memory_slope
from magnoliapitch.decision.registry import make_scheduler
from magnoliapitch.journal import handler as _handler  # noqa: F401
from magnoliapitch.journal.state import ClusterState
from magnoliapitch.journal.state_machine import apply_record


if TYPE_CHECKING:
    from magnoliapitch.journal.record import RecordEntry


BATCH = 100
POLICY = "weighted"


@memory_slope("memory of a catalogue entry", (500, 1_000, 2_000, 4_000))
def catalogue_entries(size: int) -> object:
    """Fold the creation of catalogue entries."""
    return folded([sample.catalogue_put(n) for n in range(size)])


@memory_slope("memory of an open job", (2_000, 4_000, 8_000, 16_000))
def open_jobs(size: int) -> object:
    """Fold submissions of jobs of one task."""
    return folded([sample.job_submit(n) for n in range(size)])


@memory_slope("memory of a member", (100, 200, 400, 800))
def members(size: int) -> object:
    """Fold joins of entry instances."""
    return folded([sample.entry_join(n) for n in range(size)])


@memory_slope("memory of a listed worker", (1_000, 2_000, 4_000, 8_000))
def listed_workers(size: int) -> object:
    """Hold workers as the platform lists them."""
    return {n: sample.worker_info(n) for n in range(size)}


@memory_slope("memory of an owned worker", (100, 200, 400, 800))
def owned_workers(size: int) -> object:
    """Hold workers in a scheduler, with their last views."""
    scheduler = make_scheduler(POLICY)
    for number in range(size):
        scheduler.add_worker(sample.worker_shape(number))
    return scheduler, [sample.worker_view(0) for _ in range(size)]


@memory_slope("memory of a queued task", (2_000, 4_000, 8_000, 16_000))
def queued_tasks(size: int) -> object:
    """Hold tasks in a scheduler's queue."""
    scheduler = make_scheduler(POLICY)
    scheduler.submit(tuple(sample.task_request(n) for n in range(size)))
    return scheduler


def folded(entries: list[RecordEntry]) -> ClusterState:
    """Return the state after the entries, a hundred a record."""
    state = ClusterState()
    for record in sample.log_records(entries, BATCH):
        apply_record(state, record)
    return state
