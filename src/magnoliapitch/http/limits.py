"""Limits on what a listener accepts from its clients."""

from __future__ import annotations

from typing import Annotated
from typing import NamedTuple

from pydantic import Field


Bytes = Annotated[int, Field(ge=1_024, le=1 << 30, strict=True)]
ChunkBytes = Annotated[int, Field(ge=1, le=1 << 20, strict=True)]
Milliseconds = Annotated[int, Field(ge=10, le=86_400_000, strict=True)]
Count = Annotated[int, Field(ge=1, le=1_000_000, strict=True)]


class HttpLimits(NamedTuple):
    """Limits on what a listener accepts from its clients.

    :param body_max_bytes: longest body of a request.
    :param header_max_bytes: longest request line, and largest total size of
        the headers of a request.
    :param line_max_bytes: longest line with the size of a chunk, in a chunked
        body.
    :param chunk_mean_bytes: least data of a chunked body for each chunk
        beyond the first 1,024.
    :param connections: connections that have sent a request or a part of it;
        requests beyond the limit are refused. Twice as many may be open;
        beyond that, the one that has sent nothing for longest is closed.
    :param waiting_connections: connections whose request waits for a
        thread.
    :param reserve_threads: further threads, which only refuse requests
        while all other threads are busy.
    :param read_timeout_ms: time for a request to arrive completely, and
        for an idle connection to stay open.
    """

    body_max_bytes: Bytes = 1 << 20
    header_max_bytes: Bytes = 16 << 10
    line_max_bytes: Bytes = 4 << 10
    chunk_mean_bytes: ChunkBytes = 256
    connections: Count = 512
    waiting_connections: Count = 512
    reserve_threads: Count = 4
    read_timeout_ms: Milliseconds = 10_000
