"""Adapter to backend servers that speak HTTP.

A request is ``POST SERVER_URL/requests/ENTRY`` with the header
``X-Request-Id``, which the answer must repeat. A server that refuses a
request before running it answers 503 with ``X-Not-Run``; one that is
leaving adds ``X-Leaving`` to its answers.
"""

from __future__ import annotations

import time

from typing import TYPE_CHECKING
from typing import Any
from typing import NamedTuple

import urllib3

from result import Err
from result import Ok
from result import Result

from magnoliapitch.backend.client import BackendResponse
from magnoliapitch.backend.client import BackendRequest
from magnoliapitch.verdict import Failure
from magnoliapitch.verdict import FailureCode
from magnoliapitch.verdict import may_have_run
from magnoliapitch.verdict import not_run


if TYPE_CHECKING:
    from magnoliapitch.membership.instance import InstanceInfo


REFUSED_STATUS = 503
FIRST_STATUS = 200
LAST_STATUS = 599
NOT_RUN_HEADER = "X-Not-Run"
LEAVING_HEADER = "X-Leaving"
REQUEST_ID_HEADER = "X-Request-Id"
CONNECT_TIMEOUT_MS = 1_000
MAX_RESPONSE_BYTES = 8 << 20
READ_BYTES = 1 << 16
DEFAULT_CONTENT_TYPE = "application/octet-stream"


class _Connection(urllib3.connection.HTTPConnection):
    """Sends the head and the body of a request in one piece."""

    _parts: list[bytes] | None = None

    def request(self, *args: Any, **kwargs: Any) -> None:
        self._parts = []
        try:
            super().request(*args, **kwargs)
            data = b"".join(self._parts)
        finally:
            self._parts = None
        self.send(data)

    def send(self, data: Any) -> None:
        if self._parts is None:
            super().send(data)
        else:
            self._parts.append(bytes(data))


class _ServerPool(NamedTuple):
    url: str
    path: str
    connections: urllib3.HTTPConnectionPool


class HttpBackendClient:
    """Backend servers over HTTP with connections kept by server.

    A connection is used again only after a complete answer to its own
    request.

    :param connections_per_server: connections kept open to a server; the
        slots bound how many are open at once.
    :param max_response_bytes: longest answer that is accepted.
    """

    def __init__(
        self,
        connections_per_server: int = 8,
        max_response_bytes: int = MAX_RESPONSE_BYTES,
    ) -> None:
        self._connections_per_server = connections_per_server
        self._answer_max_bytes = max_response_bytes
        self._pools_by_server: dict[str, _ServerPool] = {}

    def send(
        self, server: InstanceInfo, request: BackendRequest
    ) -> Result[BackendResponse, Failure]:
        """Send one request once and return its complete answer."""
        deadline_s = time.monotonic() + request.timeout_ms / 1000
        try:
            response = self._open(server, request)
        except (
            urllib3.exceptions.NewConnectionError,
            urllib3.exceptions.ConnectTimeoutError,
        ) as error:
            return Err(not_run(FailureCode.UNAVAILABLE, str(error)))
        except urllib3.exceptions.TimeoutError as error:
            return Err(may_have_run(FailureCode.TIMEOUT, str(error)))
        except urllib3.exceptions.HTTPError as error:
            return Err(may_have_run(FailureCode.BAD_ANSWER, str(error)))
        if _is_refusal(response):
            self._read(response, deadline_s)
            return Err(_refusal_from(response))
        problem = self._check_head(response, request)
        if problem is not None:
            response.close()
            return Err(problem)
        return self._read(response, deadline_s)

    def _open(
        self, server: InstanceInfo, request: BackendRequest
    ) -> urllib3.BaseHTTPResponse:
        timeout_ms = request.timeout_ms
        pool = self._pool_of(server)
        return pool.connections.urlopen(
            "POST",
            f"{pool.path}/requests/{request.entry}",
            body=request.body,
            headers={REQUEST_ID_HEADER: request.request_id},
            timeout=urllib3.Timeout(
                connect=min(CONNECT_TIMEOUT_MS, timeout_ms) / 1000,
                read=timeout_ms / 1000,
            ),
            retries=False,
            redirect=False,
            assert_same_host=False,
            preload_content=False,
        )

    def _pool_of(self, server: InstanceInfo) -> _ServerPool:
        pool = self._pools_by_server.get(server.instance_id)
        if pool is not None and pool.url == server.url:
            return pool
        pool = _ServerPool(
            server.url,
            urllib3.util.parse_url(server.url).path or "",
            _connections_to(server.url, self._connections_per_server),
        )
        self._pools_by_server[server.instance_id] = pool
        return pool

    def _check_head(
        self, response: urllib3.BaseHTTPResponse, request: BackendRequest
    ) -> Failure | None:
        # Checked before the body is read to its end, after which urllib3
        # would keep the connection.
        if response.headers.get(REQUEST_ID_HEADER) != request.request_id:
            return may_have_run(
                FailureCode.BAD_ANSWER, "the answer is to another request"
            )
        if not FIRST_STATUS <= response.status <= LAST_STATUS:
            return may_have_run(
                FailureCode.BAD_ANSWER, f"status {response.status}"
            )
        length = response.headers.get("Content-Length", "0")
        if length.isdigit() and int(length) > self._answer_max_bytes:
            return _too_long(self._answer_max_bytes)
        return None

    def _read(
        self, response: urllib3.BaseHTTPResponse, deadline_s: float
    ) -> Result[BackendResponse, Failure]:
        parts: list[bytes] = []
        left = self._answer_max_bytes
        try:
            while part := response.read1(READ_BYTES):
                parts.append(part)
                left -= len(part)
                if left < 0:
                    response.close()
                    return Err(_too_long(self._answer_max_bytes))
                if time.monotonic() > deadline_s:
                    response.close()
                    return Err(
                        may_have_run(FailureCode.TIMEOUT, "answer too slow")
                    )
        except urllib3.exceptions.TimeoutError as error:
            response.close()
            return Err(may_have_run(FailureCode.TIMEOUT, str(error)))
        except urllib3.exceptions.HTTPError as error:
            response.close()
            return Err(may_have_run(FailureCode.TRUNCATED, str(error)))
        headers = response.headers
        return Ok(
            BackendResponse(
                response.status,
                b"".join(parts),
                LEAVING_HEADER in headers,
                headers.get("Content-Type", DEFAULT_CONTENT_TYPE),
            )
        )


def _connections_to(url: str, maxsize: int) -> urllib3.HTTPConnectionPool:
    connections = urllib3.connection_from_url(url, maxsize=maxsize)
    if connections.scheme == "http":
        connections.ConnectionCls = _Connection
    return connections


def _is_refusal(response: urllib3.BaseHTTPResponse) -> bool:
    return (
        response.status == REFUSED_STATUS
        and NOT_RUN_HEADER in response.headers
    )


def _refusal_from(response: urllib3.BaseHTTPResponse) -> Failure:
    if LEAVING_HEADER in response.headers:
        return not_run(FailureCode.SHUTTING_DOWN, "server is leaving")
    return not_run(FailureCode.OVERLOADED, "server refused")


def _too_long(limit_bytes: int) -> Failure:
    return may_have_run(
        FailureCode.BAD_ANSWER, f"the answer exceeds {limit_bytes} bytes"
    )
