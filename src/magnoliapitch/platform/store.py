"""The platform's metadata store as keyed streams."""

from __future__ import annotations

import base64

from typing import TYPE_CHECKING
from typing import Any
from urllib.parse import urlencode

import orjson

from result import Err
from result import Ok
from result import Result

from magnoliapitch.ledger.stream import Appended
from magnoliapitch.ledger.stream import KeyedRecord
from magnoliapitch.ledger.stream import NewestPage
from magnoliapitch.ledger.stream import StoredRecord
from magnoliapitch.ledger.stream import StreamSlice
from magnoliapitch.ledger.stream import Writer
from magnoliapitch.platform.framing import DamagedReplyError
from magnoliapitch.platform.framing import decode_read
from magnoliapitch.platform.framing import encode_records
from magnoliapitch.verdict import Failure
from magnoliapitch.verdict import FailureCode
from magnoliapitch.verdict import may_have_run
from magnoliapitch.verdict import not_run


if TYPE_CHECKING:
    from collections.abc import Sequence

    from magnoliapitch.http.client import HttpClient
    from magnoliapitch.http.client import HttpReply


# Topics with this prefix keep the newest record of each key for good.
TOPIC_PREFIX = "keyed."


class PlatformStore:
    """Keyed streams in the platform's store; a stream is a topic.

    :param address: ``IP:PORT`` of the store.
    """

    def __init__(self, address: str, client: HttpClient) -> None:
        self._url = f"http://{address}"
        self._client = client

    def append(
        self,
        stream: str,
        records: Sequence[KeyedRecord],
        writer: Writer | None = None,
        expected_end: int | None = None,
        timeout_ms: int = 1_000,
    ) -> Result[Appended, Failure]:
        """Append all records or none."""
        query = _topic(stream)
        if writer is not None:
            query |= {
                "producer": writer.producer,
                "epoch": writer.epoch,
                "seq": writer.sequence,
            }
        if expected_end is not None:
            query["at"] = expected_end
        reply = self._call(
            "POST", "/log-append", query, timeout_ms, encode_records(records)
        )
        return reply.and_then(
            lambda got: _decoded(
                got,
                lambda body: Appended(int(body["offset"]), int(body["end"])),
            )
        )

    def read(
        self,
        stream: str,
        from_offset: int,
        wait_ms: int = 0,
        timeout_ms: int = 1_000,
    ) -> Result[StreamSlice, Failure]:
        """Read records from an offset, oldest first."""
        query = {**_topic(stream), "from": from_offset}
        if wait_ms:
            query["wait-ms"] = wait_ms
        reply = self._call("GET", "/log-read", query, timeout_ms + wait_ms)
        return reply.and_then(lambda got: _slice_from(got.data, from_offset))

    def newest(
        self, stream: str, after_key: str = "", timeout_ms: int = 1_000
    ) -> Result[NewestPage, Failure]:
        """Return a page of the newest record of each key."""
        query = _topic(stream)
        if after_key:
            # The field that names dependencies of steps continues a page.
            query["depends-on"] = after_key
        reply = self._call("GET", "/log-newest", query, timeout_ms)
        return reply.and_then(lambda got: _decoded(got, _page_from))

    def _call(
        self,
        method: str,
        path: str,
        query: dict[str, Any],
        timeout_ms: int,
        body: bytes | None = None,
    ) -> Result[HttpReply, Failure]:
        url = f"{self._url}{path}?{urlencode(query)}"
        reply = self._client.exchange(method, url, timeout_ms, body)
        return reply.and_then(_accepted)


def _topic(stream: str) -> dict[str, Any]:
    return {"topic": TOPIC_PREFIX + stream, "part": 0}


def _accepted(reply: HttpReply) -> Result[HttpReply, Failure]:
    if reply.status == 200:
        return Ok(reply)
    detail = f"the store answered {reply.status}"
    if reply.status == 412:
        return Err(not_run(FailureCode.CONFLICT, detail))
    if reply.status == 410:
        return Err(not_run(FailureCode.TRUNCATED, detail))
    if reply.status == 409:
        return Err(_refused_writer(reply.data, detail))
    if reply.status in (429, 507):
        return Err(not_run(FailureCode.OVERLOADED, detail))
    if reply.status == 503:
        return Err(not_run(FailureCode.UNAVAILABLE, detail))
    if reply.status < 500:
        return Err(not_run(FailureCode.INVALID, detail))
    return Err(may_have_run(FailureCode.BAD_ANSWER, detail))


def _refused_writer(data: bytes, detail: str) -> Failure:
    is_fenced = b"fenced" in data
    code = FailureCode.FENCED if is_fenced else FailureCode.SEQUENCE
    return not_run(code, f"{detail}: {data[:200]!r}")


def _decoded(reply: HttpReply, decode: Any) -> Result[Any, Failure]:
    try:
        return Ok(decode(orjson.loads(reply.data)))
    except (ValueError, KeyError, TypeError) as error:
        detail = f"the store's answer cannot be read: {error!r}"
        return Err(may_have_run(FailureCode.BAD_ANSWER, detail))


def _slice_from(data: bytes, offset: int) -> Result[StreamSlice, Failure]:
    try:
        end, first, records = decode_read(data)
    except DamagedReplyError as error:
        return Err(may_have_run(FailureCode.BAD_ANSWER, str(error)))
    stored = tuple(
        StoredRecord(offset + number, record.key, record.value)
        for number, record in enumerate(records)
    )
    return Ok(StreamSlice(stored, first, end))


def _page_from(body: Any) -> NewestPage:
    # Here ``items`` are records; elsewhere the name has other uses.
    records = tuple(
        StoredRecord(
            int(item["offset"]),
            item["key"],
            base64.b64decode(item["value"]),
        )
        for item in body["items"]
    )
    return NewestPage(records, bool(body["more"]), int(body["end"]))
