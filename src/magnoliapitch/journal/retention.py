"""Expiry of old parts of the replicated state.

Ages are counted in log records, not in time: clocks differ between
instances, and instances at the same offset must hold the same state.
"""

from __future__ import annotations

from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from magnoliapitch.journal.state import ClusterState


EXPIRY_INTERVAL_RECORDS = 1_000
WRITER_RETENTION_RECORDS = 200_000
MEMBER_RETENTION_RECORDS = 200_000
JOB_RETENTION_RECORDS = 200_000
INTENT_RETENTION_RECORDS = 200_000
SNAPSHOT_PROGRESS_RETENTION_RECORDS = 10_000
MAX_INTENTS = 200_000
MAX_DELETED_NAMES = 10_000


def expire(state: ClusterState) -> None:
    """Remove what has expired, every ``EXPIRY_INTERVAL_RECORDS`` records."""
    if state.next_offset % EXPIRY_INTERVAL_RECORDS:
        return
    _expire_writers(state)
    _expire_members(state)
    _expire_jobs(state)
    _expire_intents(state)
    _expire_deleted_names(state)
    _expire_snapshot_progress(state)


def _expire_writers(state: ClusterState) -> None:
    min_offset = state.next_offset - WRITER_RETENTION_RECORDS
    for writer, mark in tuple(state.marks_by_writer.items()):
        if mark.offset < min_offset:
            del state.marks_by_writer[writer]


def _expire_members(state: ClusterState) -> None:
    min_offset = state.next_offset - MEMBER_RETENTION_RECORDS
    owners = {claim.incarnation for claim in state.claims_by_unit.values()}
    for incarnation, member in tuple(state.members_by_incarnation.items()):
        is_expired = member.left and member.presence_offset < min_offset
        if is_expired and incarnation not in owners:
            del state.members_by_incarnation[incarnation]


def _expire_jobs(state: ClusterState) -> None:
    """Remove jobs that were found done long enough ago."""
    min_offset = state.next_offset - JOB_RETENTION_RECORDS
    for job_id, job in tuple(state.jobs_by_id.items()):
        if not job.is_done:
            job.done_offset = -1
        elif job.done_offset < 0:
            job.done_offset = state.next_offset
        elif job.done_offset < min_offset:
            del state.jobs_by_id[job_id]


def _expire_intents(state: ClusterState) -> None:
    min_offset = state.next_offset - INTENT_RETENTION_RECORDS
    for key, offset in tuple(state.intent_offset_by_key.items()):
        if offset >= min_offset:
            return
        del state.intent_offset_by_key[key]
        state.intents_by_key.pop(key, None)


def _expire_deleted_names(state: ClusterState) -> None:
    """Remove the names deleted first if there are too many.

    A name that is created again continues from ``version_floor``, so that
    it never repeats a version.
    """
    deleted = [
        name
        for name in state.last_version_by_name
        if name not in state.catalogue_by_name
    ]
    for name in deleted[: max(len(deleted) - MAX_DELETED_NAMES, 0)]:
        version = state.last_version_by_name.pop(name)
        state.version_floor = max(state.version_floor, version)


def _expire_snapshot_progress(state: ClusterState) -> None:
    min_offset = state.next_offset - SNAPSHOT_PROGRESS_RETENTION_RECORDS
    for key, progress in tuple(state.progress_by_snapshot.items()):
        if progress.record_offset < min_offset:
            del state.progress_by_snapshot[key]
