"""Queue of orders on the machine of a simulated leader."""

from __future__ import annotations

from typing import TYPE_CHECKING

from magnoliapitch.control.order_sender import is_unanswered
from magnoliapitch.control.order_window import OrderWindow


if TYPE_CHECKING:
    from tests.control.simulation import Simulation


UNLIMITED = 1_000_000


class OrderQueue:
    """Sends one order after the other, each taking the same time.

    :ivar order_duration_ms: processor time of one order; 0 for a machine
        that is never the bottleneck.
    :ivar window: the leader's limit of orders in flight; None for no limit.
    """

    def __init__(self, simulation: Simulation) -> None:
        self.order_duration_ms = 0.0
        self.window: OrderWindow | None = OrderWindow()
        self._simulation = simulation
        self._free_ms = 0.0

    def available(self) -> int:
        """Return how many more start orders may be sent."""
        return UNLIMITED if self.window is None else self.window.available()

    def limit(self) -> int:
        """Return how many start orders may be unanswered at a time."""
        return UNLIMITED if self.window is None else self.window.limit()

    def enqueue(self, *, is_start: bool) -> float:
        """Add an order; return the time until it has been sent, in ms."""
        if is_start and self.window is not None:
            self.window.record_sent()
        now_ms = self._simulation.now_ms
        self._free_ms = max(self._free_ms, now_ms) + self.order_duration_ms
        return self._free_ms - now_ms

    def record_answer(self, sent_ms: int, outcome: object) -> None:
        """Record the answer to a start order, or that it was given up."""
        if self.window is None:
            return
        now_ms = self._simulation.now_ms
        if is_unanswered(outcome):  # type: ignore[arg-type]
            self.window.record_unanswered(now_ms)
        else:
            self.window.record_answered(sent_ms, now_ms)
