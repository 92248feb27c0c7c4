from __future__ import annotations

import contextlib
import socket
import threading
import time

from typing import TYPE_CHECKING

import orjson
import pytest

from magnoliapitch.http import Application
from magnoliapitch.http import HttpLimits
from magnoliapitch.http import HttpRequest
from magnoliapitch.http import HttpResponse
from magnoliapitch.http import Listener
from magnoliapitch.http import json_response
from magnoliapitch.http.chunked import FREE_CHUNKS


if TYPE_CHECKING:
    from collections.abc import Iterator


THREADS = 2
LIMITS = HttpLimits(
    body_max_bytes=1_024,
    header_max_bytes=2_048,
    connections=6,
    reserve_threads=1,
    read_timeout_ms=300,
)
TIMEOUT_S = 20


class RunningServer:
    def __init__(
        self,
        limits: HttpLimits = LIMITS,
        body_max_bytes: int = LIMITS.body_max_bytes,
    ) -> None:
        self.handler_calls = 0
        self.release_handlers = threading.Event()
        self.application = Application(body_max_bytes)
        self.listener = Listener(
            "test", ("127.0.0.1", 0), self.application, THREADS, limits=limits
        )

        @self.application.route("POST", "/echo")
        def echo(request: HttpRequest) -> HttpResponse:
            self.handler_calls += 1
            return HttpResponse(200, request.body, "text/plain")

        @self.application.route("GET", "/wait")
        def wait(request: HttpRequest) -> HttpResponse:
            self.handler_calls += 1
            self.release_handlers.wait(TIMEOUT_S)
            return json_response({})

        @self.application.route("GET", "/fail")
        def fail(request: HttpRequest) -> HttpResponse:
            raise RuntimeError("broken handler")

        @self.application.route("GET", "/inject")
        def inject(request: HttpRequest) -> HttpResponse:
            return json_response({}, 299, (("X-Any", "a\r\nX-Evil: 1"),))

    def connect(self) -> socket.socket:
        stream = socket.create_connection(("127.0.0.1", self.listener.port))
        stream.settimeout(TIMEOUT_S)
        return stream

    def exchange(self, data: bytes) -> tuple[int, dict[str, str], bytes]:
        with self.connect() as stream:
            stream.sendall(data)
            return read_response(stream)


def read_response(stream: socket.socket) -> tuple[int, dict[str, str], bytes]:
    data = b""
    while b"\r\n\r\n" not in data:
        chunk = stream.recv(65_536)
        assert chunk, "the connection was closed without a response"
        data += chunk
    head, _, body = data.partition(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = dict(line.split(": ", 1) for line in lines[1:])
    while len(body) < int(headers["Content-Length"]):
        body += stream.recv(65_536)
    return int(lines[0].split()[1]), headers, body


@pytest.fixture
def server() -> Iterator[RunningServer]:
    server = RunningServer()
    server.listener.start()
    yield server
    server.release_handlers.set()
    server.listener.stop()


def _post(head: str, body: bytes = b"") -> bytes:
    return f"POST /echo HTTP/1.1\r\nHost: a\r\n{head}\r\n".encode() + body


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"nonsense\r\n\r\n", 400),
        (_post("Content-Length: 2000\r\n"), 413),
        (_post("Content-Length: -1\r\n"), 400),
        (_post("Content-Length: +3\r\n", b"abc"), 400),
        (_post("Content-Length: x\r\n"), 400),
        (_post("Content-Length: 3\r\nContent-Length: 4\r\n", b"abcd"), 400),
        (
            _post(
                "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n",
                b"0\r\n\r\n",
            ),
            400,
        ),
        (_post("Transfer-Encoding: gzip\r\n"), 501),
        (_post("Transfer-Encoding: chunked\r\n", b"zz\r\nabc\r\n"), 400),
        (
            _post(
                "Transfer-Encoding: chunked\r\n",
                b"800\r\n" + b"x" * 0x800 + b"\r\n0\r\n\r\n",
            ),
            413,
        ),
        (_post(f"X-Big: {'x' * 3_000}\r\n"), 413),
        (b"GET /" + b"x" * 3_000 + b" HTTP/1.1\r\n\r\n", 414),
        (_post("Content-Length: 10\r\n", b"half"), 408),
        (b"POST /echo HTTP/1.1\r\nHost:", 408),
        (_post("X-Request-Id: a b\r\nContent-Length: 0\r\n"), 400),
        (_post("X-Request-Id: \xe9\r\nContent-Length: 0\r\n"), 400),
        (b"GET /echo HTTP/1.1\r\nHost: a\r\n\r\n", 405),
        (b"GET /nothing HTTP/1.1\r\nHost: a\r\n\r\n", 404),
    ],
)
def test_listener_rejects_malformed_requests(
    server: RunningServer, data: bytes, status: int
) -> None:
    found_status, headers, body = server.exchange(data)
    problem = orjson.loads(body)
    assert found_status == problem["status"] == status
    assert headers["Content-Type"] == "application/problem+json"
    assert problem["verdict"] == "not_run"
    assert headers["X-Request-Id"]
    assert server.handler_calls == 0


