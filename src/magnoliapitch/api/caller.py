"""HTTP interface for callers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from pydantic import TypeAdapter
from pydantic import ValidationError
from result import Err

from magnoliapitch.api.explanation import add_explanation_route
from magnoliapitch.http import Application
from magnoliapitch.http import HttpRequest
from magnoliapitch.http import HttpResponse
from magnoliapitch.http import json_response
from magnoliapitch.http import problem_response
from magnoliapitch.job.spec import JobSpec
from magnoliapitch.peer.message import ForwardedRequest
from magnoliapitch.request.ticket import TICKET_TTL_MS
from magnoliapitch.verdict import FailureCode
from magnoliapitch.verdict import not_run


if TYPE_CHECKING:
    from result import Result

    from magnoliapitch.entry.core import EntryCore
    from magnoliapitch.peer.message import ForwardedAnswer
    from magnoliapitch.verdict import Failure


COMMIT_TIMEOUT_MS = 5_000
LOG_READ_TIMEOUT_MS = 2_000

_JOB_SPEC_ADAPTER = TypeAdapter(JobSpec)


def caller_application(core: EntryCore) -> Application:
    """Create the application that serves callers."""
    application = Application(
        core.settings.http.body_max_bytes, lambda: core.is_draining
    )

    @application.route("POST", "/v1/requests/{entry}")
    def execute(request: HttpRequest) -> HttpResponse:
        request_id = request.request_id
        refusal = core.refusal()
        if refusal is not None:
            return problem_response(refusal, request_id)
        forwarded = ForwardedRequest(
            request_id,
            request.path_values["entry"],
            request.body,
            core.patience_ms(request.path_values["entry"]),
            request.headers_by_name.get("ticket", ""),
            request.headers_by_name.get("idempotency-key", "").strip('"'),
        )
        with core.metrics.timing(
            "request", core.work_class_of(forwarded.entry)
        ):
            outcome = core.router.execute(forwarded)
        core.metrics.count("requests", _outcome_label(outcome))
        if isinstance(outcome, Err):
            return problem_response(outcome.err_value, request_id)
        answer = outcome.ok_value
        return HttpResponse(answer.status, answer.body, answer.content_type)

    @application.route("POST", "/v1/tickets/{entry}")
    def ticket(request: HttpRequest) -> HttpResponse:
        issued = core.router.issue_ticket(request.path_values["entry"])
        if isinstance(issued, Err):
            return problem_response(issued.err_value, request.request_id)
        body = {
            "ticket": str(issued.ok_value),
            "expires_in_ms": TICKET_TTL_MS,
        }
        return json_response(body, 201)

    @application.route("POST", "/v1/jobs")
    def submit(request: HttpRequest) -> HttpResponse:
        refusal = core.refusal()
        if refusal is not None:
            return problem_response(refusal, request.request_id)
        try:
            job = _JOB_SPEC_ADAPTER.validate_python(request.json())
        except (ValidationError, ValueError) as error:
            return problem_response(
                not_run(FailureCode.INVALID, str(error)), request.request_id
            )
        outcome = core.job_service.submit(job, COMMIT_TIMEOUT_MS)
        if isinstance(outcome, Err):
            return problem_response(outcome.err_value, request.request_id)
        return json_response({"job_id": job.job_id}, 202)

    @application.route("GET", "/v1/jobs")
    def jobs(request: HttpRequest) -> HttpResponse:  # noqa: ARG001
        return json_response({"jobs": core.job_list()})

    @application.route("GET", "/v1/jobs/{job}")
    def status(request: HttpRequest) -> HttpResponse:
        job_id = request.path_values["job"]
        found = core.job_status(job_id)
        if found is not None:
            return json_response(found)
        if not core.journal.wait_until_caught_up(LOG_READ_TIMEOUT_MS):
            return problem_response(
                not_run(
                    FailureCode.UNAVAILABLE,
                    f"job {job_id} is unknown to this instance, which could "
                    "not read the newest log records",
                    LOG_READ_TIMEOUT_MS,
                ),
                request.request_id,
            )
        found = core.job_status(job_id)
        if found is not None:
            return json_response(found)
        return problem_response(
            not_run(FailureCode.NOT_FOUND, f"no job {job_id}"),
            request.request_id,
        )

    @application.route("DELETE", "/v1/jobs/{job}")
    def cancel(request: HttpRequest) -> HttpResponse:
        job_id = request.path_values["job"]
        outcome = core.job_service.cancel(job_id, COMMIT_TIMEOUT_MS)
        if isinstance(outcome, Err):
            return problem_response(outcome.err_value, request.request_id)
        return json_response({"job_id": job_id, "cancelled": True})

    add_explanation_route(application, core)
    return application


def _outcome_label(outcome: Result[ForwardedAnswer, Failure]) -> str:
    if isinstance(outcome, Err):
        return outcome.err_value.verdict.value
    return "answered"
