"""Adapter to an instance list that speaks HTTP and JSON.

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
    """Answer of the instance list."""

    instances: tuple[InstanceInfo, ...]


_ADAPTER = TypeAdapter(InstanceListResponse)


class HttpInstanceList:
    """The platform's list of instances over HTTP."""

    def __init__(self, url: str) -> None:
        self._client = JsonClient(url)

    def instances(self) -> Result[tuple[InstanceInfo, ...], Failure]:
        """Return every listed instance."""
        answer = self._client.call("GET", "/instances")
        listed = answer.and_then(
            lambda value: validate_response(_ADAPTER, value)
        )
        return listed.map(lambda found: found["instances"])


instance_list_adapter("http")(HttpInstanceList)