def test_listener_rejects_a_truncated_body_of_a_closed_connection(
    server: RunningServer,
) -> None:
    with server.connect() as stream:
        stream.sendall(_post("Content-Length: 10\r\n", b"half"))
        stream.shutdown(socket.SHUT_WR)
        status, headers, body = read_response(stream)
    assert (status, orjson.loads(body)["verdict"]) == (400, "not_run")
    assert headers["Connection"] == "close"
    assert server.handler_calls == 0


def test_listener_echoes_request_ids_and_keeps_connections(
    server: RunningServer,
) -> None:
    with server.connect() as stream:
        for number in range(3):
            head = f"X-Request-Id: r{number}\r\nContent-Length: 3\r\n"
            stream.sendall(_post(head, b"abc"))
            status, headers, body = read_response(stream)
            assert (status, body) == (200, b"abc")
            assert headers["X-Request-Id"] == f"r{number}"
        head = "X-Request-Id: r4\r\nTransfer-Encoding: chunked\r\n"
        stream.sendall(_post(head, b"2\r\nab\r\n1\r\nc\r\n0\r\n\r\n"))
        assert read_response(stream)[2] == b"abc"


def test_listener_responds_500_when_a_handler_raises(
    server: RunningServer,
) -> None:
    data = b"GET /fail HTTP/1.1\r\nHost: a\r\nX-Request-Id: r1\r\n\r\n"
    status, headers, body = server.exchange(data)
    problem = orjson.loads(body)
    assert (status, problem["verdict"]) == (500, "may_have_run")
    assert headers["X-Request-Id"] == problem["request_id"] == "r1"
    assert "broken handler" not in body.decode()


def test_listener_prevents_header_injection(server: RunningServer) -> None:
    status, headers, _ = server.exchange(
        b"GET /inject HTTP/1.1\r\nHost: a\r\n\r\n"
    )
    assert status == 299
    assert "X-Evil" not in headers


def test_listener_refuses_without_waiting_while_all_threads_are_busy(
    server: RunningServer,
) -> None:
    waiting = [server.connect() for _ in range(THREADS)]
    for stream in waiting:
        stream.sendall(b"GET /wait HTTP/1.1\r\nHost: a\r\n\r\n")
    while server.handler_calls < THREADS:
        pass
    for _ in range(3):
        status, headers, body = server.exchange(
            b"GET /wait HTTP/1.1\r\nHost: a\r\n\r\n"
        )
        assert (status, orjson.loads(body)["verdict"]) == (503, "not_run")
        assert headers["Retry-After"] == "1"
    server.release_handlers.set()
    assert [read_response(stream)[0] for stream in waiting] == [200, 200]
    assert server.handler_calls == THREADS
    for stream in waiting:
        stream.close()


def test_listener_assigns_no_thread_to_a_silent_connection(
    server: RunningServer,
) -> None:
    silent = [server.connect() for _ in range(4)]
    status, _, _ = server.exchange(_post("Content-Length: 0\r\n"))
    assert status == 200
    for stream in silent:
        stream.close()


def test_listener_refuses_requests_beyond_the_connection_limit(
    server: RunningServer,
) -> None:
    idle = [server.connect() for _ in range(LIMITS.connections)]
    status, headers, body = server.exchange(_post("Content-Length: 0\r\n"))
    assert (status, orjson.loads(body)["verdict"]) == (503, "not_run")
    assert headers["Connection"] == "close"
    for stream in idle:
        stream.close()


def test_listener_times_out_a_request_sent_byte_by_byte(
    server: RunningServer,
) -> None:
    with server.connect() as stream:
        stream.sendall(b"POST /echo HTTP/1.1\r\nX-Slow: ")
        stream.settimeout(LIMITS.read_timeout_ms / 10_000)
        status = 0
        for _ in range(1_000):
            try:
                stream.sendall(b"x")
                status = read_response(stream)[0]
                break
            except TimeoutError:
                continue
    assert status == 408


