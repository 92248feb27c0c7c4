"""HTTP requests and responses as plain values."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any
from typing import NamedTuple

import orjson


class HttpRequest(NamedTuple):
    """A request that an application handles.

    :param path_values: values of the placeholders of the route's path.
    :param headers_by_name: headers by lower-case name.
    :param request_id: the caller's id of the request, or a new one.
    """

    method: str
    path: str
    path_values: Mapping[str, str]
    query_by_name: Mapping[str, str]
    headers_by_name: Mapping[str, str]
    body: bytes
    request_id: str = ""

    def json(self) -> Any:
        """Decode the body.

        :raises ValueError: if the body is not JSON.
        """
        return orjson.loads(self.body)


class HttpResponse(NamedTuple):
    """A response of an application."""

    status: int
    body: bytes = b""
    content_type: str = "application/json"
    headers: tuple[tuple[str, str], ...] = ()


def json_response(
    value: object,
    status: int = 200,
    headers: tuple[tuple[str, str], ...] = (),
) -> HttpResponse:
    """Return a JSON response."""
    return HttpResponse(status, orjson.dumps(value), headers=headers)
