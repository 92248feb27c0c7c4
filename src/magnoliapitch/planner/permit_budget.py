"""Limits of the calls to the advisor that one planning round may make."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from magnoliapitch.planner.plan import PlannedPermitRequest
    from magnoliapitch.planner.tracked import TrackedStep


# Tasks that may wait for permits, as a multiple of the starts in flight,
# besides those that can start while the advisor works.
PREPARED_STARTS_FACTOR = 4
# Latency of orders that use the whole order window.
ORDER_LATENCY_MS = 100.0


class PermitBudget:
    """Collects the calls to the advisor of one round, within limits.

    Each queue has a limit of its own for the tasks that wait for permits.

    :param max_calls: number of advisor calls that can be started now.
    :param max_starts_in_flight: number of start orders that may be without
        an answer at the same time.
    """

    def __init__(self, max_calls: int, max_starts_in_flight: int) -> None:
        self._max_calls = max_calls
        self._max_starts_in_flight = max_starts_in_flight
        self._requests: list[PlannedPermitRequest] = []
        self._awaiting_count_by_queue: Counter[str] = Counter()

    @property
    def is_used_up(self) -> bool:
        """Return whether no more calls can be made."""
        return len(self._requests) >= self._max_calls

    def record_awaiting(self, step: TrackedStep) -> None:
        """Count the tasks of a step that has a call under way."""
        queue_name = step.job.queue.name
        self._awaiting_count_by_queue[queue_name] += step.waiting_count

    def may_request(self, step: TrackedStep, expected_call_ms: float) -> bool:
        """Return whether permits for a step would be used before they expire.

        They would not if more tasks of its queue wait for permits than can
        start until the advisor has answered, and shortly after.
        """
        awaiting_count = self._awaiting_count_by_queue[step.job.queue.name]
        max_awaiting = self._max_starts_in_flight * (
            PREPARED_STARTS_FACTOR + expected_call_ms / ORDER_LATENCY_MS
        )
        if not awaiting_count:
            return max_awaiting > 0
        return awaiting_count + step.waiting_count <= max_awaiting

    def add(self, step: TrackedStep, request: PlannedPermitRequest) -> None:
        """Add a call for a step, unless no more can be made."""
        if self.is_used_up:
            return
        self.record_awaiting(step)
        self._requests.append(request)

    def requests(self) -> tuple[PlannedPermitRequest, ...]:
        """Return the calls to make."""
        return tuple(self._requests)
