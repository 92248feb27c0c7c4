"""Small HTTP/1.1 server with kept connections, on a free loopback port."""

from __future__ import annotations

import json
import socket
import threading

from http.server import BaseHTTPRequestHandler
from http.server import ThreadingHTTPServer
from typing import NamedTuple
from urllib.parse import parse_qsl
from urllib.parse import urlsplit


class Answer(NamedTuple):
    status: int
    body: bytes = b"{}"
    content_type: str = "application/json"

    @classmethod
    def of(cls, value, status=200):
        return cls(status, json.dumps(value).encode())


class _Server(ThreadingHTTPServer):
    daemon_threads = True
    block_on_close = False
    request_queue_size = 256

    def handle_error(self, request, client_address):
        """Ignore callers that went away."""


class WebServer:
    """Answers calls with ``handle`` from a thread for each connection."""

    def __init__(self, ip, port=0):
        handle = self.handle

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"
            disable_nagle_algorithm = True

            def _serve(self):
                length = int(self.headers.get("Content-Length") or 0)
                body = self.rfile.read(length)
                parts = urlsplit(self.path)
                query = dict(parse_qsl(parts.query, keep_blank_values=True))
                answer = handle(
                    self.command, parts.path, query, self.headers, body
                )
                if answer is None:
                    # The answer is lost: the connection ends without one.
                    self.close_connection = True
                    self.connection.shutdown(socket.SHUT_RDWR)
                    return
                head = (
                    f"HTTP/1.1 {answer.status} X\r\n"
                    f"Content-Type: {answer.content_type}\r\n"
                    f"Content-Length: {len(answer.body)}\r\n\r\n"
                )
                self.wfile.write(head.encode() + answer.body)
                self.wfile.flush()

            do_GET = do_POST = do_DELETE = _serve

            def log_message(self, *_):
                """Log nothing."""

        self._server = _Server((ip, port), Handler)
        self.address = f"{ip}:{self._server.server_address[1]}"
        threading.Thread(
            target=self._server.serve_forever, args=(0.05,), daemon=True
        ).start()

    def handle(self, method, path, query, headers, body):
        raise NotImplementedError

    def close(self):
        self._server.shutdown()
        self._server.server_close()


def free_port(ip):
    """Return a port that was free a moment ago."""
    with socket.socket() as found:
        found.bind((ip, 0))
        return found.getsockname()[1]
