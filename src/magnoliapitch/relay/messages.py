"""Bodies and paths of the calls between instances about jobs."""

from __future__ import annotations

from typing import NamedTuple

from pydantic import TypeAdapter

from magnoliapitch.access import UNRESTRICTED
from magnoliapitch.access import Caller
from magnoliapitch.ledger.state_table import JobState
from magnoliapitch.workload.job import JobSpec


SUBMIT_PATH = "/v1/relay/submit"
CANCEL_PATH = "/v1/relay/cancel"
STATE_PATH = "/v1/relay/state"


class SubmitRequest(NamedTuple):
    """A submission that another instance has received.

    :param timeout_ms: time until that instance needs the answer.
    :param caller: who submits, as that instance has found.
    """

    job: JobSpec
    timeout_ms: int
    caller: Caller = UNRESTRICTED


class JobRequest(NamedTuple):
    """A cancellation or a request for a job's state.

    :param timeout_ms: time until the other instance needs the answer.
    :param caller: who asks, as the other instance has found.
    """

    job_id: str
    timeout_ms: int
    caller: Caller = UNRESTRICTED


class JobReply(NamedTuple):
    """Answer about a job.

    :param exists: whether there is such a job.
    :param state: state of the job, if that was requested.
    """

    exists: bool
    state: JobState | None = None


SUBMIT_REQUEST: TypeAdapter[SubmitRequest] = TypeAdapter(SubmitRequest)
JOB_REQUEST: TypeAdapter[JobRequest] = TypeAdapter(JobRequest)
JOB_REPLY: TypeAdapter[JobReply] = TypeAdapter(JobReply)
