"""Events in order of injected time."""

from __future__ import annotations

import heapq
import itertools

from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from collections.abc import Callable


class Timeline:
    """Queue of actions, each with its time.

    :ivar now_ms: time of the action that runs.
    """

    def __init__(self) -> None:
        self.now_ms = 0
        self._numbers = itertools.count()
        self._events: list[tuple[int, int, Callable[[], None]]] = []

    def at(self, at_ms: int, action: Callable[[], None]) -> None:
        """Run an action at a time."""
        heapq.heappush(self._events, (at_ms, next(self._numbers), action))

    def after(self, delay_ms: int, action: Callable[[], None]) -> None:
        """Run an action after a delay."""
        self.at(self.now_ms + delay_ms, action)

    def advance(self, horizon_ms: int) -> bool:
        """Run the next action; return whether there was one in time."""
        if not self._events or self._events[0][0] > horizon_ms:
            return False
        self.now_ms, _, action = heapq.heappop(self._events)
        action()
        return True
