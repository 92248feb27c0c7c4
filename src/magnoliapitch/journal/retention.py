"""What the state forgets, by offsets alone.

Clocks differ between instances, so every rule counts log records: two
instances at the same offset have forgotten the same.
"""

from __future__ import annotations

from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from magnoliapitch.journal.state import ClusterState


EXPIRE_RECORDS = 1_000
WRITER_RECORDS = 200_000
MEMBER_RECORDS = 200_000
JOB_RECORDS = 200_000
INTENT_RECORDS = 200_000
PROGRESS_RECORDS = 10_000
INTENTS_MAX = 200_000
DELETED_NAMES_MAX = 10_000


def expire(state: ClusterState) -> None:
    """Forget what is old enough, once in ``EXPIRE_RECORDS`` records."""
    if state.next_offset % EXPIRE_RECORDS:
        return
    _expire_writers(state)
    _expire_members(state)
    _expire_jobs(state)
    _expire_intents(state)
    _expire_names(state)
    _expire_progress(state)


def _expire_writers(state: ClusterState) -> None:
    bound = state.next_offset - WRITER_RECORDS
    for writer, mark in tuple(state.marks_by_writer.items()):
        if mark.offset < bound:
            del state.marks_by_writer[writer]


def _expire_members(state: ClusterState) -> None:
    bound = state.next_offset - MEMBER_RECORDS
    owners = {claim.incarnation for claim in state.claims_by_unit.values()}
    for incarnation, member in tuple(state.members_by_incarnation.items()):
        is_old = member.left and member.presence_offset < bound
        if is_old and incarnation not in owners:
            del state.members_by_incarnation[incarnation]


def _expire_jobs(state: ClusterState) -> None:
    bound = state.next_offset - JOB_RECORDS
    for job_id, job in tuple(state.jobs_by_id.items()):
        if not job.is_done:
            job.done_offset = -1
        elif job.done_offset < 0:
            job.done_offset = state.next_offset
        elif job.done_offset < bound:
            del state.jobs_by_id[job_id]


def _expire_intents(state: ClusterState) -> None:
    bound = state.next_offset - INTENT_RECORDS
    for key, offset in tuple(state.intent_offset_by_key.items()):
        if offset >= bound:
            return
        del state.intent_offset_by_key[key]
        state.intents_by_key.pop(key, None)


def _expire_names(state: ClusterState) -> None:
    """Forget the oldest deleted names; their versions stay below a floor."""
    deleted = [
        name
        for name in state.last_version_by_name
        if name not in state.catalogue_by_name
    ]
    for name in deleted[: max(len(deleted) - DELETED_NAMES_MAX, 0)]:
        version = state.last_version_by_name.pop(name)
        state.version_floor = max(state.version_floor, version)


def _expire_progress(state: ClusterState) -> None:
    bound = state.next_offset - PROGRESS_RECORDS
    for key, progress in tuple(state.progress_by_snapshot.items()):
        if progress.record_offset < bound:
            del state.progress_by_snapshot[key]
