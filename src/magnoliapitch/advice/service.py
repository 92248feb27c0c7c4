"""Relay of advisor calls between instances over HTTP.

The advisor takes one call at a time from each instance, so an instance that
needs many permits has other instances request some of them.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

from pydantic import TypeAdapter
from pydantic import ValidationError
from result import Err
from result import Ok
from result import Result

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

    from magnoliapitch.http import Application
    from magnoliapitch.http.client import HttpClient
    from magnoliapitch.http.client import HttpReply
    from magnoliapitch.workload.client import Advisor


PERMITS_PATH = "/v1/permits"


class PermitsRequest(NamedTuple):
    """Body of a relayed advisor call.

    :param timeout_ms: how long the relaying instance waits for the advisor.
    """

    step: StepKey
    worker_ids: tuple[str, ...]
    timeout_ms: int


_REQUEST_ADAPTER: TypeAdapter[PermitsRequest] = TypeAdapter(PermitsRequest)
_PERMITS_ADAPTER: TypeAdapter[tuple[Permit, ...]] = TypeAdapter(
    tuple[Permit, ...]
)


def add_permit_route(application: Application, advisor: Advisor) -> None:
    """Let peers call the advisor through an HTTP application.

    :param advisor: client with which this instance calls the advisor.
    """

    @application.route("GET", PERMITS_PATH)
    def answer_probe(request: HttpRequest) -> HttpResponse:
        del request
        return HttpResponse(200)

    @application.route("POST", PERMITS_PATH)
    def answer_permits(request: HttpRequest) -> HttpResponse:
        try:
            permits_request = _REQUEST_ADAPTER.validate_json(request.body)
        except ValidationError as error:
            failure = not_run(FailureCode.INVALID, str(error.errors()[0]))
            return problem_response(failure, request.request_id)
        outcome = advisor.permits(*permits_request)
        if isinstance(outcome, Err):
            return problem_response(outcome.err_value, request.request_id)
        return HttpResponse(200, _PERMITS_ADAPTER.dump_json(outcome.ok_value))


class PeerAdvisor:
    """Client that calls the advisor through another instance.

    :param address: ``IP:PORT`` of the other instance.
    """

    def __init__(self, address: str, client: HttpClient) -> None:
        self._url = f"http://{address}{PERMITS_PATH}"
        self._client = client

    def permits(
        self, step: StepKey, worker_ids: Sequence[str], timeout_ms: int
    ) -> Result[tuple[Permit, ...], Failure]:
        """Return permits for those of the workers that may run the step.

        :param timeout_ms: how long the other instance may take to answer.
        """
        permits_request = PermitsRequest(step, tuple(worker_ids), timeout_ms)
        body = _REQUEST_ADAPTER.dump_json(permits_request)
        reply = self._client.exchange(
            "POST", self._url, timeout_ms, body, JSON_HEADERS
        )
        return reply.and_then(_decode_permits)

    def probe(self, timeout_ms: int) -> Result[None, Failure]:
        """Return a failure unless the other instance answers.

        Any status is an answer.
        """
        reply = self._client.exchange("GET", self._url, timeout_ms)
        return reply.map(lambda _: None)


def _decode_permits(reply: HttpReply) -> Result[tuple[Permit, ...], Failure]:
    if reply.status != 200:
        detail = f"the relaying instance answered with status {reply.status}"
        return Err(not_run(FailureCode.UNAVAILABLE, detail))
    try:
        return Ok(_PERMITS_ADAPTER.validate_json(reply.data))
    except ValidationError as error:
        return Err(may_have_run(FailureCode.BAD_RESPONSE, str(error)))
