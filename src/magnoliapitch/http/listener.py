"""HTTP listener that a supervisor can start, restart and stop."""

from __future__ import annotations

import sys
import threading

from typing import TYPE_CHECKING
from typing import Any

from magnoliapitch.event import log_event
from magnoliapitch.http.concurrency import ConcurrencyLimit
from magnoliapitch.http.limits import HttpLimits
from magnoliapitch.http.server import BoundedServer
from magnoliapitch.supervisor.exceptions import StartError


if TYPE_CHECKING:
    from magnoliapitch.http.application import Application


DEFAULT_LIMITS = HttpLimits()


class Listener:
    """Serves an application on an IP address and port.

    Each start binds a new socket, so that a restart replaces a broken one.
    With port 0 the operating system picks a port on the first start, and
    later starts keep it.

    :param name: name of the listener in logs and among its siblings.
    :param address: IP address and port to bind.
    :param threads: requests handled at the same time, one thread each.
        ``limits.reserve_threads`` further threads refuse the excess.
    :param stop_timeout_s: longest wait for requests in flight on stop.
    :param limits: limits on connections and requests of clients.
    :ivar application: application that handles the requests.
    """

    def __init__(
        self,
        name: str,
        address: tuple[str, int],
        application: Application,
        threads: int,
        stop_timeout_s: int = 5,
        limits: HttpLimits = DEFAULT_LIMITS,
    ) -> None:
        self.name = name
        self._address = address
        self.application = application
        self._threads = threads
        self._stop_timeout_s = stop_timeout_s
        self._limits = limits
        self._server: Any = None
        self._thread: threading.Thread | None = None

    @property
    def port(self) -> int:
        """Port that the listener is or will be bound to; 0 if not picked."""
        return self._address[1]

    def start(self) -> None:
        """Bind the address and serve requests in a new thread.

        :raises StartError: if the address cannot be bound.
        """
        self.stop()
        server = self._make_server()
        try:
            server.prepare()
        except OSError as error:
            host, port = self._address
            reason = f"cannot listen on {host}:{port}: {error}"
            raise StartError(self.name, reason) from error
        self._address = (self._address[0], int(server.bind_addr[1]))
        self._server = server
        self._thread = threading.Thread(
            target=self._serve, args=(server,), name=self.name, daemon=True
        )
        self._thread.start()

    def stop(self) -> None:
        """Stop accepting connections and wait for requests in flight."""
        server, self._server = self._server, None
        if server is not None:
            server.stop()

    def is_alive(self) -> bool:
        """Return whether the thread that serves requests is running."""
        return self._thread is not None and self._thread.is_alive()

    def _make_server(self) -> Any:
        server: Any = BoundedServer(
            self._address,
            ConcurrencyLimit(self.application, self._threads),
            self._threads + self._limits.reserve_threads,
            self._limits,
            self._stop_timeout_s,
        )
        server.error_log = self._log_error
        return server

    def _serve(self, server: Any) -> None:
        try:
            server.serve()
        except Exception as error:
            log_event("listener-error", listener=self.name, error=error)

    def _log_error(
        self, message: str = "", level: int = 20, traceback: bool = False
    ) -> None:
        del level
        error = sys.exc_info()[1] if traceback else None
        log_event(
            "listener-error",
            listener=self.name,
            message=message,
            error=error,
        )
