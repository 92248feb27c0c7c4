from __future__ import annotations

import contextlib
import socket
import time

import orjson
import pytest

from tests.http.running_server import LIMITS
from tests.http.running_server import PLAIN_POST
from tests.http.running_server import THREADS
from tests.http.running_server import RunningServer
from tests.http.running_server import read_response


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
    # As many connections as may be are busy with a request.
    server.listener._server.change_open_count(LIMITS.connections)
    status, headers, body = server.exchange(_post("Content-Length: 0\r\n"))
    assert (status, orjson.loads(body)["verdict"]) == (503, "not_run")
    assert headers["Connection"] == "close"
    server.listener._server.change_open_count(-1)
    assert server.exchange(PLAIN_POST)[0] == 200


# Silent connections kept everybody else out: requests beyond the limit were
# refused, and connections beyond twice the limit closed unread.
@pytest.mark.parametrize("count", [1, 2, 4])
def test_connections_that_send_nothing_keep_nobody_out(
    patient_server: RunningServer, count: int
) -> None:
    with contextlib.ExitStack() as stack:
        for _ in range(count * LIMITS.connections):
            stack.enter_context(patient_server.connect())
            status, _, _ = patient_server.exchange(PLAIN_POST)
            assert status == 200


def test_the_connection_that_was_silent_for_longest_is_closed(
    patient_server: RunningServer,
) -> None:
    with contextlib.ExitStack() as stack:
        used = stack.enter_context(patient_server.connect())
        used.sendall(PLAIN_POST)
        assert read_response(used)[0] == 200
        silent = [
            stack.enter_context(patient_server.connect())
            for _ in range(2 * LIMITS.connections + 1)
        ]
        silent[0].settimeout(5)
        assert silent[0].recv(1) == b""
        assert silent[1].recv(1) == b""
        for kept in (used, silent[-1]):
            kept.sendall(PLAIN_POST)
            assert read_response(kept)[0] == 200


def test_requests_that_arrived_in_part_keep_nobody_out(
    patient_server: RunningServer,
) -> None:
    with contextlib.ExitStack() as stack:
        for number in range(3 * LIMITS.connections):
            slow = stack.enter_context(patient_server.connect())
            slow.sendall(b"POST /echo HTTP/1.1\r\nHost: h\r\n")
            if number % 4 == 0:
                time.sleep(0.1)
            assert patient_server.exchange(PLAIN_POST)[0] == 200


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
