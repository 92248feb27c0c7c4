"""Slopes of writing and loading snapshots of the fold."""

from __future__ import annotations

from typing import TYPE_CHECKING

from magnoliapitch.bench.capacity import sample
from magnoliapitch.bench.capacity.memory import folded
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
    """Encode the records of a snapshot of open jobs."""
    parts = split_snapshot(take_snapshot(_jobs(size)))
    return float(
        sum(len(encode_record((part,), sample.WRITER, 1)) for part in parts)
    )


@processor_slope("processor time of a snapshot, by jobs", SIZES)
def taking(size: int) -> Callable[[], object]:
    """Take a snapshot of open jobs."""
    state = _jobs(size)
    return lambda: take_snapshot(state)


@processor_slope("processor time of loading a snapshot, by jobs", SIZES)
def loading(size: int) -> Callable[[], object]:
    """Load a snapshot of open jobs."""
    snapshot = take_snapshot(_jobs(size))
    return lambda: load_snapshot(snapshot)


def _jobs(size: int) -> ClusterState:
    return folded([sample.job_submit(number) for number in range(size)])
