"""HTTP interface of the agent for the leader, and its client."""

from __future__ import annotations

from typing import TYPE_CHECKING

from pydantic import TypeAdapter
from pydantic import ValidationError
from result import Err
from result import Ok
from result import Result

from magnoliapitch.control.delegation.messages import CommandBatch
from magnoliapitch.control.delegation.messages import EventBatch
from magnoliapitch.http import HttpRequest
from magnoliapitch.http import HttpResponse
from magnoliapitch.http import problem_response
from magnoliapitch.http.client import JSON_HEADERS
from magnoliapitch.verdict import Failure
from magnoliapitch.verdict import FailureCode
from magnoliapitch.verdict import may_have_run
from magnoliapitch.verdict import not_run


if TYPE_CHECKING:
    from magnoliapitch.control.delegation.agent import Agent
    from magnoliapitch.http import Application
    from magnoliapitch.http.client import HttpClient
    from magnoliapitch.http.client import HttpReply


AGENT_PATH = "/v1/agent"

_BATCH_ADAPTER: TypeAdapter[CommandBatch] = TypeAdapter(CommandBatch)
_EVENTS_ADAPTER: TypeAdapter[EventBatch] = TypeAdapter(EventBatch)
_CODE_BY_STATUS = {409: FailureCode.SEQUENCE, 412: FailureCode.FENCED}


def add_agent_route(application: Application, agent: Agent) -> None:
    """Let the leader call an agent through an HTTP application."""

    @application.route("POST", AGENT_PATH)
    def exchange(request: HttpRequest) -> HttpResponse:
        try:
            batch = _BATCH_ADAPTER.validate_json(request.body)
        except ValidationError as error:
            failure = not_run(FailureCode.INVALID, str(error.errors()[0]))
            return problem_response(failure, request.request_id)
        outcome = agent.exchange(batch)
        if isinstance(outcome, Err):
            failure = outcome.err_value
            is_fenced = failure.code is FailureCode.FENCED
            return problem_response(
                failure, request.request_id, 412 if is_fenced else 409
            )
        return HttpResponse(200, _EVENTS_ADAPTER.dump_json(outcome.ok_value))


class AgentClient:
    """Calls the agents of other instances."""

    def __init__(self, client: HttpClient) -> None:
        self._client = client

    def exchange(
        self, address: str, batch: CommandBatch, timeout_ms: int
    ) -> Result[EventBatch, Failure]:
        """Send a batch to an agent and return its events.

        :param address: ``IP:PORT`` of the instance.
        :param timeout_ms: how long the answer may take beyond the time that
            the agent may wait for events.
        """
        reply = self._client.exchange(
            "POST",
            f"http://{address}{AGENT_PATH}",
            timeout_ms + batch.wait_ms,
            _BATCH_ADAPTER.dump_json(batch),
            JSON_HEADERS,
        )
        return reply.and_then(_decode)


def _decode(reply: HttpReply) -> Result[EventBatch, Failure]:
    if reply.status != 200:
        code = _CODE_BY_STATUS.get(reply.status, FailureCode.UNAVAILABLE)
        detail = f"the agent answered with status {reply.status}"
        return Err(not_run(code, detail))
    try:
        return Ok(_EVENTS_ADAPTER.validate_json(reply.data))
    except ValidationError as error:
        return Err(may_have_run(FailureCode.BAD_RESPONSE, str(error)))
