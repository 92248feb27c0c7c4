"""Job specifications, and lease ids of the attempts of their tasks."""

from __future__ import annotations

import re

from enum import StrEnum
from typing import Annotated
from typing import NamedTuple

from pydantic import AfterValidator
from pydantic import Field

from magnoliapitch.resource import Resources


JOB_ID_PATTERN = r"[A-Za-z0-9._-]{1,128}"

RESOURCE_AMOUNT_MAX = 10**9

_LEASE_ID = re.compile(rf"({JOB_ID_PATTERN})/([0-9]+)/([0-9]+)")


def _check_resources(resources: Resources) -> Resources:
    if min(resources) < 0 or max(resources) > RESOURCE_AMOUNT_MAX:
        raise ValueError(
            f"each amount must be from 0 to {RESOURCE_AMOUNT_MAX}"
        )
    return resources


TaskResources = Annotated[Resources, AfterValidator(_check_resources)]
JobId = Annotated[str, Field(pattern=rf"^{JOB_ID_PATTERN}$")]


class JobSpec(NamedTuple):
    """A job as accepted from a caller.

    :param job_id: unique id; submitting the same id again is idempotent.
    :param entry: catalogue entry that the job belongs to.
    :param tasks: number of identical tasks.
    :param resources: resources that each task reserves.
    :param run_ms: expected run time of each task, in milliseconds.
    :param deadline_ms: time from submission within which the job should
        complete, in milliseconds; 0 means no deadline.
    :param payload: opaque input of every task.
    """

    job_id: JobId
    entry: str
    tasks: Annotated[int, Field(ge=1, le=100_000)]
    resources: TaskResources
    run_ms: Annotated[int, Field(ge=1)] = 60_000
    deadline_ms: Annotated[int, Field(ge=0)] = 0
    payload: str = ""


class TaskOutcome(StrEnum):
    """How one attempt of a task ended.

    - ``LOST``: it never started, or its lease ended without a result.
    """

    FINISHED = "finished"
    FAILED = "failed"
    LOST = "lost"
    CANCELLED = "cancelled"


class AttemptKey(NamedTuple):
    """Identity of one attempt of one task of a job.

    :param task: number of the task in its job, from 0.
    :param attempt: number of the attempt, from 0.
    """

    job_id: str
    task: int
    attempt: int


def lease_id_of(key: AttemptKey) -> str:
    """Return the id of the lease under which an attempt runs."""
    return f"{key.job_id}/{key.task}/{key.attempt}"


def parse_lease_id(lease_id: str) -> AttemptKey | None:
    """Return the attempt of a lease id, ``None`` if it names no attempt."""
    match = _LEASE_ID.fullmatch(lease_id)
    if match is None:
        return None
    return AttemptKey(match[1], int(match[2]), int(match[3]))
