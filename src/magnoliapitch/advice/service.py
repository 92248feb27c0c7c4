"""Asks the advisor on behalf of another instance.

The advisor serves one call at a time for each instance that calls it, so
an instance that needs many permits has others ask for some of them.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

from pydantic import TypeAdapter
from pydantic import ValidationError
from result import Err
from result import Ok
from result import Result

from magnoliapitch.http import Application
from magnoliapitch.http import HttpRequest
from magnoliapitch.http import HttpResponse
from magnoliapitch.http import problem_response
from magnoliapitch.http.client import JSON_HEADERS
from magnoliapitch.verdict import Failure
from magnoliapitch.verdict import FailureCode
from magnoliapitch.verdict import may_have_run
from magnoliapitch.verdict import not_run
from magnoliapitch.workload.job import StepKey
from magnoliapitch.workload.run import Permit


if TYPE_CHECKING:
    from collections.abc import Sequence

    from magnoliapitch.http.client import HttpClient
    from magnoliapitch.http.client import HttpReply
    from magnoliapitch.workload.client import Advisor


PERMITS_PATH = "/v1/permits"
BODY_MAX_BYTES = 65_536


class PermitsRequest(NamedTuple):
    """Body of a call.

    :param timeout_ms: how long the advisor may take.
    """

    step: StepKey
    worker_ids: tuple[str, ...]
    timeout_ms: int


_REQUEST: TypeAdapter[PermitsRequest] = TypeAdapter(PermitsRequest)
_PERMITS: TypeAdapter[tuple[Permit, ...]] = TypeAdapter(tuple[Permit, ...])


def peer_application(advisor: Advisor) -> Application:
    """Return the application that other instances call."""
    application = Application(BODY_MAX_BYTES)

    @application.route("POST", PERMITS_PATH)
    def ask(request: HttpRequest) -> HttpResponse:
        try:
            wanted = _REQUEST.validate_json(request.body)
        except ValidationError as error:
            failure = not_run(FailureCode.INVALID, str(error.errors()[0]))
            return problem_response(failure, request.request_id)
        outcome = advisor.permits(*wanted)
        if isinstance(outcome, Err):
            return problem_response(outcome.err_value, request.request_id)
        return HttpResponse(200, _PERMITS.dump_json(outcome.ok_value))

    return application


class PeerAdvisor:
    """The advisor, asked by another instance.

    :param address: ``IP:PORT`` of the other instance.
    """

    def __init__(self, address: str, client: HttpClient) -> None:
        self._url = f"http://{address}{PERMITS_PATH}"
        self._client = client

    def permits(
        self, step: StepKey, worker_ids: Sequence[str], timeout_ms: int
    ) -> Result[tuple[Permit, ...], Failure]:
        """Return the permits among the given workers."""
        wanted = PermitsRequest(step, tuple(worker_ids), timeout_ms)
        body = _REQUEST.dump_json(wanted)
        reply = self._client.exchange(
            "POST", self._url, timeout_ms, body, JSON_HEADERS
        )
        return reply.and_then(_permits_from)


def _permits_from(reply: HttpReply) -> Result[tuple[Permit, ...], Failure]:
    if reply.status != 200:
        detail = f"the other instance answered {reply.status}"
        return Err(not_run(FailureCode.UNAVAILABLE, detail))
    try:
        return Ok(_PERMITS.validate_json(reply.data))
    except ValidationError as error:
        return Err(may_have_run(FailureCode.BAD_ANSWER, str(error)))
