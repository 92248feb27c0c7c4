"""cheroot server with problem details as error responses and with limits.

It adds what cheroot lacks: limits on open and waiting connections, a
deadline for a whole request, and the rejection of ambiguous requests.
"""

from __future__ import annotations

import contextlib
import queue
import re
import socket
import threading

from http import HTTPStatus
from typing import TYPE_CHECKING
from typing import Any

from cheroot import server
from cheroot import wsgi

from magnoliapitch.http.chunked import ChunkedBody
from magnoliapitch.http.chunked import trailers_length
from magnoliapitch.http.idle_connections import IdleConnections
from magnoliapitch.http.partial_heads import PartialHeads
from magnoliapitch.http.problem import problem_response
from magnoliapitch.http.reader import make_file
from magnoliapitch.http.request_id import REQUEST_ID_HEADER
from magnoliapitch.http.request_id import is_valid_request_id
from magnoliapitch.http.request_id import new_request_id
from magnoliapitch.verdict import FailureCode
from magnoliapitch.verdict import may_have_run
from magnoliapitch.verdict import not_run


if TYPE_CHECKING:
    from magnoliapitch.http.concurrency import ConcurrencyLimit
    from magnoliapitch.http.limits import HttpLimits
    from magnoliapitch.verdict import Failure


RETRY_AFTER_MS = 1_000
DISCARD_MAX_BYTES = 1 << 16
# The end of a head; or a line that ends otherwise, which is refused at once.
_HEAD_END = re.compile(rb"\r\n\r\n|(?<!\r)\n")

# So much of a body is received before a thread reads it.
BODY_BEFORE_THREAD_BYTES = 1 << 16

_CODE_BY_STATUS = {
    400: FailureCode.INVALID,
    405: FailureCode.INVALID,
    408: FailureCode.TIMEOUT,
    413: FailureCode.TOO_LARGE,
    414: FailureCode.TOO_LARGE,
    501: FailureCode.INVALID,
    503: FailureCode.OVERLOADED,
    505: FailureCode.INVALID,
}
_UNREPEATABLE_HEADERS = frozenset(
    (
        b"Content-Length",
        b"Host",
        b"Idempotency-Key",
        b"Ticket",
        b"X-Request-Id",
    )
)


class _Headers(dict[bytes, bytes]):
    def __setitem__(self, name: bytes, value: bytes) -> None:
        if name in _UNREPEATABLE_HEADERS and name in self:
            raise ValueError(
                f"header {name.decode('latin-1')} occurs more than once"
            )
        super().__setitem__(name, value)


