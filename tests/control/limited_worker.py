"""Stand-in for a worker that accepts a limited number of connections."""

from __future__ import annotations

import json
import socket
import struct
import threading
import time

from http.server import BaseHTTPRequestHandler
from http.server import ThreadingHTTPServer
from typing import Any
from typing import cast


ORDER_DURATION_S = 0.002
# Close by a reset instead of an orderly end.
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class LimitedWorker(ThreadingHTTPServer):
    """Keeps every connection until the peer closes it; resets further ones.

    :ivar max_open: most connections that were open at the same time.
    :ivar opened: connections that were accepted.
    :ivar refused: connections that were reset.
    """

    daemon_threads = True
    request_queue_size = 128

    def __init__(self, max_connections: int = 64) -> None:
        self.max_open = 0
        self.opened = 0
        self.refused = 0
        self._max_connections = max_connections
        self._open = 0
        self._lock = threading.Lock()
        super().__init__(("127.0.0.1", 0), _Handler)
        threading.Thread(target=self.serve_forever, daemon=True).start()

    @property
    def address(self) -> str:
        return f"127.0.0.1:{self.server_port}"

    @property
    def open_count(self) -> int:
        with self._lock:
            return self._open

    def verify_request(self, request: Any, client_address: Any) -> bool:
        with self._lock:
            if self._open >= self._max_connections:
                self.refused += 1
                request.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE
                )
                request.close()
                return False
            self._open += 1
            self.opened += 1
            self.max_open = max(self.max_open, self._open)
        return True

    def record_closed(self) -> None:
        with self._lock:
            self._open -= 1

    def handle_error(self, request: Any, client_address: Any) -> None:
        """Ignore callers that go away in the middle of a call."""


class _Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    def do_POST(self) -> None:
        body = json.loads(self.rfile.read(int(self.headers["Content-Length"])))
        if self.path == "/hold":
            time.sleep(body.get("wait-ms", 0) / 1_000)
        else:
            time.sleep(ORDER_DURATION_S)
        answer = b'{"clock-ms":1000,"running":[],"ended-runs":[]}'
        self.send_response(200)
        self.send_header("Content-Length", str(len(answer)))
        self.end_headers()
        self.wfile.write(answer)

    def finish(self) -> None:
        cast("LimitedWorker", self.server).record_closed()
        super().finish()

    def log_message(self, format: str, *args: Any) -> None:
        """Write no access log."""
