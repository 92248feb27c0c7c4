"""Adapter to a log service that speaks HTTP and JSON.

``POST /append`` with ``{"data": TEXT}`` answers ``{"offset": N}``;
``GET /read?from=N&limit=N&wait_ms=N`` answers
``{"records": [{"offset": N, "data": TEXT}], "oldest": N, "head": N}``.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from magnoliapitch.platform.http_client import JsonClient
from magnoliapitch.platform.log import LogRecord
from magnoliapitch.platform.log import LogSlice
from magnoliapitch.platform.registry import log_adapter


if TYPE_CHECKING:
    from result import Result

    from magnoliapitch.verdict import Failure


class HttpLog:
    """The platform's log over HTTP.

    :param url: base address of the service.
    """

    def __init__(self, url: str) -> None:
        self._client = JsonClient(url)

    def append(self, data: bytes) -> Result[int, Failure]:
        """Append one record and return its offset."""
        answer = self._client.call("POST", "/append", {"data": data.decode()})
        return answer.map(lambda value: int(value["offset"]))

    def read(
        self, from_offset: int, limit: int, wait_ms: int = 0
    ) -> Result[LogSlice, Failure]:
        """Read records from an offset, oldest first."""
        answer = self._client.call(
            "GET",
            f"/read?from={from_offset}&limit={limit}&wait_ms={wait_ms}",
            extra_wait_ms=wait_ms,
        )
        return answer.map(_slice_from)


def _slice_from(value: dict[str, object]) -> LogSlice:
    records = value["records"]
    assert isinstance(records, list)
    return LogSlice(
        tuple(
            LogRecord(item["offset"], item["data"].encode())
            for item in records
        ),
        int(str(value["oldest"])),
        int(str(value["head"])),
    )


log_adapter("http")(HttpLog)
