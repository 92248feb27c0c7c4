"""Interface through which an entry calls backend servers."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple
from typing import Protocol


if TYPE_CHECKING:
    from result import Result

    from magnoliapitch.membership.instance import InstanceInfo
    from magnoliapitch.verdict import Failure


class BackendRequest(NamedTuple):
    """A small request as a backend server receives it.

    :param request_id: repeated by the answer.
    :param entry: catalogue entry of the work.
    :param body: the caller's bytes.
    :param timeout_ms: how long to wait for the complete answer.
    """

    request_id: str
    entry: str
    body: bytes
    timeout_ms: int


class BackendResponse(NamedTuple):
    """A complete answer of a backend server.

    :param status: HTTP status.
    :param body: complete body.
    :param leaving: whether the server announced that it is leaving.
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
        """Send one request once and return its complete answer.

        :return: ``not_run`` only if no byte of the request can have
            reached the server or the server itself refused to run it.
        """
