from __future__ import annotations

import io

import pytest

from magnoliapitch.http.body import PIECE_BYTES
from magnoliapitch.http.body import read_body
from magnoliapitch.http.message import HttpResponse


MAX_BYTES = 3 * PIECE_BYTES


class RecordingInput(io.BytesIO):
    """Input that records the sizes of the reads."""

    def __init__(self, data: bytes) -> None:
        super().__init__(data)
        self.sizes: list[int | None] = []

    def read(self, size: int | None = -1, /) -> bytes:
        self.sizes.append(size)
        return super().read(size)


def read_chunked(stream: io.BytesIO) -> bytes | HttpResponse:
    environ = {"wsgi.input_terminated": True, "wsgi.input": stream}
    return read_body(environ, MAX_BYTES)


# A body of 1 MiB was read in one call, for which the library copied all that
# it had read for each chunk: 0.16 s of processor time at 256 bytes a chunk.
def test_read_body_reads_a_chunked_body_in_pieces() -> None:
    stream = RecordingInput(b"a" * MAX_BYTES)
    assert read_chunked(stream) == b"a" * MAX_BYTES
    assert set(stream.sizes) == {PIECE_BYTES}


@pytest.mark.parametrize("length", [0, 1, PIECE_BYTES + 1, MAX_BYTES])
def test_read_body_returns_a_chunked_body_within_its_limit(
    length: int,
) -> None:
    assert read_chunked(io.BytesIO(b"a" * length)) == b"a" * length


@pytest.mark.parametrize("excess", [1, PIECE_BYTES])
def test_read_body_refuses_a_chunked_body_beyond_its_limit(
    excess: int,
) -> None:
    response = read_chunked(io.BytesIO(b"a" * (MAX_BYTES + excess)))
    assert isinstance(response, HttpResponse)
    assert response.status == 413
    assert ("Connection", "close") in response.headers