CHUNKED_POST = (
    b"POST /echo HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
)


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


def exchange_twice(
    server: RunningServer, first: bytes, second: bytes
) -> list[tuple[int, dict[str, str], bytes]]:
    """Send two requests on one connection, each after the answer before."""
    with server.connect() as stream:
        answers = []
        for data in (first, second):
            stream.sendall(data)
            answers.append(read_response(stream))
        return answers


PLAIN_POST = b"POST /echo HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nhi"


# Trailers were taken for the next request, whose answer was then 400.
@pytest.mark.parametrize(
    "trailers", [b"", b"X-Sum: 1\r\n", b"X-Sum: 1\r\nX-Other: 2\r\n"]
)
def test_a_connection_goes_on_after_trailers(
    server: RunningServer, trailers: bytes
) -> None:
    chunked = CHUNKED_POST + b"2\r\nab\r\n0\r\n" + trailers + b"\r\n"
    first, second = exchange_twice(server, chunked, PLAIN_POST)
    assert (first[0], first[2]) == (200, b"ab")
    assert (second[0], second[2]) == (200, b"hi")


# A trailer that spells a request was served as one: two answers to one
# message, the second of which a proxy gives to another caller.
def test_trailers_are_never_served_as_a_request(server: RunningServer) -> None:
    chunked = CHUNKED_POST + b"2\r\nab\r\n0\r\n" + PLAIN_POST[:-2]
    status, _, body = server.exchange(chunked)
    assert (status, body) == (200, b"ab")
    first, second = exchange_twice(server, chunked, PLAIN_POST)
    assert (first[2], second[2]) == (b"ab", b"hi")
    assert server.handler_calls == 3


def test_a_connection_is_closed_if_the_end_of_trailers_is_missing(
    server: RunningServer,
) -> None:
    chunked = CHUNKED_POST + b"2\r\nab\r\n0\r\nX-Sum: 1\r\n"
    status, headers, body = server.exchange(chunked)
    assert (status, body) == (200, b"ab")
    assert headers["Connection"] == "close"


@pytest.fixture
def patient_server() -> Iterator[RunningServer]:
    """Return a server that waits for a request for longer than its clients."""
    limits = LIMITS._replace(read_timeout_ms=3_000 * TIMEOUT_S)
    server = RunningServer(limits)
    server.listener.start()
    yield server
    server.listener.stop()


# Threads waited for the rest of heads, those that only refuse included, so
# that other callers got no answer.
@pytest.mark.parametrize("head", [b"P", b"POST /echo HTTP/1.1\r\nHost: h\r\n"])
def test_heads_that_arrive_in_part_occupy_no_thread(
    patient_server: RunningServer, head: bytes
) -> None:
    with contextlib.ExitStack() as stack:
        for _ in range(2 * THREADS):
            stream = stack.enter_context(patient_server.connect())
            stream.sendall(head)
        status, _, body = patient_server.exchange(PLAIN_POST)
    assert (status, body) == (200, b"hi")


def test_a_head_that_arrives_in_pieces_is_served(
    server: RunningServer,
) -> None:
    with server.connect() as stream:
        for number in range(0, len(PLAIN_POST), 8):
            stream.sendall(PLAIN_POST[number : number + 8])
            time.sleep(0.005)
        status, _, body = read_response(stream)
    assert (status, body) == (200, b"hi")


def test_a_head_that_never_ends_is_refused_in_time(
    server: RunningServer,
) -> None:
    status, headers, body = server.exchange(b"GET / HTTP/1.1\r\nHost: ")
    assert (status, orjson.loads(body)["verdict"]) == (408, "not_run")
    assert headers["Connection"] == "close"


def test_requests_sent_together_are_served_one_after_the_other(
    server: RunningServer,
) -> None:
    with server.connect() as stream:
        stream.sendall(PLAIN_POST * 3 + PLAIN_POST[:20])
        data = b""
        while data.count(b"\r\n\r\nhi") < 3:
            data += stream.recv(65_536)
        stream.sendall(PLAIN_POST[20:])
        while data.count(b"\r\n\r\nhi") < 4:
            data += stream.recv(65_536)
    assert data.count(b"HTTP/1.1 200 OK") == 4
