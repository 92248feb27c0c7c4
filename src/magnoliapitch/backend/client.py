"""Interface of clients that send requests to backend servers."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple
from typing import Protocol


if TYPE_CHECKING:
    from result import Result

    from magnoliapitch.membership.instance import InstanceInfo
    from magnoliapitch.verdict import Failure


class BackendRequest(NamedTuple):
    """A request to a backend server.

    :param request_id: request ID, which the response must echo.
    :param entry: name of the catalogue entry to execute.
    :param body: request body as the caller sent it.
    :param timeout_ms: time for the complete response to arrive.
    """

    request_id: str
    entry: str
    body: bytes
    timeout_ms: int


class BackendResponse(NamedTuple):
    """A complete response of a backend server.

    :param status: HTTP status.
    :param body: complete body.
    :param leaving: whether the server announced that it is shutting down.
    :param content_type: media type of the body.
    """

    status: int
    body: bytes
    leaving: bool = False
    content_type: str = "application/json"


class BackendClient(Protocol):
    """Sends requests to backend servers."""

    def send(
        self, server: InstanceInfo, request: BackendRequest
    ) -> Result[BackendResponse, Failure]:
        """Send a request once, without retries, and return the response.

        :return: the complete response or a failure. The failure is
            ``not_run`` only if no byte of the request can have reached the
            server, or the server itself refused to execute it.
        """
