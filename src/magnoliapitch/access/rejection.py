"""Failures of calls without access, with their log line and counter."""

from __future__ import annotations

from typing import TYPE_CHECKING

from magnoliapitch.access.credentials import rejected_credential
from magnoliapitch.event import log_event
from magnoliapitch.verdict import FailureCode
from magnoliapitch.verdict import not_run


if TYPE_CHECKING:
    from magnoliapitch.access.caller import Caller
    from magnoliapitch.metric import Metrics
    from magnoliapitch.verdict import Failure
    from magnoliapitch.workload.configuration import Queue


# An unauthenticated caller chooses the path, which may fill the header.
MAX_LOGGED_PATH_CHARS = 128


def unauthenticated_failure(
    queue: Queue, path: str, authorization: str, metrics: Metrics
) -> Failure:
    """Return the failure of a call without a known key, and log it."""
    code = FailureCode.UNAUTHENTICATED
    metrics.count("calls_rejected", code.value)
    log_event(
        "call-rejected",
        code=code.value,
        queue=queue.name,
        path=path[:MAX_LOGGED_PATH_CHARS],
        credential=rejected_credential(authorization).value,
    )
    detail = f"queue {queue.name} requires a known API key"
    return not_run(code, detail)


def forbidden_failure(
    call: str,
    job_id: str,
    caller: Caller,
    job_workspace: str,
    metrics: Metrics,
) -> Failure:
    """Return the failure of a call for another workspace's job, and log it.

    :param call: name of the operation.
    """
    code = FailureCode.FORBIDDEN
    metrics.count("calls_rejected", code.value)
    log_event(
        "call-rejected",
        code=code.value,
        call=call,
        job=job_id,
        workspace=caller.workspace,
        job_workspace=job_workspace,
    )
    return not_run(code, f"job {job_id} belongs to another workspace")
