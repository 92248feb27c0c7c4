"""HTTP routes for operations on jobs that other instances have received."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import TypeVar

from pydantic import ValidationError
from result import Err
from result import Ok
from result import Result

from magnoliapitch.http import HttpRequest
from magnoliapitch.http import HttpResponse
from magnoliapitch.http import problem_response
from magnoliapitch.relay.messages import CANCEL_PATH
from magnoliapitch.relay.messages import JOB_REPLY
from magnoliapitch.relay.messages import JOB_REQUEST
from magnoliapitch.relay.messages import STATE_PATH
from magnoliapitch.relay.messages import SUBMIT_PATH
from magnoliapitch.relay.messages import SUBMIT_REQUEST
from magnoliapitch.relay.messages import JobReply
from magnoliapitch.relay.messages import SubmitRequest
from magnoliapitch.verdict import Failure
from magnoliapitch.verdict import FailureCode
from magnoliapitch.verdict import Verdict
from magnoliapitch.verdict import not_run
from magnoliapitch.workload.job_check import check_job


if TYPE_CHECKING:
    from pydantic import TypeAdapter

    from magnoliapitch.http import Application
    from magnoliapitch.ledger.job_api import JobApi


BodyT = TypeVar("BodyT")


def add_relay_routes(application: Application, job_api: JobApi) -> None:
    """Let other instances operate on jobs through an HTTP application.

    :param job_api: operations of this instance, which are not passed on.
    """

    @application.route("POST", SUBMIT_PATH)
    def submit(request: HttpRequest) -> HttpResponse:
        def call(body: bytes) -> Result[JobReply, Failure]:
            decoded = _decode(SUBMIT_REQUEST, body).and_then(_checked)
            return decoded.and_then(lambda found: job_api.submit(*found)).map(
                lambda _: JobReply(True)
            )

        return _answer(call(request.body), request)

    @application.route("POST", CANCEL_PATH)
    def cancel(request: HttpRequest) -> HttpResponse:
        decoded = _decode(JOB_REQUEST, request.body)
        outcome = decoded.and_then(lambda found: job_api.cancel(*found))
        return _answer(outcome.map(JobReply), request)

    @application.route("POST", STATE_PATH)
    def state(request: HttpRequest) -> HttpResponse:
        decoded = _decode(JOB_REQUEST, request.body)
        outcome = decoded.and_then(lambda found: job_api.state(*found))
        return _answer(
            outcome.map(lambda found: JobReply(found is not None, found)),
            request,
        )


def _decode(
    adapter: TypeAdapter[BodyT], body: bytes
) -> Result[BodyT, Failure]:
    try:
        return Ok(adapter.validate_json(body))
    except ValidationError as error:
        return Err(not_run(FailureCode.INVALID, str(error.errors()[0])))


def _checked(request: SubmitRequest) -> Result[SubmitRequest, Failure]:
    try:
        check_job(request.job)
    except ValueError as error:
        return Err(not_run(FailureCode.INVALID, str(error)))
    return Ok(request)


def _answer(
    outcome: Result[JobReply, Failure], request: HttpRequest
) -> HttpResponse:
    if isinstance(outcome, Err):
        failure = outcome.err_value
        may_have_run = failure.verdict is Verdict.MAY_HAVE_RUN
        return problem_response(
            failure, request.request_id, 504 if may_have_run else None
        )
    return HttpResponse(200, JOB_REPLY.dump_json(outcome.ok_value))
