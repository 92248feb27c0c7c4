"""Adapter to backend servers that speak HTTP.

A request is ``POST SERVER_URL/requests/ENTRY`` with the header
``X-Request-Id``, which the answer must repeat.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import urllib3

from result import Err
from result import Ok
from result import Result

from magnoliapitch.backend.client import BackendAnswer
from magnoliapitch.backend.client import BackendRequest
from magnoliapitch.verdict import Failure
from magnoliapitch.verdict import FailureCode
from magnoliapitch.verdict import may_have_run
from magnoliapitch.verdict import not_run


if TYPE_CHECKING:
    from magnoliapitch.platform.instance import InstanceInfo


REFUSED_STATUS = 503
REFUSED_HEADER = "X-Not-Run"
LEAVING_HEADER = "X-Leaving"
REQUEST_ID_HEADER = "X-Request-Id"


class HttpBackendClient:
    """Backend servers over HTTP with connections kept by server."""

    def __init__(self, connections_per_server: int = 64) -> None:
        self._pool = urllib3.PoolManager(
            maxsize=connections_per_server, retries=False
        )

    def send(
        self, server: InstanceInfo, request: BackendRequest
    ) -> Result[BackendAnswer, Failure]:
        """Send one request once and return its complete answer."""
        try:
            response = self._pool.request(
                "POST",
                f"{server.url}/requests/{request.entry}",
                body=request.body,
                headers={REQUEST_ID_HEADER: request.request_id},
                timeout=request.timeout_ms / 1000,
                redirect=False,
            )
        except (
            urllib3.exceptions.NewConnectionError,
            urllib3.exceptions.ConnectTimeoutError,
        ) as error:
            return Err(not_run(FailureCode.UNAVAILABLE, str(error)))
        except urllib3.exceptions.TimeoutError as error:
            return Err(may_have_run(FailureCode.TIMEOUT, str(error)))
        except urllib3.exceptions.HTTPError as error:
            return Err(may_have_run(FailureCode.BAD_ANSWER, str(error)))
        return _answer_from(response, request)


def _answer_from(
    response: urllib3.BaseHTTPResponse, request: BackendRequest
) -> Result[BackendAnswer, Failure]:
    if (
        response.status == REFUSED_STATUS
        and REFUSED_HEADER in response.headers
    ):
        return Err(not_run(FailureCode.SHUTTING_DOWN, "server refused"))
    if response.headers.get(REQUEST_ID_HEADER) != request.request_id:
        return Err(
            may_have_run(
                FailureCode.BAD_ANSWER, "the answer is to another request"
            )
        )
    leaving = LEAVING_HEADER in response.headers
    return Ok(BackendAnswer(response.status, response.data, leaving))
