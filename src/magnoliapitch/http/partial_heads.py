"""Connections whose next request has arrived in part."""

from __future__ import annotations

import threading
import time

from typing import TYPE_CHECKING
from typing import Any

from magnoliapitch.event import log_event


if TYPE_CHECKING:
    from collections.abc import Callable


# Heads arrive in one piece as a rule, so that few connections get here.
CHECK_INTERVAL_S = 0.05


class PartialHeads:
    """Keeps connections until their next request can be read.

    They occupy no thread of the server meanwhile, so that slow clients keep
    nobody else waiting; a thread of its own looks at all of them.

    :param on_complete: called with a connection whose request a thread can
        read, at first without waiting.
    :param timeout_s: time for a head, or the body after it, to arrive; then
        the connection is refused.
    """

    def __init__(
        self, on_complete: Callable[[Any], None], timeout_s: float
    ) -> None:
        self._on_complete = on_complete
        self._timeout_s = timeout_s
        self._lock = threading.Lock()
        self._deadline_s_by_connection: dict[Any, float] = {}
        self._has_connections = threading.Event()
        self._is_stopping = False
        self._thread: threading.Thread | None = None

    def add(self, connection: Any) -> None:
        """Keep a connection until it can be read or takes too long."""
        with self._lock:
            if self._is_stopping:
                connection.close()
                return
            self._deadline_s_by_connection[connection] = (
                time.monotonic() + self._timeout_s
            )
            if self._thread is None:
                self._thread = threading.Thread(
                    target=self._run, name="partial-heads", daemon=True
                )
                self._thread.start()
        self._has_connections.set()

    def refuse_oldest(self) -> bool:
        """Refuse the connection that was kept for longest, if there is one."""
        with self._lock:
            connection = next(iter(self._deadline_s_by_connection), None)
        if connection is None:
            return False
        self._remove(connection, _refuse_for_others)
        return True

    def stop(self) -> None:
        """Close all connections that are kept."""
        with self._lock:
            self._is_stopping = True
            connections = list(self._deadline_s_by_connection)
            self._deadline_s_by_connection.clear()
        self._has_connections.set()
        for connection in connections:
            connection.close()

    def _run(self) -> None:
        while not self._is_stopping:
            self._has_connections.wait()
            self._check_all()
            time.sleep(CHECK_INTERVAL_S)

    def _check_all(self) -> None:
        now_s = time.monotonic()
        for connection, deadline_s in self._kept():
            try:
                self._check(connection, now_s >= deadline_s)
            except Exception as error:
                # One connection must not keep the others from being served.
                log_event("listener-error", listener="heads", error=error)
                self._remove(connection, _close)

    def _check(self, connection: Any, is_overdue: bool) -> None:
        if connection.can_be_read():
            self._remove(connection, self._on_complete)
        elif is_overdue:
            self._remove(connection, _refuse)

    def _kept(self) -> list[tuple[Any, float]]:
        with self._lock:
            if not self._deadline_s_by_connection:
                self._has_connections.clear()
            return list(self._deadline_s_by_connection.items())

    def _remove(self, connection: Any, action: Callable[[Any], None]) -> None:
        with self._lock:
            # After a stop it is closed already.
            if self._deadline_s_by_connection.pop(connection, None) is None:
                return
        action(connection)


def _close(connection: Any) -> None:
    connection.close()


def _refuse(connection: Any) -> None:
    connection.refuse(
        "408 Request Timeout", "the request did not arrive in time"
    )


def _refuse_for_others(connection: Any) -> None:
    connection.refuse(
        "503 Service Unavailable",
        "too many connections are open, and the request has not arrived",
    )


__all__ = ["PartialHeads"]
