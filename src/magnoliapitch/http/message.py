"""HTTP requests and responses as immutable values."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any
from typing import NamedTuple

import orjson


class HttpRequest(NamedTuple):
    """A request passed to a handler.

    :param path_values: decoded values by placeholder of the route's path.
    :param query_by_name: query parameters by name.
    :param headers_by_name: headers by lower-case name.
    :param request_id: request ID given by the caller, or a generated one.
    """

    method: str
    path: str
    path_values: Mapping[str, str]
    query_by_name: Mapping[str, str]
    headers_by_name: Mapping[str, str]
    body: bytes
    request_id: str = ""

    def json(self) -> Any:
        """Decode the body as JSON.

        :raises ValueError: if the body is not valid JSON.
        """
        return orjson.loads(self.body)


class HttpResponse(NamedTuple):
    """A response returned by a handler.

    :param content_type: media type of the body.
    :param headers: further headers as name and value.
    """

    status: int
    body: bytes = b""
    content_type: str = "application/json"
    headers: tuple[tuple[str, str], ...] = ()


def json_response(
    value: object,
    status: int = 200,
    headers: tuple[tuple[str, str], ...] = (),
) -> HttpResponse:
    """Return a response with a value encoded as JSON."""
    return HttpResponse(status, orjson.dumps(value), headers=headers)
