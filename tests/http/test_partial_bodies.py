from __future__ import annotations

import contextlib
import socket
import time

from typing import TYPE_CHECKING

import orjson
import pytest

from magnoliapitch.http import HttpLimits
from magnoliapitch.http.server import BODY_BEFORE_THREAD_BYTES
from tests.http.running_server import CHUNKED_POST
from tests.http.running_server import LIMITS
from tests.http.running_server import PLAIN_POST
from tests.http.running_server import THREADS
from tests.http.running_server import TIMEOUT_S
from tests.http.running_server import RunningServer
from tests.http.running_server import read_response


if TYPE_CHECKING:
    from collections.abc import Iterator


# Longer than a thread waits for a body that follows its head.
PAUSE_S = 0.1
LONG_BYTES = 2 * BODY_BEFORE_THREAD_BYTES
POST = b"POST /echo HTTP/1.1\r\nHost: h\r\n"


@pytest.fixture
def server() -> Iterator[RunningServer]:
    """Return a server that waits for a request for longer than its clients."""
    limits = LIMITS._replace(
        body_max_bytes=HttpLimits().body_max_bytes,
        connections=16,
        read_timeout_ms=3_000 * TIMEOUT_S,
    )
    server = RunningServer(limits, limits.body_max_bytes)
    server.listener.start()
    yield server
    server.release_handlers.set()
    server.listener.stop()


@pytest.fixture
def hasty_server() -> Iterator[RunningServer]:
    server = RunningServer()
    server.listener.start()
    yield server
    server.listener.stop()


def with_length(length: int) -> bytes:
    return POST + b"Content-Length: %d\r\n\r\n" % length


# Threads waited for the rest of bodies, those that only refuse included, so
# that other callers got 503 or no answer.
@pytest.mark.parametrize(
    "begun",
    [
        with_length(10) + b"half",
        with_length(LONG_BYTES),
        with_length(LONG_BYTES) + b"a" * (LONG_BYTES - 1),
        CHUNKED_POST,
        CHUNKED_POST + b"2\r\na",
        CHUNKED_POST + b"9\r\n0\r\n\r\n",
    ],
)
def test_bodies_that_arrive_in_part_leave_threads_for_others(
    server: RunningServer, begun: bytes
) -> None:
    with contextlib.ExitStack() as stack:
        for _ in range(4 * THREADS):
            stream = stack.enter_context(server.connect())
            stream.sendall(begun)
        time.sleep(PAUSE_S)
        status, _, body = server.exchange(PLAIN_POST)
    assert (status, body) == (200, b"hi")


def test_a_body_that_is_awaited_by_too_many_is_refused(
    server: RunningServer,
) -> None:
    with server.connect() as waiting, server.connect() as refused:
        waiting.sendall(CHUNKED_POST + b"2\r\na")
        time.sleep(PAUSE_S)
        refused.sendall(CHUNKED_POST + b"2\r\na")
        status, headers, problem = read_response(refused)
        waiting.sendall(b"b\r\n0\r\n\r\n")
        answer = read_response(waiting)
    fields = orjson.loads(problem)
    assert (status, fields["verdict"]) == (503, "not_run")
    assert fields["title"] == "overloaded"
    assert headers["Connection"] == "close"
    assert headers["Retry-After"] == "1"
    assert (answer[0], answer[2]) == (200, b"ab")


# The library reads the rest of a body before it refuses the request.
def test_a_refusal_does_not_wait_for_the_body(server: RunningServer) -> None:
    with contextlib.ExitStack() as stack:
        for number in range(1, THREADS + 1):
            busy = stack.enter_context(server.connect())
            busy.sendall(b"GET /wait HTTP/1.1\r\nHost: a\r\n\r\n")
            while server.handler_calls < number:
                time.sleep(0.001)
        stream = stack.enter_context(server.connect())
        stream.sendall(with_length(LONG_BYTES) + b"a" * (LONG_BYTES - 1))
        status, headers, _ = read_response(stream)
    assert status == 503
    assert headers["Connection"] == "close"


@pytest.mark.parametrize("length", [1, 1_000, LONG_BYTES])
def test_a_body_long_after_its_head_is_served(
    server: RunningServer, length: int
) -> None:
    with server.connect() as stream:
        for _ in range(2):
            stream.sendall(with_length(length))
            time.sleep(PAUSE_S)
            stream.sendall(b"a" * (length // 2))
            time.sleep(PAUSE_S)
            stream.sendall(b"a" * (length - length // 2))
            status, headers, body = read_response(stream)
            assert (status, body) == (200, b"a" * length)
            assert "Connection" not in headers


def test_an_awaited_body_keeps_the_wish_to_close(
    server: RunningServer,
) -> None:
    with server.connect() as stream:
        head = POST + b"Connection: close\r\nContent-Length: 2\r\n\r\n"
        stream.sendall(head)
        time.sleep(PAUSE_S)
        stream.sendall(b"hi")
        status, headers, body = read_response(stream)
        assert stream.recv(1) == b""
    assert (status, body) == (200, b"hi")
    assert headers["Connection"] == "close"


def test_an_awaited_body_of_a_closed_connection_is_refused(
    server: RunningServer,
) -> None:
    with server.connect() as stream:
        stream.sendall(with_length(10) + b"half")
        time.sleep(PAUSE_S)
        stream.shutdown(socket.SHUT_WR)
        status, _, problem = read_response(stream)
    assert (status, orjson.loads(problem)["verdict"]) == (400, "not_run")
    assert server.handler_calls == 0


def test_a_body_that_never_ends_is_refused_in_time(
    hasty_server: RunningServer,
) -> None:
    head = POST + b"X-Request-Id: r1\r\nContent-Length: 10\r\n\r\nhalf"
    status, headers, problem = hasty_server.exchange(head)
    assert (status, orjson.loads(problem)["verdict"]) == (408, "not_run")
    assert headers["Connection"] == "close"
    assert headers["X-Request-Id"] == "r1"


# The deadline is for the whole body, whatever each read has waited.
@pytest.mark.parametrize(
    "head", [with_length(1_000), CHUNKED_POST + b"3e8\r\n"]
)
def test_a_body_sent_byte_by_byte_is_refused_in_time(
    hasty_server: RunningServer, head: bytes
) -> None:
    with hasty_server.connect() as stream:
        stream.sendall(head)
        stream.settimeout(LIMITS.read_timeout_ms / 10_000)
        status = 0
        for _ in range(900):
            try:
                stream.sendall(b"a")
                status = read_response(stream)[0]
                break
            except TimeoutError:
                continue
    assert status == 408
