"""Adapter that fetches the instance list as JSON over HTTP.

``GET /instances`` answers ``{"instances": [...]}`` with the fields of
:class:`~magnoliapitch.membership.instance.InstanceInfo`.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from pydantic import TypeAdapter
from typing_extensions import TypedDict

from magnoliapitch.adapter.registry import instance_list_adapter
from magnoliapitch.http.client import JsonClient
from magnoliapitch.http.client import validate_response
from magnoliapitch.membership.instance import InstanceInfo


if TYPE_CHECKING:
    from result import Result

    from magnoliapitch.verdict import Failure


class InstanceListResponse(TypedDict):
    """JSON body of the response to ``GET /instances``."""

    instances: tuple[InstanceInfo, ...]


_RESPONSE_ADAPTER = TypeAdapter(InstanceListResponse)


class HttpInstanceList:
    """Client of the platform's instance list.

    :param url: base URL of the instance list.
    """

    def __init__(self, url: str) -> None:
        self._client = JsonClient(url)

    def instances(self) -> Result[tuple[InstanceInfo, ...], Failure]:
        """Fetch all listed instances."""
        response = self._client.call("GET", "/instances")
        listed = response.and_then(
            lambda value: validate_response(_RESPONSE_ADAPTER, value)
        )
        return listed.map(lambda found: found["instances"])


instance_list_adapter("http")(HttpInstanceList)
