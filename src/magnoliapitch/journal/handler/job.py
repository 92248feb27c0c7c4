"""Handlers of job submissions, moves, cancellations and task outcomes."""

from __future__ import annotations

from magnoliapitch.job.spec import TaskOutcome
from magnoliapitch.journal.record import JobCancel
from magnoliapitch.journal.record import JobMove
from magnoliapitch.journal.record import JobSubmit
from magnoliapitch.journal.record import MoveReason
from magnoliapitch.journal.record import TaskEnd
from magnoliapitch.journal.state import Claim
from magnoliapitch.journal.state import ClusterState
from magnoliapitch.journal.state import JobRecord
from magnoliapitch.journal.state_machine import APPLIED
from magnoliapitch.journal.state_machine import RecordEntryOutcome
from magnoliapitch.journal.state_machine import handles
from magnoliapitch.journal.state_machine import rejected


@handles(JobSubmit)
def submit_job(
    state: ClusterState, offset: int, submit: JobSubmit
) -> RecordEntryOutcome:
    """Add a job unless its id is already used."""
    job_id = submit.job.job_id
    if job_id in state.jobs_by_id:
        return rejected(f"job {job_id} already exists")
    job = JobRecord(submit.job, submit.unit, offset)
    state.jobs_by_id[job_id] = job
    _add_open_tasks(state, job, job.open_tasks)
    return APPLIED


@handles(JobMove)
def move_job(
    state: ClusterState,
    offset: int,  # noqa: ARG001
    move: JobMove,
) -> RecordEntryOutcome:
    """Assign a job to another unit.

    The epoch must be that of the current claim on the job's unit. A job
    in a zone that is cut off is only moved if no owner of its unit has a
    heartbeat in the log after the given offset.
    """
    job = state.jobs_by_id.get(move.job_id)
    if job is None or job.unit != move.from_unit:
        return rejected(
            f"job {move.job_id} is not assigned to {move.from_unit}"
        )
    claim = state.claims_by_unit.get(move.from_unit)
    epoch = claim.epoch if claim else 0
    if epoch != move.epoch:
        return rejected(
            f"the current epoch of {move.from_unit} is {epoch}, not "
            f"{move.epoch}"
        )
    if move.reason is MoveReason.ZONE_CUT:
        owner = _owner_present_after(state, claim, move.seen_offset)
        if owner:
            return rejected(
                f"owner {owner} has a heartbeat in the log after offset "
                f"{move.seen_offset}"
            )
    _add_open_tasks(state, job, -job.open_tasks)
    job.unit = move.to_unit
    _add_open_tasks(state, job, job.open_tasks)
    return APPLIED


@handles(JobCancel)
def cancel_job(
    state: ClusterState,
    offset: int,  # noqa: ARG001
    cancel: JobCancel,
) -> RecordEntryOutcome:
    """Cancel a job unless it is done."""
    job = state.jobs_by_id.get(cancel.job_id)
    if job is None:
        return rejected(f"job {cancel.job_id} does not exist")
    if job.is_done:
        return rejected(f"job {cancel.job_id} is already done")
    _add_open_tasks(state, job, -job.open_tasks)
    job.cancelled = True
    return APPLIED


@handles(TaskEnd)
def end_task(
    state: ClusterState,
    offset: int,  # noqa: ARG001
    end: TaskEnd,
) -> RecordEntryOutcome:
    """Record the outcome of the current attempt of a task."""
    job = state.jobs_by_id.get(end.job_id)
    if job is None or not 0 <= end.task < job.spec.tasks:
        return rejected(f"task {end.job_id}/{end.task} does not exist")
    if end.attempt != job.attempts_by_task.get(end.task, 0):
        return rejected(
            f"attempt {end.attempt} of task {end.job_id}/{end.task} is not "
            "the current one"
        )
    if job.ended_by_task.get(end.task) is TaskOutcome.FINISHED:
        return rejected(f"task {end.job_id}/{end.task} is already finished")
    job.attempts_by_task[end.task] = end.attempt + 1
    job.ended_by_task[end.task] = end.outcome
    if end.outcome is TaskOutcome.FINISHED:
        _add_open_tasks(state, job, -min(job.open_tasks, 1))
        job.finished_tasks += 1
    return APPLIED


def _owner_present_after(
    state: ClusterState, claim: Claim | None, offset: int
) -> str:
    """Return an owner with a heartbeat in the log after an offset.

    Earlier owners that may still act as the owner count too.

    :return: its incarnation; empty if there is none.
    """
    if claim is None:
        return ""
    for incarnation in (claim.incarnation, *claim.predecessors):
        member = state.members_by_incarnation.get(incarnation)
        if member is not None and member.presence_offset > offset:
            return incarnation
    return ""


def _add_open_tasks(state: ClusterState, job: JobRecord, change: int) -> None:
    """Add to the open tasks of a job's unit and catalogue entry."""
    _add_count(state.open_tasks_by_unit, job.unit, change)
    _add_count(state.open_tasks_by_entry, job.spec.entry, change)


def _add_count(count_by_name: dict[str, int], name: str, change: int) -> None:
    """Add to the count of a name; remove the name at 0."""
    count = count_by_name.get(name, 0) + change
    if count:
        count_by_name[name] = count
    else:
        count_by_name.pop(name, None)
