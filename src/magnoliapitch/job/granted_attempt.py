"""Attempts known only from the leases that workers report."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

from magnoliapitch.catalogue.entry import WorkClass
from magnoliapitch.decision.interface import TaskRequest
from magnoliapitch.job.attempt import Attempt
from magnoliapitch.job.spec import parse_lease_id


if TYPE_CHECKING:
    from magnoliapitch.job.channel import WorkerChannel
    from magnoliapitch.job.spec import AttemptKey
    from magnoliapitch.journal.journal import Journal
    from magnoliapitch.journal.state import JobRecord
    from magnoliapitch.worker.lease import LeaseView


class GrantedAttempt(NamedTuple):
    """Attempt of a lease that a worker has reported.

    :param is_obsolete: whether its end needs no record any more.
    """

    attempt: Attempt
    is_obsolete: bool


def find_granted_attempt(
    journal: Journal, channel: WorkerChannel, lease: LeaseView, now_ms: int
) -> GrantedAttempt | None:
    """Return the attempt of a lease, from the records of the journal.

    :param lease: lease that the channel's worker has reported.
    :param now_ms: local monotonic time, in milliseconds.
    :return: None if the lease is not that of a task.
    """
    attempt_key = parse_lease_id(lease.lease_id)
    if attempt_key is None:
        return None
    with journal.locked_state() as state:
        job = state.jobs_by_id.get(attempt_key.job_id)
        versioned_entry = state.catalogue_by_name.get(lease.entry)
    entry = versioned_entry.entry if versioned_entry else None
    request = TaskRequest(
        lease.lease_id,
        attempt_key.job_id,
        lease.entry,
        entry.owner if entry else "",
        entry.work_class if entry else WorkClass.BATCH,
        lease.resources,
        job.spec.run_ms if job else 1,
        now_ms,
    )
    worker_id = channel.worker.instance_id
    return GrantedAttempt(
        Attempt(attempt_key, request, worker_id, lease.resources),
        is_obsolete(job, attempt_key, channel),
    )


def is_obsolete(
    job: JobRecord | None, attempt_key: AttemptKey, channel: WorkerChannel
) -> bool:
    """Return whether the end of an attempt needs no record any more.

    That is so if its job has ended or belongs to another rack, or if the end
    is recorded.

    :param job: record of its job, None if there is none any more.
    :param channel: channel of the worker that it is on.
    """
    if job is None or job.is_done or job.unit != channel.worker.unit:
        return True
    return attempt_key.attempt < job.attempts_by_task.get(attempt_key.task, 0)
