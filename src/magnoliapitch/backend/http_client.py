"""Client for backend servers that are reached over HTTP.

A request is ``POST SERVER_URL/requests/ENTRY`` with the header
``X-Request-Id``, which the response must echo. A server that refuses a
request before executing it responds with 503 and ``X-Not-Run``; one that is
shutting down adds ``X-Leaving`` to its responses.
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

from magnoliapitch.backend.client import BackendRequest
from magnoliapitch.backend.client import BackendResponse
from magnoliapitch.verdict import Failure
from magnoliapitch.verdict import FailureCode
from magnoliapitch.verdict import may_have_run
from magnoliapitch.verdict import not_run


if TYPE_CHECKING:
    from magnoliapitch.membership.instance import InstanceInfo


NOT_RUN_STATUS = 503
MIN_STATUS = 200
MAX_STATUS = 599
NOT_RUN_HEADER = "X-Not-Run"
LEAVING_HEADER = "X-Leaving"
REQUEST_ID_HEADER = "X-Request-Id"
CONNECT_TIMEOUT_MS = 1_000
MAX_RESPONSE_BYTES = 8 << 20
READ_CHUNK_BYTES = 1 << 16
DEFAULT_CONTENT_TYPE = "application/octet-stream"


class _SingleWriteConnection(urllib3.connection.HTTPConnection):
    """Sends the head and the body of a request with a single write."""

    _pending_parts: list[bytes] | None = None

    def request(self, *args: Any, **kwargs: Any) -> None:
        self._pending_parts = []
        try:
            super().request(*args, **kwargs)
            data = b"".join(self._pending_parts)
        finally:
            self._pending_parts = None
        self.send(data)

    def send(self, data: Any) -> None:
        if self._pending_parts is None:
            super().send(data)
        else:
            self._pending_parts.append(bytes(data))


class _ServerPool(NamedTuple):
    url: str
    path: str
    connection_pool: urllib3.HTTPConnectionPool


class HttpBackendClient:
    """Sends requests over HTTP with one connection pool for each server.

    A connection is reused only after a complete response to its last
    request.

    :param connections_per_server: idle connections kept open to each server.
        The caller limits how many are open at the same time, by the slots
        of the server.
    :param max_response_bytes: longest accepted body of a response.
    """

    def __init__(
        self,
        connections_per_server: int = 8,
        max_response_bytes: int = MAX_RESPONSE_BYTES,
    ) -> None:
        self._connections_per_server = connections_per_server
        self._max_response_bytes = max_response_bytes
        self._pools_by_server: dict[str, _ServerPool] = {}

    def send(
        self, server: InstanceInfo, request: BackendRequest
    ) -> Result[BackendResponse, Failure]:
        """Send a request once, without retries, and return the response."""
        deadline_s = time.monotonic() + request.timeout_ms / 1000
        try:
            response = self._send_request(server, request)
        except (
            urllib3.exceptions.NewConnectionError,
            urllib3.exceptions.ConnectTimeoutError,
        ) as error:
            return Err(not_run(FailureCode.UNAVAILABLE, str(error)))
        except urllib3.exceptions.TimeoutError as error:
            return Err(may_have_run(FailureCode.TIMEOUT, str(error)))
        except urllib3.exceptions.HTTPError as error:
            return Err(may_have_run(FailureCode.BAD_RESPONSE, str(error)))
        if _is_refused(response):
            self._read_body(response, deadline_s)
            return Err(_refused_failure(response))
        failure = self._validate_head(response, request)
        if failure is not None:
            response.close()
            return Err(failure)
        return self._read_body(response, deadline_s)

    def _send_request(
        self, server: InstanceInfo, request: BackendRequest
    ) -> urllib3.BaseHTTPResponse:
        timeout_ms = request.timeout_ms
        pool = self._pool_for(server)
        return pool.connection_pool.urlopen(
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

    def _pool_for(self, server: InstanceInfo) -> _ServerPool:
        pool = self._pools_by_server.get(server.instance_id)
        if pool is not None and pool.url == server.url:
            return pool
        pool = _ServerPool(
            server.url,
            urllib3.util.parse_url(server.url).path or "",
            _make_connection_pool(server.url, self._connections_per_server),
        )
        self._pools_by_server[server.instance_id] = pool
        return pool

    def _validate_head(
        self, response: urllib3.BaseHTTPResponse, request: BackendRequest
    ) -> Failure | None:
        # The head is checked before the body is read to its end, since
        # urllib3 then returns the connection to the pool.
        if response.headers.get(REQUEST_ID_HEADER) != request.request_id:
            return may_have_run(
                FailureCode.BAD_RESPONSE,
                "X-Request-Id of the response differs from that of the "
                "request",
            )
        if not MIN_STATUS <= response.status <= MAX_STATUS:
            return may_have_run(
                FailureCode.BAD_RESPONSE,
                f"status {response.status} is not a final HTTP status",
            )
        length = response.headers.get("Content-Length", "0")
        if length.isdigit() and int(length) > self._max_response_bytes:
            return _too_large(self._max_response_bytes)
        return None

    def _read_body(
        self, response: urllib3.BaseHTTPResponse, deadline_s: float
    ) -> Result[BackendResponse, Failure]:
        chunks: list[bytes] = []
        remaining_bytes = self._max_response_bytes
        try:
            while chunk := response.read1(READ_CHUNK_BYTES):
                chunks.append(chunk)
                remaining_bytes -= len(chunk)
                if remaining_bytes < 0:
                    response.close()
                    return Err(_too_large(self._max_response_bytes))
                if time.monotonic() > deadline_s:
                    response.close()
                    return Err(
                        may_have_run(
                            FailureCode.TIMEOUT,
                            "the response did not arrive completely before "
                            "the timeout",
                        )
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
                b"".join(chunks),
                LEAVING_HEADER in headers,
                headers.get("Content-Type", DEFAULT_CONTENT_TYPE),
            )
        )


def _make_connection_pool(
    url: str, maxsize: int
) -> urllib3.HTTPConnectionPool:
    connection_pool = urllib3.connection_from_url(url, maxsize=maxsize)
    if connection_pool.scheme == "http":
        connection_pool.ConnectionCls = _SingleWriteConnection
    return connection_pool


def _is_refused(response: urllib3.BaseHTTPResponse) -> bool:
    return (
        response.status == NOT_RUN_STATUS
        and NOT_RUN_HEADER in response.headers
    )


def _refused_failure(response: urllib3.BaseHTTPResponse) -> Failure:
    if LEAVING_HEADER in response.headers:
        return not_run(
            FailureCode.SHUTTING_DOWN, "the backend server is shutting down"
        )
    return not_run(
        FailureCode.OVERLOADED, "the backend server refused the request"
    )


def _too_large(limit_bytes: int) -> Failure:
    return may_have_run(
        FailureCode.BAD_RESPONSE,
        f"the response exceeds the limit of {limit_bytes} bytes",
    )
