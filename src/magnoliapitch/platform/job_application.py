"""HTTP application for the platform's calls about jobs."""

from __future__ import annotations

import time

from typing import TYPE_CHECKING
from typing import Any

from result import Err

from magnoliapitch.http import Application
from magnoliapitch.http import HttpRequest
from magnoliapitch.http import HttpResponse
from magnoliapitch.http import LargeBodies
from magnoliapitch.http import json_response
from magnoliapitch.http import problem_response
from magnoliapitch.platform.configuration import decode_resources
from magnoliapitch.verdict import Failure
from magnoliapitch.verdict import FailureCode
from magnoliapitch.verdict import Verdict
from magnoliapitch.verdict import not_run
from magnoliapitch.workload.configuration import QueueSnapshot
from magnoliapitch.workload.job import JobSpec
from magnoliapitch.workload.job import StepSpec
from magnoliapitch.workload.job_check import MAX_TASKS_PER_JOB
from magnoliapitch.workload.job_check import check_job


if TYPE_CHECKING:
    from magnoliapitch.access import AccessGate
    from magnoliapitch.access import Caller
    from magnoliapitch.access import Grant
    from magnoliapitch.relay import RelayedJobs
    from magnoliapitch.workload.configuration import Queue


DEADLINE_HEADER = "x-magnoliapitch-deadline-ms"
MAX_JOB_ID_CHARS = 64
MAX_HEADER_DIGITS = 9
STATUS_GONE = 410
# A deeply nested body can exceed the recursion limit.
_DECODE_ERRORS = (
    ValueError,
    KeyError,
    TypeError,
    AttributeError,
    ArithmeticError,
    RecursionError,
)


def job_application(
    jobs: RelayedJobs, gate: AccessGate, body_max_bytes: int
) -> Application:
    """Build the HTTP application that callers of the platform use.

    :param gate: decides which calls are allowed.
    :param body_max_bytes: largest accepted request body.
    """
    return _JobApplication(jobs, gate, body_max_bytes)


class _JobApplication(Application):
    def __init__(
        self, jobs: RelayedJobs, gate: AccessGate, body_max_bytes: int
    ) -> None:
        super().__init__(body_max_bytes, jobs.is_closing, LargeBodies())
        self._jobs = jobs
        self._gate = gate

    def handle(self, request: HttpRequest) -> HttpResponse:
        decision = self._gate.decide(
            request.headers_by_name.get("host", "").partition(":")[0],
            request.path,
            request.headers_by_name.get("authorization", ""),
        )
        if isinstance(decision, Err):
            return _failure_response(decision.err_value)
        grant = decision.ok_value
        job_id = request.path[len(grant.queue.path_prefix) :]
        if not job_id:
            pending = self._jobs.pending(grant.queue)
            return json_response({"pending-jobs": pending})
        return self._handle_job(request, grant, job_id)

    def _handle_job(
        self, request: HttpRequest, grant: Grant, job_id: str
    ) -> HttpResponse:
        timeout_ms = _timeout_ms(request, grant.queue)
        if request.method == "POST":
            return self._submit(request, grant, job_id, timeout_ms)
        if request.method == "GET":
            return self._state(job_id, timeout_ms, grant.caller)
        if request.method == "DELETE":
            return self._cancel(job_id, timeout_ms, grant.caller)
        return _failure_response(
            not_run(
                FailureCode.INVALID,
                f"method {request.method} is not supported; use POST, GET or "
                "DELETE",
            )
        )

    def _submit(
        self, request: HttpRequest, grant: Grant, job_id: str, timeout_ms: int
    ) -> HttpResponse:
        try:
            job = _decode_job(request.json(), grant, job_id)
        except _DECODE_ERRORS as error:
            detail = f"the job cannot be read: {error!r}"
            return _failure_response(not_run(FailureCode.INVALID, detail))
        outcome = self._jobs.submit(job, timeout_ms, grant.caller)
        if isinstance(outcome, Err):
            return _failure_response(outcome.err_value)
        return HttpResponse(200, b"{}")

    def _state(
        self, job_id: str, timeout_ms: int, caller: Caller
    ) -> HttpResponse:
        outcome = self._jobs.state(job_id, timeout_ms, caller)
        if isinstance(outcome, Err):
            return _failure_response(outcome.err_value)
        if outcome.ok_value is None:
            return HttpResponse(STATUS_GONE, b"{}")
        return json_response({"state": outcome.ok_value.value})

    def _cancel(
        self, job_id: str, timeout_ms: int, caller: Caller
    ) -> HttpResponse:
        outcome = self._jobs.cancel(job_id, timeout_ms, caller)
        if isinstance(outcome, Err):
            return _failure_response(outcome.err_value)
        return HttpResponse(200 if outcome.ok_value else STATUS_GONE, b"{}")


def _failure_response(failure: Failure) -> HttpResponse:
    status = None
    if failure.verdict is Verdict.MAY_HAVE_RUN:
        status = 504
    elif failure.code in (FailureCode.OVERLOADED, FailureCode.IMPOSSIBLE):
        status = 429
    return problem_response(failure, status=status)


def _timeout_ms(request: HttpRequest, queue: Queue) -> int:
    header_value = request.headers_by_name.get(DEADLINE_HEADER, "")
    # Other scripts have digits that cannot be converted.
    if not header_value.isascii() or not header_value.isdigit():
        return queue.timeout_ms
    if len(header_value) > MAX_HEADER_DIGITS:
        return queue.timeout_ms
    return min(int(header_value), queue.timeout_ms)


def _decode_job(body: Any, grant: Grant, job_id: str) -> JobSpec:
    if not job_id.isalnum() or len(job_id) > MAX_JOB_ID_CHARS:
        raise ValueError(
            f"job id {job_id!r} must have 1 to {MAX_JOB_ID_CHARS} letters and "
            "digits"
        )
    # Each step has a task at least.
    if len(body["steps"]) > MAX_TASKS_PER_JOB:
        raise ValueError(
            f"the job has {len(body['steps'])} steps; at most "
            f"{MAX_TASKS_PER_JOB} tasks are allowed"
        )
    steps = tuple(_decode_step(step) for step in body["steps"])
    job = JobSpec(
        job_id,
        grant.queue.name,
        str(body.get("spec") or ""),
        steps,
        int(body.get("run-count") or 0),
        int(body.get("start-at-ms") or 0),
        int(body.get("interval-ms") or 0),
        time.time_ns() // 1_000_000,
        grant.caller.workspace,
        QueueSnapshot.from_queue(grant.queue),
    )
    return check_job(job)


def _decode_step(step: Any) -> StepSpec:
    max_unavailable = step.get("may-miss")
    return StepSpec(
        int(step["count"]),
        decode_resources(step),
        int(step.get("estimate-ms") or 0),
        tuple(int(number) for number in step.get("depends-on") or ()),
        # In a step, ``checkpoint`` is a flag: the tasks save their progress.
        bool(step.get("checkpoint")),
        bool(step.get("gang")),
        bool(step.get("same-rack")),
        str(step.get("required-label") or ""),
        str(step.get("data-rack") or ""),
        # Here the platform calls a worker a server, elsewhere a runner.
        int(step.get("max-per-server") or 0),
        bool(step.get("speculative")),
        bool(step.get("long-running")),
        str(step.get("image") or ""),
        int(step.get("target-ms") or 0),
        # ``fills`` marks tasks that use only capacity left over by others.
        bool(step.get("fills")),
        None if max_unavailable is None else int(max_unavailable),
    )
