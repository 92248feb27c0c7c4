"""Keyed streams in the platform's metadata store."""

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
from magnoliapitch.platform.framing import MalformedReplyError
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


# Statuses that concern the records of a call. Others that the protocol does
# not define may come from something between this instance and the store.
REFUSAL_STATUSES = (400, 413)
# In topics with this prefix, the store keeps the newest record of each key
# without limit.
TOPIC_PREFIX = "keyed."


class PlatformStore:
    """Client of the store; each stream is partition 0 of a topic.

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
        """Append all records or none.

        :param writer: identity for fencing and deduplication; None to append
            without them.
        :param expected_end: append only if the stream ends at this offset.
        """
        query = _topic_query(stream)
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
            lambda response: _decode_json(
                response,
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
        """Read records from an offset, oldest first.

        :param wait_ms: how long the store may wait for a first record.
        :param timeout_ms: how long the call may take beyond that.
        """
        query = {**_topic_query(stream), "from": from_offset}
        if wait_ms:
            query["wait-ms"] = wait_ms
        reply = self._call("GET", "/log-read", query, timeout_ms + wait_ms)
        return reply.and_then(
            lambda response: _decode_slice(response.data, from_offset)
        )

    def newest(
        self, stream: str, after_key: str = "", timeout_ms: int = 1_000
    ) -> Result[NewestPage, Failure]:
        """Return a page of the newest record of each key.

        :param after_key: last key of the previous page, empty for the first.
        """
        query = _topic_query(stream)
        if after_key:
            # The platform uses the same field for the key to continue after as
            # for the dependencies of a step.
            query["depends-on"] = after_key
        reply = self._call("GET", "/log-newest", query, timeout_ms)
        return reply.and_then(
            lambda response: _decode_json(response, _decode_page)
        )

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
        return reply.and_then(_check_status)


def _topic_query(stream: str) -> dict[str, Any]:
    return {"topic": TOPIC_PREFIX + stream, "part": 0}


def _check_status(reply: HttpReply) -> Result[HttpReply, Failure]:
    if reply.status == 200:
        return Ok(reply)
    detail = f"the store answered with status {reply.status}"
    if reply.status == 412:
        return Err(not_run(FailureCode.CONFLICT, detail))
    if reply.status == 410:
        return Err(not_run(FailureCode.TRUNCATED, detail))
    if reply.status == 409:
        return Err(_writer_failure(reply.data, detail))
    if reply.status in (429, 507):
        return Err(not_run(FailureCode.OVERLOADED, detail))
    if reply.status == 503:
        return Err(not_run(FailureCode.UNAVAILABLE, detail))
    if reply.status in REFUSAL_STATUSES:
        return Err(not_run(FailureCode.INVALID, detail))
    return Err(may_have_run(FailureCode.BAD_RESPONSE, detail))


def _writer_failure(data: bytes, detail: str) -> Failure:
    is_fenced = b"fenced" in data
    code = FailureCode.FENCED if is_fenced else FailureCode.SEQUENCE
    return not_run(code, f"{detail}: {data[:200]!r}")


def _decode_json(reply: HttpReply, decode: Any) -> Result[Any, Failure]:
    try:
        return Ok(decode(orjson.loads(reply.data)))
    except (ValueError, KeyError, TypeError) as error:
        detail = f"the store's answer cannot be read: {error!r}"
        return Err(may_have_run(FailureCode.BAD_RESPONSE, detail))


def _decode_slice(data: bytes, offset: int) -> Result[StreamSlice, Failure]:
    try:
        end, first, records = decode_read(data)
    except MalformedReplyError as error:
        return Err(may_have_run(FailureCode.BAD_RESPONSE, str(error)))
    stored = tuple(
        StoredRecord(offset + number, record.key, record.value)
        for number, record in enumerate(records)
    )
    return Ok(StreamSlice(stored, first, end))


def _decode_page(body: Any) -> NewestPage:
    # In this answer, ``items`` are records; elsewhere the platform uses the
    # name for other things.
    records = tuple(
        StoredRecord(
            int(item["offset"]),
            item["key"],
            base64.b64decode(item["value"]),
        )
        for item in body["items"]
    )
    return NewestPage(records, bool(body["more"]), int(body["end"]))
