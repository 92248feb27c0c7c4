"""Event queue of a simulation."""

from __future__ import annotations

import heapq
import itertools

from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from collections.abc import Callable


class Timeline:
    """Runs scheduled actions in the order of their simulated time.

    Actions of the same time run in the order in which they were scheduled.

    :ivar now_ms: simulated time, that of the last action that ran.
    """

    def __init__(self) -> None:
        self.now_ms = 0
        self._sequence_numbers = itertools.count()
        self._scheduled_actions: list[tuple[int, int, Callable[[], None]]] = []

    def schedule_at(self, at_ms: int, action: Callable[[], None]) -> None:
        """Schedule an action for a point in simulated time."""
        heapq.heappush(
            self._scheduled_actions,
            (at_ms, next(self._sequence_numbers), action),
        )

    def schedule_after(
        self, delay_ms: int, action: Callable[[], None]
    ) -> None:
        """Schedule an action after a delay in simulated time."""
        self.schedule_at(self.now_ms + delay_ms, action)

    def run_next(self, horizon_ms: int) -> bool:
        """Run the next action unless it lies beyond the horizon.

        :param horizon_ms: latest time at which an action still runs.
        :return: whether an action ran.
        """
        if (
            not self._scheduled_actions
            or self._scheduled_actions[0][0] > horizon_ms
        ):
            return False
        self.now_ms, _, action = heapq.heappop(self._scheduled_actions)
        action()
        return True