class _Request(server.HTTPRequest):
    has_called_application = False

    def __init__(self, http_server: BoundedServer, conn: _Connection) -> None:
        super().__init__(http_server, conn)
        self.inheaders = _Headers()
        self._closes_connection = False

    def parse_request(self) -> None:
        if self.conn.partial_request is self:
            return
        self.conn.rfile.restart_deadline()
        super().parse_request()

    def read_request_headers(self) -> bool:
        if not super().read_request_headers():  # type: ignore[no-untyped-call]
            return False
        problem = self._framing_problem()
        if problem:
            self.simple_response("400 Bad Request", problem)
            return False
        return True

    def respond(self) -> None:
        if not self.server.has_room():
            self.simple_response(
                "503 Service Unavailable", "the connection limit is reached"
            )
            self.close_connection = True
            return
        if not self._has_or_awaits_body():
            return
        self.has_called_application = True
        if self.chunked_read:
            self._respond_to_chunked()
        else:
            super().respond()

    def _has_or_awaits_body(self) -> bool:
        """Return whether to go on; else the connection waits for its body."""
        if self.conn.partial_request is self:
            self.conn.partial_request = None
            self.close_connection = self._closes_connection
            return True
        reader = self.conn.rfile
        while not self.can_read_body(wait_s := reader.remaining_grace_s()):
            if not wait_s:
                break
        else:
            if not self.chunked_read:
                reader.end_grace()
            return True
        self.conn.partial_request = self
        # The library closes the connection if this is set.
        self._closes_connection = self.close_connection
        self.close_connection = False
        return False

    def can_read_body(self, wait_s: float = 0) -> bool:
        """Return whether a thread can read the body, at first without waiting.

        That is also so if the body is refused unread, or will not come; or if
        it is chunked, so that only reading it finds its end.

        :param wait_s: longest wait if nothing has arrived.
        """
        reader = self.conn.rfile
        length = int(self.inheaders.get(b"Content-Length", 0))
        needed_count = min(length, BODY_BEFORE_THREAD_BYTES)
        if length > self.server.max_request_body_size:
            return True
        if reader.unread_count >= needed_count:
            return True
        may_go_on = reader.receive(needed_count, wait_s)
        return not may_go_on or reader.unread_count >= needed_count

    def _respond_to_chunked(self) -> None:
        """Call the application as the library does, with a bounded body."""
        self.rfile = ChunkedBody(
            self.conn.rfile,
            self.server.max_request_body_size,
            self.server.limits.line_max_bytes,
            self.server.limits.chunk_mean_bytes,
        )
        self.server.gateway(self).respond()
        if self.ready:
            self.ensure_headers_sent()
        if self.chunked_write:
            self.conn.wfile.write(b"0\r\n\r\n")

    def send_headers(self) -> None:
        if (b"Connection", b"close") in self.outheaders or (
            self.chunked_read and not self._skip_trailers()
        ):
            self.close_connection = True
        # The library would wait for the rest of the body.
        unread_bytes = getattr(self.rfile, "remaining", 0)
        if unread_bytes > self.conn.rfile.unread_count:
            self.close_connection = True
        super().send_headers()

    def _skip_trailers(self) -> bool:
        """Skip what follows the last chunk; return whether all of it is there.

        Nothing waits for the rest: a connection on which the end of the
        message is not known cannot carry another one.
        """
        if not self.rfile.closed:
            return False
        reader = self.conn.rfile
        reader.receive(self.server.limits.header_max_bytes)
        length = trailers_length(reader.unread())
        if length is None:
            return False
        reader.read(length)
        return True

    def simple_response(self, status: Any, msg: Any = "") -> None:
        status_code = int(str(status)[:3])
        self.close_connection = True
        self.sent_headers = True
        response = problem_response(
            self._failure(status_code, str(msg)),
            self._request_id(),
            status_code,
        )
        head_lines = [
            f"HTTP/1.1 {status_code} {HTTPStatus(status_code).phrase}",
            f"Content-Type: {response.content_type}",
            f"Content-Length: {len(response.body)}",
            f"{REQUEST_ID_HEADER}: {self._request_id()}",
            "Connection: close",
            *(f"{name}: {value}" for name, value in response.headers),
        ]
        data = "\r\n".join(head_lines).encode("latin-1") + b"\r\n\r\n"
        with contextlib.suppress(OSError):
            self.conn.wfile.write(data + response.body)

    def _framing_problem(self) -> str:
        headers = self.inheaders
        length = headers.get(b"Content-Length", b"0")
        if not length.isdigit():
            return "Content-Length is not a decimal number"
        if b"Transfer-Encoding" not in headers:
            return ""
        if b"Content-Length" in headers:
            return "Content-Length and Transfer-Encoding must not both be set"
        if not self.chunked_read:
            return "Transfer-Encoding must be chunked"
        return ""

    def _failure(self, status: int, detail: str) -> Failure:
        if self.has_called_application:
            return may_have_run(FailureCode.INTERNAL, "internal error")
        code = _CODE_BY_STATUS.get(status, FailureCode.INTERNAL)
        text = detail or HTTPStatus(status).phrase
        retry_after_ms = (
            RETRY_AFTER_MS if code is FailureCode.OVERLOADED else None
        )
        return not_run(code, text, retry_after_ms)

    def _request_id(self) -> str:
        received = self.inheaders.get(REQUEST_ID_HEADER.encode(), b"")
        request_id: str = received.decode("latin-1")
        if not is_valid_request_id(request_id):
            self.inheaders.pop(REQUEST_ID_HEADER.encode(), None)
            request_id = new_request_id()
            self.inheaders[REQUEST_ID_HEADER.encode()] = request_id.encode()
        return request_id


def _request_of(http_server: BoundedServer, conn: _Connection) -> _Request:
    """Return the request whose body was awaited, else a new one."""
    return conn.partial_request or _Request(http_server, conn)


class _Connection(server.HTTPConnection):
    RequestHandlerClass = staticmethod(_request_of)

    def __init__(
        self, http_server: BoundedServer, stream: Any, _: Any
    ) -> None:
        super().__init__(http_server, stream, make_file)
        self.rfile.limit_waits(http_server.body_waits)
        # The request whose head was read and whose body is awaited.
        self.partial_request: _Request | None = None
        self.is_new = True
        self.has_served = False
        self.is_given_up = False
        self._is_closed = False
        # How much of the next head was looked at.
        self._checked_count = 0

    def can_be_read(self) -> bool:
        """Return whether a thread can go on with the next request.

        That is so if its head, or the first part of its body, has arrived; or
        is too long, is malformed, or will not come.
        """
        if self.partial_request is not None:
            return self.partial_request.can_read_body()
        max_bytes = self.server.limits.header_max_bytes
        may_go_on = self.rfile.receive(max_bytes + 1)
        count = self.rfile.unread_count
        if not may_go_on or count > max_bytes:
            return True
        if count == self._checked_count:
            return False
        self._checked_count = count
        return _HEAD_END.search(self.rfile.unread()) is not None

    def reset_head(self) -> None:
        """Begin to look for the head of the request after the next one."""
        self._checked_count = 0

    def refuse(self, status: str, detail: str) -> None:
        """Respond without reading the request, then close."""
        self.rfile.receive(DISCARD_MAX_BYTES)
        request = _request_of(self.server, self)
        request.simple_response(status, detail)
        self.close()

    def give_up(self) -> None:
        """Have the selector close the connection, which is idle."""
        self.is_given_up = True
        with contextlib.suppress(OSError):
            self.socket.shutdown(socket.SHUT_RDWR)

    def close(self) -> None:
        if not self._is_closed:
            self._is_closed = True
            self.server.forget(self)
        super().close()


