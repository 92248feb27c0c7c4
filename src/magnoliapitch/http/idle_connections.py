"""Open connections that wait for a request, of which nothing has arrived."""

from __future__ import annotations

import threading

from typing import Any


class IdleConnections:
    """Keeps the order in which connections became idle; thread-safe.

    The server's selector waits for them. Here it is known which one is to be
    closed when there are too many.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        # In the order in which they became idle, as are the others.
        self._unused: dict[Any, None] = {}
        self._used: dict[Any, None] = {}

    def __len__(self) -> int:
        with self._lock:
            return len(self._unused) + len(self._used)

    def add(self, connection: Any, *, has_served: bool) -> None:
        """Add a connection that begins to wait for a request.

        :param has_served: whether it has had a request before.
        """
        with self._lock:
            kept = self._used if has_served else self._unused
            kept[connection] = None

    def remove(self, connection: Any) -> None:
        """Remove a connection that got something, or was closed."""
        with self._lock:
            self._unused.pop(connection, None)
            self._used.pop(connection, None)

    def take_oldest(self) -> Any | None:
        """Remove and return the one that has been idle for longest.

        One that never had a request goes first.
        """
        with self._lock:
            for kept in (self._unused, self._used):
                if kept:
                    connection = next(iter(kept))
                    del kept[connection]
                    return connection
        return None


__all__ = ["IdleConnections"]
