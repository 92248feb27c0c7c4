"""Client of a log service over HTTP and JSON.

``POST /append`` with ``{"data": TEXT}`` returns ``{"offset": N}``;
``GET /read?from=N&limit=N&wait_ms=N`` returns
``{"records": [{"offset": N, "data": TEXT}], "oldest": N, "head": N}``.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Annotated

from pydantic import Field
from pydantic import TypeAdapter
from typing_extensions import TypedDict

from magnoliapitch.adapter.registry import log_adapter
from magnoliapitch.http.client import JsonClient
from magnoliapitch.http.client import validate_response
from magnoliapitch.journal.log import LogRecord
from magnoliapitch.journal.log import LogSlice


if TYPE_CHECKING:
    from result import Result

    from magnoliapitch.verdict import Failure


Offset = Annotated[int, Field(ge=0, lt=2**63)]


class AppendResponse(TypedDict):
    """Response body of an append."""

    offset: Offset


class RecordInResponse(TypedDict):
    """Record in the response body of a read."""

    offset: Offset
    data: str


class ReadResponse(TypedDict):
    """Response body of a read."""

    records: list[RecordInResponse]
    oldest: Offset
    head: Offset


_APPEND_RESPONSE = TypeAdapter(AppendResponse)
_READ_RESPONSE = TypeAdapter(ReadResponse)


class HttpLog:
    """Platform log behind an HTTP service.

    :param url: base URL of the service.
    """

    def __init__(self, url: str) -> None:
        self._client = JsonClient(url)

    def append(self, data: bytes) -> Result[int, Failure]:
        """Append one record and return its offset.

        :param data: UTF-8 text.
        """
        response = self._client.call(
            "POST", "/append", {"data": data.decode()}
        )
        appended = response.and_then(
            lambda value: validate_response(_APPEND_RESPONSE, value)
        )
        return appended.map(lambda body: body["offset"])

    def read(
        self, from_offset: int, limit: int, wait_ms: int = 0
    ) -> Result[LogSlice, Failure]:
        """Read records from an offset, oldest first.

        :param limit: maximum number of records to return.
        :param wait_ms: milliseconds that the service may wait for a first
            record.
        """
        response = self._client.call(
            "GET",
            f"/read?from={from_offset}&limit={limit}&wait_ms={wait_ms}",
            server_wait_ms=wait_ms,
        )
        return response.and_then(_slice_from)


def _slice_from(value: object) -> Result[LogSlice, Failure]:
    response = validate_response(_READ_RESPONSE, value)
    return response.map(
        lambda body: LogSlice(
            tuple(
                LogRecord(item["offset"], item["data"].encode())
                for item in body["records"]
            ),
            body["oldest"],
            body["head"],
        )
    )


log_adapter("http")(HttpLog)
