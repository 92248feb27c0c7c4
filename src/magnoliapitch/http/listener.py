"""A cheroot listener as a supervised child."""

from __future__ import annotations

import threading

from typing import TYPE_CHECKING
from typing import Any

from cheroot import wsgi


if TYPE_CHECKING:
    from magnoliapitch.http.application import Application


class Listener:
    """Serves an application on an IP address and port.

    :param threads: requests served at once; each holds a thread.
    """

    def __init__(
        self,
        name: str,
        address: tuple[str, int],
        application: Application,
        threads: int,
    ) -> None:
        self.name = name
        self._server: Any = wsgi.Server(
            address, application, numthreads=threads, max=threads
        )
        self._thread: threading.Thread | None = None

    @property
    def port(self) -> int:
        """Port that the listener is bound to."""
        return int(self._server.bind_addr[1])

    def start(self) -> None:
        """Bind and serve in a thread of its own."""
        self._server.prepare()
        self._thread = threading.Thread(
            target=self._server.serve, name=self.name, daemon=True
        )
        self._thread.start()

    def stop(self) -> None:
        """Stop accepting and wait for requests in flight."""
        self._server.stop()

    def is_alive(self) -> bool:
        """Return whether the serving thread runs."""
        return self._thread is not None and self._thread.is_alive()
