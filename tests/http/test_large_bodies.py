"""Large bodies, of which few are handled at a time."""

from __future__ import annotations

import threading

from typing import TYPE_CHECKING

import orjson
import pytest

from magnoliapitch.http import Application
from magnoliapitch.http import HttpRequest
from magnoliapitch.http import HttpResponse
from magnoliapitch.http import LargeBodies
from magnoliapitch.http import Listener
from magnoliapitch.http.large_bodies import LARGE_BODY_BYTES
from tests.http.running_server import TIMEOUT_S
from tests.http.running_server import RunningServer


if TYPE_CHECKING:
    from collections.abc import Iterator


COUNT = 2
THREADS = 8


class SlowServer(RunningServer):
    """Handles a body of more than one byte only once it is let.

    :ivar under_way: number of those that are handled now.
    """

    def __init__(self) -> None:
        super().__init__()
        self.under_way = threading.Semaphore(0)
        self.application = Application(
            4 * LARGE_BODY_BYTES, None, LargeBodies(COUNT, 0.1)
        )
        self.listener = Listener(
            "test", ("127.0.0.1", 0), self.application, THREADS
        )

        @self.application.route("POST", "/echo")
        def echo(request: HttpRequest) -> HttpResponse:
            if len(request.body) > 1:
                self.under_way.release()
                assert self.release_handlers.wait(TIMEOUT_S)
            return HttpResponse(200)


@pytest.fixture
def slow_server() -> Iterator[SlowServer]:
    server = SlowServer()
    server.listener.start()
    yield server
    server.release_handlers.set()
    server.listener.stop()


def post(length: int) -> bytes:
    head = (
        f"POST /echo HTTP/1.1\r\nHost: h\r\nContent-Length: {length}\r\n\r\n"
    )
    return head.encode() + b"a" * length


# Twenty bodies at a time, each decoded into fifty times its length, exceeded
# the memory of every instance.
def test_few_large_bodies_are_handled_at_a_time(
    slow_server: SlowServer,
) -> None:
    large = post(LARGE_BODY_BYTES + 1)
    streams = [slow_server.connect() for _ in range(COUNT)]
    for stream in streams:
        stream.sendall(large)
        assert slow_server.under_way.acquire(timeout=TIMEOUT_S)
    status, headers, body = slow_server.exchange(large)
    assert (status, orjson.loads(body)["verdict"]) == (503, "not_run")
    assert int(headers["Retry-After"]) >= 1
    assert slow_server.exchange(post(1))[0] == 200
    slow_server.release_handlers.set()
    assert slow_server.exchange(large)[0] == 200
    for stream in streams:
        stream.close()


def test_ordinary_bodies_are_handled_beside_each_other(
    slow_server: SlowServer,
) -> None:
    streams = [slow_server.connect() for _ in range(2 * COUNT)]
    for stream in streams:
        stream.sendall(post(LARGE_BODY_BYTES))
        assert slow_server.under_way.acquire(timeout=TIMEOUT_S)
    for stream in streams:
        stream.close()


# The limit of the configuration was read and used nowhere.
def test_the_limit_of_bodies_can_be_lowered_but_not_raised(
    server: RunningServer,
) -> None:
    server.application.limit_body(100)
    assert server.exchange(post(100))[0] == 200
    assert server.exchange(post(101))[0] == 413
    server.application.limit_body(1 << 20)
    assert server.exchange(post(1_024))[0] == 200
    assert server.exchange(post(1_025))[0] == 413
