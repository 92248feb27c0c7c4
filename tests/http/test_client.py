from __future__ import annotations

import socket
import threading

from collections.abc import Callable
from collections.abc import Iterator
from contextlib import contextmanager
from contextlib import suppress

import pytest

from magnoliapitch.http.client import HttpClient
from magnoliapitch.http.client import JsonClient
from magnoliapitch.verdict import FailureCode
from magnoliapitch.verdict import Verdict


MAX_BYTES = 100_000
TIMEOUT_MS = 10_000
SHORT_TIMEOUT_MS = 200
# A server that sends without end gives up after so much.
MAX_SENT_BYTES = 256 << 20
HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
CHUNK = b"%x\r\n%b\r\n" % (60_000, b" " * 60_000)

Script = Callable[[socket.socket], None]


class Server:
    """A server that answers the first request of each connection by script.

    :ivar connection_count: connections accepted so far.
    """

    def __init__(self, script: Script) -> None:
        self._script = script
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.connection_count = 0
        port = self._listener.getsockname()[1]
        self.url = f"http://127.0.0.1:{port}/"
        self.has_ended = threading.Event()
        self._thread = threading.Thread(target=self._run)
        self._thread.start()

    def close(self) -> None:
        self.has_ended.set()
        self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()
        self._thread.join()

    def _run(self) -> None:
        with suppress(OSError):
            while True:
                stream, _ = self._listener.accept()
                self.connection_count += 1
                with stream, suppress(OSError):
                    self._script(stream)


@contextmanager
def serving(script: Script) -> Iterator[Server]:
    server = Server(script)
    try:
        yield server
    finally:
        server.close()


def send_without_end(head: bytes, piece: bytes) -> Script:
    def script(stream: socket.socket) -> None:
        stream.recv(65_536)
        stream.sendall(head)
        for _ in range(MAX_SENT_BYTES // len(piece)):
            stream.sendall(piece)

    return script


def answer_all(answer: bytes) -> Script:
    def script(stream: socket.socket) -> None:
        while stream.recv(65_536):
            stream.sendall(answer)

    return script


# Answers were read whole, whatever their length.
@pytest.mark.parametrize(
    ("head", "piece"),
    [
        pytest.param(
            HEAD + b"Transfer-Encoding: chunked\r\n\r\n", CHUNK, id="chunks"
        ),
        pytest.param(HEAD + b"\r\n", CHUNK, id="until-close"),
        pytest.param(
            HEAD + b"Content-Length: 1000000000000\r\n\r\n",
            CHUNK,
            id="length",
        ),
    ],
)
def test_exchange_refuses_a_response_without_end(
    head: bytes, piece: bytes
) -> None:
    client = HttpClient(max_response_bytes=MAX_BYTES)
    with serving(send_without_end(head, piece)) as server:
        failure = client.exchange("GET", server.url, TIMEOUT_MS).unwrap_err()
    assert failure.verdict is Verdict.MAY_HAVE_RUN
    assert failure.code is FailureCode.BAD_RESPONSE
    assert failure.detail == "the response is longer than 100000 bytes"


def test_a_json_call_refuses_a_response_without_end() -> None:
    script = send_without_end(HEAD + b"\r\n", CHUNK)
    with serving(script) as server:
        outcome = JsonClient(server.url).call("GET", "")
    failure = outcome.unwrap_err()
    assert failure.code is FailureCode.BAD_RESPONSE
    assert "longer than" in failure.detail


# Each wait for data had a limit, and all of them together had none.
def test_exchange_gives_up_a_body_that_trickles() -> None:
    def trickle(stream: socket.socket) -> None:
        stream.recv(65_536)
        stream.sendall(HEAD + b"Content-Length: 1000\r\n\r\n")
        while not server.has_ended.wait(SHORT_TIMEOUT_MS / 10_000):
            stream.sendall(b" ")

    with serving(trickle) as server:
        outcome = HttpClient().exchange("GET", server.url, SHORT_TIMEOUT_MS)
    failure = outcome.unwrap_err()
    assert failure.verdict is Verdict.MAY_HAVE_RUN
    assert failure.code is FailureCode.TIMEOUT


@pytest.mark.parametrize("length", [0, 1, MAX_BYTES])
def test_exchange_reuses_the_connection_after_a_complete_response(
    length: int,
) -> None:
    client = HttpClient(max_response_bytes=MAX_BYTES)
    head = HEAD + b"Content-Length: %d\r\n\r\n" % length
    with serving(answer_all(head + b"a" * length)) as server:
        for _ in range(3):
            reply = client.exchange("GET", server.url, TIMEOUT_MS).unwrap()
            assert (reply.status, reply.data) == (200, b"a" * length)
        assert server.connection_count == 1
        client.close_unused()
        client.close_unused()


def test_exchange_calls_again_after_a_response_without_end() -> None:
    client = HttpClient(max_response_bytes=MAX_BYTES)
    with serving(send_without_end(HEAD + b"\r\n", CHUNK)) as server:
        for _ in range(3):
            outcome = client.exchange("GET", server.url, TIMEOUT_MS)
            assert outcome.unwrap_err().code is FailureCode.BAD_RESPONSE
        assert server.connection_count == 3


def test_exchange_fails_if_a_response_is_cut_off() -> None:
    def cut_off(stream: socket.socket) -> None:
        stream.recv(65_536)
        stream.sendall(HEAD + b"Content-Length: 10\r\n\r\nhalf")

    with serving(cut_off) as server:
        outcome = HttpClient().exchange("GET", server.url, TIMEOUT_MS)
    assert outcome.unwrap_err().verdict is Verdict.MAY_HAVE_RUN
