"""A listener with some routes, and calls of it over a socket."""

from __future__ import annotations

import socket
import threading

from magnoliapitch.http import Application
from magnoliapitch.http import HttpLimits
from magnoliapitch.http import HttpRequest
from magnoliapitch.http import HttpResponse
from magnoliapitch.http import Listener
from magnoliapitch.http import json_response


THREADS = 2
LIMITS = HttpLimits(
    body_max_bytes=1_024,
    header_max_bytes=2_048,
    connections=6,
    reserve_threads=1,
    read_timeout_ms=300,
)
TIMEOUT_S = 20
CHUNKED_POST = (
    b"POST /echo HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
)
PLAIN_POST = b"POST /echo HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nhi"


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
