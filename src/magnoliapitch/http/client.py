"""HTTP clients for other services, without retries or redirects."""

from __future__ import annotations

import time

from collections.abc import Callable
from typing import TYPE_CHECKING
from typing import Annotated
from typing import Any
from typing import NamedTuple
from typing import TypeVar
from urllib.parse import urlsplit

import orjson
import urllib3

from pydantic import Field
from pydantic import TypeAdapter
from pydantic import ValidationError
from result import Err
from result import Ok
from result import Result

from magnoliapitch.http.pools import ConnectionPools
from magnoliapitch.verdict import Failure
from magnoliapitch.verdict import FailureCode
from magnoliapitch.verdict import Verdict
from magnoliapitch.verdict import may_have_run
from magnoliapitch.verdict import not_run


if TYPE_CHECKING:
    from collections.abc import Mapping


ValueT = TypeVar("ValueT")

DEFAULT_TIMEOUT_MS = 5_000
# A connection is established within milliseconds, unless the server or the
# path to it is gone.
MAX_CONNECT_TIMEOUT_MS = 500
# Several times the longest page of the store's records or of a list.
MAX_RESPONSE_BYTES = 16 << 20
READ_BYTES = 1 << 16
HTTP_OK = 200
JSON_HEADERS = {"Content-Type": "application/json"}


CallObserver = Callable[[str, float, bool], None]


def _ignore_call(path: str, duration_ms: float, is_ok: bool) -> None:
    del path, duration_ms, is_ok


class HttpReply(NamedTuple):
    """A completely received response.

    :param status: HTTP status.
    :param data: body.
    """

    status: int
    data: bytes


class HttpClient:
    """Sends requests once, without retries or redirects.

    :param connections: idle connections kept open to each server.
    :param observe: called after every request with the URL path, the
        duration in milliseconds and whether a complete response arrived.
    :param max_response_bytes: longest accepted body of a response.
    """

    def __init__(
        self,
        connections: int = 8,
        observe: CallObserver | None = None,
        max_response_bytes: int = MAX_RESPONSE_BYTES,
    ) -> None:
        self._max_response_bytes = max_response_bytes
        self._observe = observe or _ignore_call
        self._pools = ConnectionPools(connections)

    def exchange(
        self,
        method: str,
        url: str,
        timeout_ms: int,
        body: bytes | None = None,
        headers: Mapping[str, str] | None = None,
    ) -> Result[HttpReply, Failure]:
        """Send a request and return the complete response.

        :param timeout_ms: limit for each wait for data, for the body after the
            head, and for connecting if that is shorter than
            ``MAX_CONNECT_TIMEOUT_MS``.
        :return: the response with any status, or a failure: ``not_run``
            if no connection could be established, else ``may_have_run``,
            with the code ``BAD_RESPONSE`` if the body is too long.
        """
        started_ns = time.perf_counter_ns()
        outcome = self._send(method, url, timeout_ms, body, headers)
        duration_ms = (time.perf_counter_ns() - started_ns) / 1_000_000
        path = urlsplit(url).path
        self._observe(path, duration_ms, outcome.is_ok())
        return outcome

    def close_unused(self) -> None:
        """Close the connections to servers unused since the last two calls."""
        self._pools.close_unused()

    def _send(
        self,
        method: str,
        url: str,
        timeout_ms: int,
        body: bytes | None,
        headers: Mapping[str, str] | None,
    ) -> Result[HttpReply, Failure]:
        origin, target = _split_url(url)
        try:
            response = self._pools.pool_of(origin).urlopen(
                method,
                target,
                body=body,
                headers=headers,
                retries=False,
                redirect=False,
                preload_content=False,
                timeout=urllib3.Timeout(
                    connect=min(timeout_ms, MAX_CONNECT_TIMEOUT_MS) / 1000,
                    read=timeout_ms / 1000,
                ),
            )
        except (
            urllib3.exceptions.ClosedPoolError,
            urllib3.exceptions.NewConnectionError,
            urllib3.exceptions.ConnectTimeoutError,
        ) as error:
            return Err(not_run(FailureCode.UNAVAILABLE, str(error)))
        except urllib3.exceptions.HTTPError as error:
            return Err(may_have_run(FailureCode.TIMEOUT, str(error)))
        deadline_s = time.monotonic() + timeout_ms / 1000
        body_read = _read_body(response, self._max_response_bytes, deadline_s)
        if body_read.is_err():
            response.close()
        return body_read.map(lambda data: HttpReply(response.status, data))


