"""Starts children in order, restarts failed ones, stops in reverse."""

from __future__ import annotations

import threading

from typing import TYPE_CHECKING

from magnoliapitch.event import log_event


if TYPE_CHECKING:
    from magnoliapitch.clock import Clock
    from magnoliapitch.supervisor.child import Child


CHECK_INTERVAL_MS = 200


class Supervisor:
    """A child that supervises other children."""

    def __init__(self, name: str, children: list[Child], clock: Clock) -> None:
        self.name = name
        self._children = children
        self._clock = clock
        self._stopping = threading.Event()
        self._thread: threading.Thread | None = None
        self.restarts_by_child: dict[str, int] = {}

    def start(self) -> None:
        """Start every child, then watch them."""
        for child in self._children:
            child.start()
        self._thread = threading.Thread(
            target=self._watch, name=f"{self.name}-watch", daemon=True
        )
        self._thread.start()

    def stop(self) -> None:
        """Stop watching, then stop the children in reverse order."""
        self._stopping.set()
        if self._thread is not None:
            self._thread.join()
        for child in reversed(self._children):
            child.stop()

    def is_alive(self) -> bool:
        """Return whether the supervisor watches its children."""
        return self._thread is not None and self._thread.is_alive()

    def check(self) -> None:
        """Restart children that are not alive."""
        for child in self._children:
            if child.is_alive():
                continue
            count = self.restarts_by_child.get(child.name, 0) + 1
            self.restarts_by_child[child.name] = count
            log_event("child-restarted", child=child.name, count=count)
            child.start()

    def _watch(self) -> None:
        while not self._clock.wait(self._stopping, CHECK_INTERVAL_MS):
            self.check()
