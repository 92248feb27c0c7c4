"""Memory that the state of an entry instance takes, by number of items.

The functions build state with ``size`` items.
"""

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


ENTRIES_PER_RECORD = 100
SCHEDULING_POLICY = "weighted"


@memory_slope("memory of a catalogue entry", (500, 1_000, 2_000, 4_000))
def catalogue_entries(size: int) -> object:
    """Return the cluster state with catalogue entries."""
    return apply_entries([sample.catalogue_put(n) for n in range(size)])


@memory_slope("memory of an open job", (2_000, 4_000, 8_000, 16_000))
def open_jobs(size: int) -> object:
    """Return the cluster state with open jobs of one task."""
    return apply_entries([sample.job_submit(n) for n in range(size)])


@memory_slope("memory of a member", (100, 200, 400, 800))
def members(size: int) -> object:
    """Return the cluster state with entry instances that joined."""
    return apply_entries([sample.entry_join(n) for n in range(size)])


@memory_slope("memory of a listed worker", (1_000, 2_000, 4_000, 8_000))
def listed_workers(size: int) -> object:
    """Return workers as the platform lists them."""
    return {n: sample.worker_info(n) for n in range(size)}


@memory_slope("memory of an owned worker", (100, 200, 400, 800))
def owned_workers(size: int) -> object:
    """Return a scheduler with workers, and their last views."""
    scheduler = make_scheduler(SCHEDULING_POLICY)
    for number in range(size):
        scheduler.add_worker(sample.worker_shape(number))
    return scheduler, [sample.worker_view(0) for _ in range(size)]


@memory_slope("memory of a queued task", (2_000, 4_000, 8_000, 16_000))
def queued_tasks(size: int) -> object:
    """Return a scheduler with queued tasks."""
    scheduler = make_scheduler(SCHEDULING_POLICY)
    scheduler.submit(tuple(sample.task_request(n) for n in range(size)))
    return scheduler


def apply_entries(entries: list[RecordEntry]) -> ClusterState:
    """Return the state after applying journal entries.

    Each record holds up to ``ENTRIES_PER_RECORD`` of them.
    """
    state = ClusterState()
    for record in sample.log_records(entries, ENTRIES_PER_RECORD):
        apply_record(state, record)
    return state
