"""Limits of the calls to the advisor that one planning round may make."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from magnoliapitch.planner.fair_shares import fair_shares


if TYPE_CHECKING:
    from collections.abc import Collection

    from magnoliapitch.planner.plan import PlannedPermitRequest
    from magnoliapitch.planner.tracked import TrackedStep


# Tasks that may wait for permits, as a multiple of the starts in flight,
# besides those that can start while the advisor works.
PREPARED_STARTS_FACTOR = 4
# An idle machine answers an order within a few milliseconds. Above this
# latency, orders queue on this machine or its link, and the order window
# shrinks; so this is about the latency of orders that use all of it.
TARGET_ORDER_LATENCY_MS = 100.0


class PermitBudget:
    """Divides the calls to the advisor between the queues.

    Steps of one queue may wait for permits, or for capacity after that, as
    long as they like: another queue still gets its share of the calls.
    Inside a queue, the steps that are placed first come first. What a queue
    leaves of its share goes to the others. If there are fewer channels than
    queues, those with the steps of the lowest ranks get one each.

    :param ranked_steps: all steps that wait for starts, in the order of
        their rank.
    :param max_calls: number of advisor calls that can be started now.
    :param max_starts_in_flight: number of start orders that may be without
        an answer at the same time.
    """

    def __init__(
        self,
        ranked_steps: Collection[TrackedStep],
        max_calls: int,
        max_starts_in_flight: int,
    ) -> None:
        self._remaining_calls = max_calls
        self._max_starts_in_flight = max_starts_in_flight
        self._granted: list[PlannedPermitRequest] = []
        self._deferred: list[PlannedPermitRequest] = []
        self._awaiting_count_by_queue: Counter[str] = Counter()
        self._call_count_by_queue = Counter(
            step.job.queue.name
            for step in ranked_steps
            if step.has_call_in_flight
        )
        demand_by_queue = Counter(
            step.job.queue.name
            for step in ranked_steps
            if step.job.queue.permit_timing is not None
        )
        self._share_by_queue = fair_shares(
            demand_by_queue, max_calls + self._call_count_by_queue.total()
        )

    @property
    def is_used_up(self) -> bool:
        """Return whether no more calls can be made."""
        return self._remaining_calls <= 0

    def record_awaiting(self, step: TrackedStep) -> None:
        """Count the tasks of a step that has a call under way."""
        queue_name = step.job.queue.name
        self._awaiting_count_by_queue[queue_name] += step.startable_count

    def may_request(self, step: TrackedStep, expected_call_ms: float) -> bool:
        """Return whether permits for a step would be used before they expire.

        They would not if more tasks of its queue wait for permits than can
        start until the advisor has answered, and shortly after.
        """
        awaiting_count = self._awaiting_count_by_queue[step.job.queue.name]
        max_awaiting = self._max_starts_in_flight * (
            PREPARED_STARTS_FACTOR + expected_call_ms / TARGET_ORDER_LATENCY_MS
        )
        if not awaiting_count:
            return max_awaiting > 0
        return awaiting_count + step.startable_count <= max_awaiting

    def add(self, step: TrackedStep, request: PlannedPermitRequest) -> bool:
        """Grant a call, or defer it if its queue has used its share.

        :return: whether the call was granted.
        """
        queue_name = step.job.queue.name
        self.record_awaiting(step)
        calls = self._call_count_by_queue[queue_name]
        if self.is_used_up or calls >= self._share_by_queue[queue_name]:
            self._deferred.append(request)
            return False
        self._call_count_by_queue[queue_name] += 1
        self._remaining_calls -= 1
        self._granted.append(request)
        return True

    def requests(self) -> tuple[PlannedPermitRequest, ...]:
        """Return the calls to make; deferred ones use what is left."""
        left_over = self._deferred[: max(0, self._remaining_calls)]
        return (*self._granted, *left_over)
