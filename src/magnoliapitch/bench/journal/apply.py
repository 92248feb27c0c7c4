"""Speed of applying journal records and cost of snapshots."""

from __future__ import annotations

import time

from typing import NamedTuple

from magnoliapitch.catalogue.entry import CatalogueEntry
from magnoliapitch.catalogue.entry import WorkClass
from magnoliapitch.job.spec import JobSpec
from magnoliapitch.job.spec import TaskOutcome
from magnoliapitch.journal import ClusterState
from magnoliapitch.journal import apply_record
from magnoliapitch.journal import encode_record
from magnoliapitch.journal import journal as _journal  # noqa: F401
from magnoliapitch.journal.log import LogRecord
from magnoliapitch.journal.record import CataloguePut
from magnoliapitch.journal.record import JobSubmit
from magnoliapitch.journal.record import TaskEnd
from magnoliapitch.journal.snapshot import encode_state
from magnoliapitch.journal.snapshot import load_snapshot
from magnoliapitch.journal.snapshot import take_snapshot
from magnoliapitch.resource import Resources


class ApplyFigures(NamedTuple):
    """Speed of applying records to the cluster state.

    :param records_per_s: applied records.
    :param entries_per_s: applied entries; a record holds one or more.
    :param entry_bytes: mean encoded size of an entry.
    """

    records_per_s: float
    entries_per_s: float
    entry_bytes: float


class SnapshotFigures(NamedTuple):
    """Cost of one snapshot.

    :param state_bytes: size of the encoded state before compression.
    :param snapshot_bytes: size of the snapshot.
    :param encode_ms: time to take the snapshot.
    :param decode_ms: time to load it.
    """

    state_bytes: int
    snapshot_bytes: int
    encode_ms: float
    decode_ms: float


def measure_apply(jobs: int, entries_per_record: int) -> ApplyFigures:
    """Apply the submission and the end of jobs of one task.

    :param jobs: number of jobs.
    :param entries_per_record: entries encoded in one record.
    """
    entries: list[JobSubmit | TaskEnd] = []
    for number in range(jobs):
        entries.append(JobSubmit(_job_spec(number), "rack"))
        entries.append(TaskEnd(_job_id(number), 0, 0, TaskOutcome.FINISHED))
    records = [
        encode_record(
            tuple(entries[start : start + entries_per_record]),
            "writer",
            start + 1,
            0,
        )
        for start in range(0, len(entries), entries_per_record)
    ]
    state = ClusterState()
    started_s = time.perf_counter()
    for offset, data in enumerate(records):
        apply_record(state, LogRecord(offset, data))
    elapsed_s = time.perf_counter() - started_s
    return ApplyFigures(
        len(records) / elapsed_s,
        len(entries) / elapsed_s,
        sum(map(len, records)) / len(entries),
    )


def measure_snapshot(jobs: int, catalogue_entries: int) -> SnapshotFigures:
    """Take and load a snapshot of open jobs and catalogue entries.

    :param jobs: number of open jobs.
    :param catalogue_entries: number of catalogue entries.
    :raises ValueError: if the loaded state differs from the original.
    """
    state = make_state(jobs, catalogue_entries)
    started_s = time.perf_counter()
    snapshot = take_snapshot(state)
    encoded_s = time.perf_counter()
    loaded_state = load_snapshot(snapshot)
    decoded_s = time.perf_counter()
    if loaded_state != state:
        raise ValueError(
            "the state loaded from a snapshot differs from the original state"
        )
    return SnapshotFigures(
        len(encode_state(state)),
        len(snapshot.state),
        (encoded_s - started_s) * 1000,
        (decoded_s - encoded_s) * 1000,
    )


def make_state(jobs: int, catalogue_entries: int) -> ClusterState:
    """Return a state with open jobs and catalogue entries.

    Each of them is applied from a record of its own.
    """
    state = ClusterState()
    for number in range(catalogue_entries):
        entry = CatalogueEntry(f"entry-{number}", "clubs", WorkClass.BATCH)
        _apply_next(state, encode_record((CataloguePut(entry, 0),)))
    for number in range(jobs):
        _apply_next(
            state, encode_record((JobSubmit(_job_spec(number), "rack"),))
        )
    return state


def _apply_next(state: ClusterState, data: bytes) -> None:
    apply_record(state, LogRecord(state.next_offset, data))


def _job_spec(number: int) -> JobSpec:
    return JobSpec(_job_id(number), "term-roster", 1, Resources(1_000, 2_048))


def _job_id(number: int) -> str:
    return f"{number * 2_654_435_761 % 2**64:016x}"