class BoundedServer(wsgi.Server):
    """A cheroot server that enforces ``HttpLimits``.

    A connection occupies a thread only once it has sent the whole head of a
    request, and its body or the first 64 KiB of it if its length is given.
    Half of the threads that serve may wait for the rest, or for chunks.

    Connections on which nothing, or a part of a request, has arrived keep
    nobody else out: the oldest of them are closed to make room.

    :param address: IP address and port to bind.
    :param threads: worker threads, including the reserve that refuses
        requests.
    :param stop_timeout_s: longest wait for requests in flight on stop.
    """

    ConnectionClass = _Connection

    def __init__(
        self,
        address: tuple[str, int],
        application: ConcurrencyLimit,
        threads: int,
        limits: HttpLimits,
        stop_timeout_s: int,
    ) -> None:
        super().__init__(
            address,
            application,
            numthreads=threads,
            max=threads,
            request_queue_size=limits.connections,
            shutdown_timeout=stop_timeout_s,
            accepted_queue_size=limits.waiting_connections,
            accepted_queue_timeout=0,
        )
        self.timeout = limits.read_timeout_ms / 1000
        self.max_request_header_size = limits.header_max_bytes
        self.max_request_body_size = limits.body_max_bytes
        self.keep_alive_conn_limit = limits.connections
        self.limits = limits
        serving_threads = threads - limits.reserve_threads
        self.body_waits = threading.Semaphore(max(1, serving_threads // 2))
        self._partial_heads = PartialHeads(self._queue, self.timeout)
        self._idle = IdleConnections()
        self._open_count = 0
        self._open_count_lock = threading.Lock()

    def change_open_count(self, change: int) -> int:
        """Add to the number of open connections and return the new number."""
        with self._open_count_lock:
            self._open_count += change
            return self._open_count

    def process_conn(self, conn: Any) -> None:
        """Count a new connection; queue one that has sent a head for a thread.

        A connection that finds the queue full is refused and closed.
        """
        if conn.is_new:
            self._accept(conn)
            return
        self._idle.remove(conn)
        if conn.is_given_up:
            conn.close()
        elif conn.can_be_read():
            self._queue(conn)
        else:
            self._partial_heads.add(conn)

    def put_conn(self, conn: Any) -> None:
        """Keep a connection until its next request, or the rest of one."""
        if conn.partial_request is None:
            self._idle.add(conn, has_served=conn.has_served)
            super().put_conn(conn)
        else:
            self._partial_heads.add(conn)

    def has_room(self) -> bool:
        """Return whether one more request may be served now.

        One that has arrived only in part is refused in its place if need be.
        """
        active_count = self._open_count - len(self._idle)
        if active_count <= self.limits.connections:
            return True
        return self._partial_heads.refuse_oldest()

    def forget(self, conn: Any) -> None:
        """Count a connection as closed."""
        self._idle.remove(conn)
        self.change_open_count(-1)

    def stop(self) -> None:
        """Stop accepting connections and wait for requests in flight."""
        super().stop()
        self._partial_heads.stop()

    def _queue(self, conn: Any) -> None:
        conn.reset_head()
        conn.has_served = True
        try:
            self.requests.put(conn)
        except queue.Full:
            conn.refuse(
                "503 Service Unavailable",
                "too many requests are waiting for a thread",
            )

    def _accept(self, conn: Any) -> None:
        conn.is_new = False
        open_count = self.change_open_count(1)
        if open_count > 2 * self.limits.connections and not self._make_room():
            conn.close()
            return
        self.put_conn(conn)

    def _make_room(self) -> bool:
        """Close a connection that has sent nothing, or only a part."""
        oldest = self._idle.take_oldest()
        if oldest is None:
            return self._partial_heads.refuse_oldest()
        oldest.give_up()
        return True
