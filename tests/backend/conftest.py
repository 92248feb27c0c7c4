from __future__ import annotations

import socket
import threading

from typing import TYPE_CHECKING

import pytest

from magnoliapitch.membership.instance import InstanceInfo
from magnoliapitch.membership.instance import InstanceRole


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator


ACCEPT_TIMEOUT_S = 30


class RawServer:
    """A server on raw sockets that lets a script respond to each request."""

    def __init__(
        self, scripts: list[Callable[[socket.socket, str], None]]
    ) -> None:
        self.connections = 0
        self.requests = 0
        self._scripts = scripts
        self._listener = socket.create_server(("127.0.0.1", 0))
        self._listener.settimeout(ACCEPT_TIMEOUT_S)
        self._thread = threading.Thread(target=self._serve, daemon=True)
        self._thread.start()

    @property
    def info(self) -> InstanceInfo:
        port = self._listener.getsockname()[1]
        return InstanceInfo(
            "runner-1",
            InstanceRole.BACKEND_SERVER,
            "norte",
            f"http://127.0.0.1:{port}",
        )

    def stop(self) -> None:
        self._listener.close()

    def _serve(self) -> None:
        while self.requests < len(self._scripts):
            try:
                stream, _ = self._listener.accept()
            except OSError:
                return
            self.connections += 1
            threading.Thread(
                target=self._serve_connection, args=(stream,), daemon=True
            ).start()

    def _serve_connection(self, stream: socket.socket) -> None:
        with stream:
            while (request_id := _read_request(stream)) is not None:
                script = self._scripts[self.requests]
                self.requests += 1
                script(stream, request_id)


def _read_request(stream: socket.socket) -> str | None:
    data = b""
    try:
        while b"\r\n\r\n" not in data:
            chunk = stream.recv(65_536)
            if not chunk:
                return None
            data += chunk
    except OSError:
        return None
    head = data.partition(b"\r\n\r\n")[0].decode()
    headers = dict(
        line.lower().split(": ", 1) for line in head.split("\r\n")[1:]
    )
    remaining_bytes = (
        int(headers["content-length"]) - len(data) + len(head) + 4
    )
    while remaining_bytes > 0:
        remaining_bytes -= len(stream.recv(remaining_bytes))
    return headers["x-request-id"]


@pytest.fixture
def serve() -> Iterator[Callable[..., RawServer]]:
    servers: list[RawServer] = []

    def start(
        *scripts: Callable[[socket.socket, str], None],
    ) -> RawServer:
        servers.append(RawServer(list(scripts)))
        return servers[-1]

    yield start
    for server in servers:
        server.stop()