def _read_body(
    response: urllib3.BaseHTTPResponse, max_bytes: int, deadline_s: float
) -> Result[bytes, Failure]:
    """Read a body up to its end, its longest length, or the deadline."""
    data = bytearray()
    try:
        while piece := response.read1(READ_BYTES):
            data += piece
            if len(data) > max_bytes:
                detail = f"the response is longer than {max_bytes} bytes"
                return Err(may_have_run(FailureCode.BAD_RESPONSE, detail))
            if time.monotonic() > deadline_s:
                detail = "the response did not arrive before the timeout"
                return Err(may_have_run(FailureCode.TIMEOUT, detail))
    except urllib3.exceptions.HTTPError as error:
        return Err(may_have_run(FailureCode.TIMEOUT, str(error)))
    return Ok(bytes(data))


def _split_url(url: str) -> tuple[str, str]:
    """Return the origin of a URL, and its path with the query."""
    parts = urlsplit(url)
    path = parts.path or "/"
    target = f"{path}?{parts.query}" if parts.query else path
    return f"{parts.scheme}://{parts.netloc}", target


class JsonClient:
    """Sends JSON requests once, without retries or redirects.

    :param base_url: URL that the path of each call is appended to.
    :param timeout_ms: limit for connecting, and for each wait for data.
    """

    def __init__(
        self, base_url: str, timeout_ms: int = DEFAULT_TIMEOUT_MS
    ) -> None:
        self._base_url = base_url.rstrip("/")
        self._timeout_ms = timeout_ms
        self._client = HttpClient()

    def call(
        self,
        method: str,
        path: str,
        value: object = None,
        server_wait_ms: int = 0,
    ) -> Result[Any, Failure]:
        """Send a request and decode the JSON response.

        :param value: sent as the JSON body; no body if ``None``.
        :param server_wait_ms: time that the server may hold the request
            before it responds, added to the timeout.
        :return: the decoded value of a response with status 200, else a
            failure.
        """
        body = None if value is None else orjson.dumps(value)
        reply = self._client.exchange(
            method,
            self._base_url + path,
            self._timeout_ms + server_wait_ms,
            body,
            JSON_HEADERS,
        )
        return reply.and_then(
            lambda received: _decode(received.status, received.data)
        )


def validate_response(
    adapter: TypeAdapter[ValueT], value: object
) -> Result[ValueT, Failure]:
    """Validate the decoded body of a response.

    :return: the validated value, or a ``may_have_run`` failure: the server
        may have executed the request before it sent a malformed response.
    """
    try:
        return Ok(adapter.validate_python(value))
    except ValidationError as error:
        first = error.errors(include_url=False, include_input=False)[0]
        detail = f"invalid response: {first['loc']}: {first['msg']}"
        return Err(may_have_run(FailureCode.BAD_RESPONSE, detail))


def _decode(status: int, data: bytes) -> Result[Any, Failure]:
    try:
        value = orjson.loads(data)
    except orjson.JSONDecodeError as error:
        return Err(may_have_run(FailureCode.BAD_RESPONSE, str(error)))
    if status == HTTP_OK:
        return Ok(value)
    return Err(failure_from_problem(value))


class _ProblemDetails(NamedTuple):
    verdict: Verdict
    title: FailureCode
    detail: str
    retry_after_ms: Annotated[int, Field(ge=0, le=86_400_000)] | None = None


_PROBLEM_DETAILS: TypeAdapter[_ProblemDetails] = TypeAdapter(_ProblemDetails)


def failure_from_problem(problem: Any) -> Failure:
    """Return the failure that problem details describe.

    :return: a ``may_have_run`` failure if the value is something else.
    """
    try:
        fields = {
            name: problem[name]
            for name in _ProblemDetails._fields
            if name in problem
        }
        return Failure(*_PROBLEM_DETAILS.validate_python(fields))
    except (KeyError, TypeError, ValidationError):
        return may_have_run(
            FailureCode.BAD_RESPONSE,
            f"expected problem details, found {problem!r}",
        )
