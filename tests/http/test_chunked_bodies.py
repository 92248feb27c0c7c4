"""Bodies that arrive in chunks, and their trailers."""

from __future__ import annotations

from typing import TYPE_CHECKING

import orjson
import pytest

from magnoliapitch.http import HttpLimits
from magnoliapitch.http.chunked import FREE_CHUNKS
from tests.http.running_server import CHUNKED_POST
from tests.http.running_server import PLAIN_POST
from tests.http.running_server import RunningServer
from tests.http.running_server import read_response


if TYPE_CHECKING:
    from collections.abc import Iterator


# Incident of issue 60: a line with a chunk's size that had no end was read
# until the memory was used up.
@pytest.mark.parametrize(
    "body",
    [
        b"0" * 5_000,
        b"1;" + b"a" * 5_000,
        b"1\r\na\r\n0;" + b"a" * 5_000,
    ],
)
def test_a_size_line_beyond_its_limit_is_refused(
    server: RunningServer, body: bytes
) -> None:
    status, headers, problem = server.exchange(CHUNKED_POST + body)
    assert status == 400
    assert headers["Connection"] == "close"
    fields = orjson.loads(problem)
    assert fields["verdict"] == "not_run"
    assert "longer than 4096 bytes" in fields["detail"]
    assert server.handler_calls == 0


# The library takes these for sizes, one of them for the end of the body.
@pytest.mark.parametrize("size", [b"-1", b"+1", b"0_1", b" 1", b"0x1", b""])
def test_a_chunk_size_of_other_than_digits_is_refused(
    server: RunningServer, size: bytes
) -> None:
    body = size + b"\r\na\r\n0\r\n\r\n"
    status, headers, problem = server.exchange(CHUNKED_POST + body)
    assert status == 400
    assert headers["Connection"] == "close"
    assert "hexadecimal" in orjson.loads(problem)["detail"]
    assert server.handler_calls == 0


def test_extensions_of_chunks_are_ignored(server: RunningServer) -> None:
    body = b"2;a=b\r\nab\r\nA ; c\r\n0123456789\r\n0;d\r\n\r\n"
    status, _, answer = server.exchange(CHUNKED_POST + body)
    assert (status, answer) == (200, b"ab0123456789")


def test_many_small_chunks_are_one_body(server: RunningServer) -> None:
    body = b"1\r\na\r\n" * 200 + b"0\r\n\r\n"
    status, _, answer = server.exchange(CHUNKED_POST + body)
    assert (status, answer) == (200, b"a" * 200)


# Trailers were taken for the next request, whose answer was then 400.
@pytest.mark.parametrize(
    "trailers", [b"", b"X-Sum: 1\r\n", b"X-Sum: 1\r\nX-Other: 2\r\n"]
)
def test_a_connection_goes_on_after_trailers(
    server: RunningServer, trailers: bytes
) -> None:
    chunked = CHUNKED_POST + b"2\r\nab\r\n0\r\n" + trailers + b"\r\n"
    first, second = _exchange_twice(server, chunked, PLAIN_POST)
    assert (first[0], first[2]) == (200, b"ab")
    assert (second[0], second[2]) == (200, b"hi")


# A trailer that spells a request was served as one: two answers to one
# message, the second of which a proxy gives to another caller.
def test_trailers_are_never_served_as_a_request(server: RunningServer) -> None:
    chunked = CHUNKED_POST + b"2\r\nab\r\n0\r\n" + PLAIN_POST[:-2]
    status, _, body = server.exchange(chunked)
    assert (status, body) == (200, b"ab")
    first, second = _exchange_twice(server, chunked, PLAIN_POST)
    assert (first[2], second[2]) == (b"ab", b"hi")
    assert server.handler_calls == 3


def test_a_connection_is_closed_if_the_end_of_trailers_is_missing(
    server: RunningServer,
) -> None:
    chunked = CHUNKED_POST + b"2\r\nab\r\n0\r\nX-Sum: 1\r\n"
    status, headers, body = server.exchange(chunked)
    assert (status, body) == (200, b"ab")
    assert headers["Connection"] == "close"


def _exchange_twice(
    server: RunningServer, first: bytes, second: bytes
) -> list[tuple[int, dict[str, str], bytes]]:
    """Send two requests on one connection, each after the answer before."""
    with server.connect() as stream:
        answers = []
        for data in (first, second):
            stream.sendall(data)
            answers.append(read_response(stream))
        return answers


@pytest.fixture
def roomy_server() -> Iterator[RunningServer]:
    """Return a server that takes bodies of the default length."""
    server = RunningServer(HttpLimits(), HttpLimits().body_max_bytes)
    server.listener.start()
    yield server
    server.listener.stop()


def chunked(size: int, count: int, extension: bytes = b"") -> bytes:
    """Return a chunked body of equal chunks."""
    chunk = b"%x%b\r\n%b\r\n" % (size, extension, b"a" * size)
    return chunk * count + b"0\r\n\r\n"


# A body in chunks of one byte took most of a second of processor time.
@pytest.mark.parametrize("extension", [b"", b";a=b"])
def test_too_many_chunks_for_their_data_are_refused(
    roomy_server: RunningServer, extension: bytes
) -> None:
    body = chunked(1, 2 * FREE_CHUNKS, extension)
    status, headers, problem = roomy_server.exchange(CHUNKED_POST + body)
    fields = orjson.loads(problem)
    assert (status, fields["verdict"]) == (400, "not_run")
    assert headers["Connection"] == "close"
    assert f"in {FREE_CHUNKS + 5} chunks" in fields["detail"]
    assert "needs 256 bytes" in fields["detail"]
    assert roomy_server.handler_calls == 0


@pytest.mark.parametrize(
    ("size", "count"),
    [(1, FREE_CHUNKS), (256, 3_900), (1_024, 1_000), (500_000, 3)],
)
def test_chunks_within_their_number_are_one_body(
    roomy_server: RunningServer, size: int, count: int
) -> None:
    body = b"3;a=b\r\nabc\r\n" + chunked(size, count - 1)
    status, _, answer = roomy_server.exchange(CHUNKED_POST + body)
    assert status == 200
    assert answer == b"abc" + b"a" * (size * (count - 1))
