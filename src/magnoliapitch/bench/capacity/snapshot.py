"""Cost of taking and loading snapshots, by number of open jobs."""

from __future__ import annotations

from typing import TYPE_CHECKING

from magnoliapitch.bench.capacity import sample
from magnoliapitch.bench.capacity.memory import apply_entries
from magnoliapitch.bench.capacity.registry import processor_slope
from magnoliapitch.bench.capacity.registry import size_slope
from magnoliapitch.journal.codec import encode_record
from magnoliapitch.journal.snapshot import load_snapshot
from magnoliapitch.journal.snapshot import split_snapshot
from magnoliapitch.journal.snapshot import take_snapshot


if TYPE_CHECKING:
    from collections.abc import Callable

    from magnoliapitch.journal.state import ClusterState


SIZES = (1_000, 2_000, 4_000, 8_000)


@size_slope("bytes of a snapshot, by jobs", SIZES)
def snapshot_bytes(size: int) -> float:
    """Return the size of the records that hold a snapshot of open jobs."""
    parts = split_snapshot(take_snapshot(_state_with_open_jobs(size)))
    return float(
        sum(len(encode_record((part,), sample.WRITER, 1)) for part in parts)
    )


@processor_slope("processor time of a snapshot, by jobs", SIZES)
def taking_snapshots(size: int) -> Callable[[], object]:
    """Prepare taking a snapshot of open jobs."""
    state = _state_with_open_jobs(size)
    return lambda: take_snapshot(state)


@processor_slope("processor time of loading a snapshot, by jobs", SIZES)
def loading_snapshots(size: int) -> Callable[[], object]:
    """Prepare loading a snapshot of open jobs."""
    snapshot = take_snapshot(_state_with_open_jobs(size))
    return lambda: load_snapshot(snapshot)


def _state_with_open_jobs(size: int) -> ClusterState:
    return apply_entries([sample.job_submit(number) for number in range(size)])
