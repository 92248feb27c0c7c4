"""Applies submissions, moves, cancellations and ends of jobs."""

from __future__ import annotations

from magnoliapitch.job.spec import TaskOutcome
from magnoliapitch.journal.state_machine import APPLIED
from magnoliapitch.journal.state_machine import EntryOutcome
from magnoliapitch.journal.state_machine import handles
from magnoliapitch.journal.state_machine import rejected
from magnoliapitch.journal.record import JobCancel
from magnoliapitch.journal.record import JobMove
from magnoliapitch.journal.record import JobSubmit
from magnoliapitch.journal.record import MoveReason
from magnoliapitch.journal.record import TaskEnd
from magnoliapitch.journal.state import Claim
from magnoliapitch.journal.state import ClusterState
from magnoliapitch.journal.state import JobRecord


@handles(JobSubmit)
def submit(
    state: ClusterState, offset: int, submit: JobSubmit
) -> EntryOutcome:
    """Accept a job; the first submission of an id wins."""
    job_id = submit.job.job_id
    if job_id in state.jobs_by_id:
        return rejected(f"job {job_id} exists")
    job = JobRecord(submit.job, submit.unit, offset)
    state.jobs_by_id[job_id] = job
    _count(state, job, job.open_tasks)
    return APPLIED


@handles(JobMove)
def move(
    state: ClusterState,
    offset: int,  # noqa: ARG001
    move: JobMove,
) -> EntryOutcome:
    """Assign a job to another unit if the mover owns the current one."""
    job = state.jobs_by_id.get(move.job_id)
    if job is None or job.unit != move.from_unit:
        return rejected(f"job {move.job_id} is not at {move.from_unit}")
    claim = state.claims_by_unit.get(move.from_unit)
    epoch = claim.epoch if claim else 0
    if epoch != move.epoch:
        return rejected(f"epoch of {move.from_unit} is {epoch}")
    if move.reason is MoveReason.ZONE_CUT:
        holder = _present_holder(state, claim, move.seen_offset)
        if holder:
            return rejected(f"{holder} has shown its presence")
    _count(state, job, -job.open_tasks)
    job.unit = move.to_unit
    _count(state, job, job.open_tasks)
    return APPLIED


@handles(JobCancel)
def cancel(
    state: ClusterState,
    offset: int,  # noqa: ARG001
    cancel: JobCancel,
) -> EntryOutcome:
    """Cancel a job that has not finished."""
    job = state.jobs_by_id.get(cancel.job_id)
    if job is None:
        return rejected(f"no job {cancel.job_id}")
    if job.is_done:
        return rejected(f"job {cancel.job_id} has ended")
    _count(state, job, -job.open_tasks)
    job.cancelled = True
    return APPLIED


@handles(TaskEnd)
def end_task(
    state: ClusterState,
    offset: int,  # noqa: ARG001
    end: TaskEnd,
) -> EntryOutcome:
    """Record the end of an attempt once."""
    job = state.jobs_by_id.get(end.job_id)
    if job is None or not 0 <= end.task < job.spec.tasks:
        return rejected(f"no task {end.job_id}/{end.task}")
    if end.attempt != job.attempts_by_task.get(end.task, 0):
        return rejected(f"attempt {end.attempt} is not the current one")
    if job.ended_by_task.get(end.task) is TaskOutcome.FINISHED:
        return rejected(f"task {end.job_id}/{end.task} has finished")
    job.attempts_by_task[end.task] = end.attempt + 1
    job.ended_by_task[end.task] = end.outcome
    if end.outcome is TaskOutcome.FINISHED:
        _count(state, job, -min(job.open_tasks, 1))
        job.finished_tasks += 1
    return APPLIED


def _present_holder(
    state: ClusterState, claim: Claim | None, offset: int
) -> str:
    """Return an owner that has shown its presence after an offset."""
    if claim is None:
        return ""
    for incarnation in (claim.incarnation, *claim.predecessors):
        member = state.members_by_incarnation.get(incarnation)
        if member is not None and member.presence_offset > offset:
            return incarnation
    return ""


def _count(state: ClusterState, job: JobRecord, change: int) -> None:
    """Add to the open tasks of a job's unit and entry."""
    _add(state.open_tasks_by_unit, job.unit, change)
    _add(state.open_tasks_by_entry, job.spec.entry, change)


def _add(count_by_name: dict[str, int], name: str, change: int) -> None:
    count = count_by_name.get(name, 0) + change
    if count:
        count_by_name[name] = count
    else:
        count_by_name.pop(name, None)
