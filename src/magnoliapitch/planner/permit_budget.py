"""Limits of the calls to the advisor that one planning round may make."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING
from typing import NamedTuple

from magnoliapitch.planner.fair_shares import fair_shares
from magnoliapitch.planner.permit_calls import MAX_WORKERS_PER_CALL
from magnoliapitch.planner.permit_calls import expected_call_ms
from magnoliapitch.planner.permit_calls import is_long_call
from magnoliapitch.planner.permit_calls import max_short_call_workers


if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Mapping

    from magnoliapitch.planner.plan import IdleCalls
    from magnoliapitch.planner.plan import PlannedPermitRequest
    from magnoliapitch.planner.tracked import TrackedStep
    from magnoliapitch.workload.job import StepKey


# Tasks that may wait for permits, as a multiple of the starts in flight,
# besides those that can start while the advisor works.
PREPARED_STARTS_FACTOR = 4
# An idle machine answers an order within a few milliseconds. Above this
# latency, orders queue on this machine or its link, and the order window
# shrinks; so this is about the latency of orders that use all of it.
TARGET_ORDER_LATENCY_MS = 100.0
# Stands for the urgent steps of all queues; no queue has this name.
URGENT = ""


class CallUse(NamedTuple):
    """Calls to the advisor in a round, as a step's queue finds them.

    :param left: calls that the round has left.
    :param used: calls of the queue, those under way included.
    :param share: calls that the queue may use.
    :param awaiting_tasks: tasks of the queue that wait for permits.
    """

    left: int
    used: int
    share: int
    awaiting_tasks: int


class PermitBudget:
    """Divides the calls to the advisor between the queues.

    Steps of one queue may wait for permits, or for capacity after that, as
    long as they like: another queue still gets its share of the calls.
    Inside a queue, the steps that are placed first come first. The queue with
    the step that ranks first may use half of the calls, the others equal
    shares. What a queue leaves of its share goes to the others. If there are
    fewer channels than queues, those with the steps of the lowest ranks get
    one each.

    Long-running steps that are down, or are about to be, are urgent: they
    take calls before all others and beyond the shares of their queues, in the
    order in which they are placed, the one that was down longest first. Each
    queue that has other steps and no urgent one keeps a call as long as there
    is a second one, so that none starves.

    :param ranked_steps: all steps that wait for starts, or will, in the order
        in which they are placed.
    Some channels take no long calls. What such a channel is left for is
    granted to short calls only, whatever ranks before them.

    :param idle_calls: advisor calls that can be started now.
    :param max_starts_in_flight: number of start orders that may be without
        an answer at the same time.
    :param urgent_keys: the steps among them that are urgent.
    """

    def __init__(
        self,
        ranked_steps: Collection[TrackedStep],
        idle_calls: IdleCalls,
        max_starts_in_flight: int,
        urgent_keys: Collection[StepKey] = (),
    ) -> None:
        self._urgent_keys = urgent_keys
        self._remaining_calls = idle_calls.total
        self._remaining_long_calls = idle_calls.long
        self._max_starts_in_flight = max_starts_in_flight
        self._granted: list[PlannedPermitRequest] = []
        self._deferred: list[PlannedPermitRequest] = []
        self._awaiting_count_by_queue: Counter[str] = Counter()
        self._call_count_by_queue = Counter(
            self._queue_name(step)
            for step in ranked_steps
            if step.has_call_in_flight
        )
        asking = [
            step
            for step in ranked_steps
            if step.job.queue.permit_timing is not None
        ]
        self._share_by_queue = _shares(
            Counter(map(self._queue_name, asking)),
            {
                step.job.queue.name
                for step in asking
                if step.key in urgent_keys
            },
            idle_calls.total + self._call_count_by_queue.total(),
        )

    def _queue_name(self, step: TrackedStep) -> str:
        """Return the queue whose share a step uses."""
        return URGENT if step.key in self._urgent_keys else step.job.queue.name

    @property
    def is_used_up(self) -> bool:
        """Return whether no more calls can be made."""
        return self._remaining_calls <= 0

    def has_call_for(self, step: TrackedStep) -> bool:
        """Return whether a call for a step could be made in this round.

        Beyond the share of its queue, only as many calls are deferred as are
        left.
        """
        remaining = self._remaining_for(expected_call_ms(step, 1))
        if remaining <= 0:
            return False
        return self._has_share_left(self._queue_name(step)) or (
            len(self._deferred) < remaining
        )

    def max_workers_for(self, step: TrackedStep) -> int:
        """Return about how many workers a call for a step may be now."""
        if self._remaining_long_calls > 0:
            return MAX_WORKERS_PER_CALL
        return max_short_call_workers(step)

    def has_channel_for(self, call_ms: float) -> bool:
        """Return whether a channel is left for a call of some duration.

        :param call_ms: expected duration of the call.
        """
        return self._remaining_for(call_ms) > 0

    def _remaining_for(self, call_ms: float) -> int:
        if is_long_call(call_ms):
            return min(self._remaining_calls, self._remaining_long_calls)
        return self._remaining_calls

    def _use_channel(self, call_ms: float) -> None:
        self._remaining_calls -= 1
        self._remaining_long_calls -= is_long_call(call_ms)

    def _has_share_left(self, queue_name: str) -> bool:
        calls = self._call_count_by_queue[queue_name]
        return calls < self._share_by_queue.get(queue_name, 0)

    def use_of(self, step: TrackedStep) -> CallUse:
        """Return how a step's queue has used its calls."""
        queue_name = self._queue_name(step)
        return CallUse(
            max(0, self._remaining_for(expected_call_ms(step, 1))),
            self._call_count_by_queue[queue_name],
            self._share_by_queue.get(queue_name, 0),
            self._awaiting_count_by_queue[queue_name],
        )

    def record_awaiting(self, step: TrackedStep) -> None:
        """Count the tasks of a step that has a call under way."""
        queue_name = self._queue_name(step)
        self._awaiting_count_by_queue[queue_name] += step.startable_count

    def may_request(self, step: TrackedStep, expected_call_ms: float) -> bool:
        """Return whether permits for a step would be used before they expire.

        They would not if more tasks of its queue wait for permits than can
        start until the advisor has answered, and shortly after.
        """
        awaiting_count = self._awaiting_count_by_queue[self._queue_name(step)]
        max_awaiting = self._max_starts_in_flight * (
            PREPARED_STARTS_FACTOR + expected_call_ms / TARGET_ORDER_LATENCY_MS
        )
        if not awaiting_count:
            return max_awaiting > 0
        return awaiting_count + step.startable_count <= max_awaiting

    def add(self, step: TrackedStep, request: PlannedPermitRequest) -> bool:
        """Grant a call, or defer it if its queue has used its share.

        A step that was not among those ranked has no share.

        :return: whether the call was granted.
        """
        queue_name = self._queue_name(step)
        self.record_awaiting(step)
        call_ms = request.expected_call_ms
        if not (
            self.has_channel_for(call_ms) and self._has_share_left(queue_name)
        ):
            self._deferred.append(request)
            return False
        self._call_count_by_queue[queue_name] += 1
        self._use_channel(call_ms)
        self._granted.append(request)
        return True

    def requests(self) -> tuple[PlannedPermitRequest, ...]:
        """Return the calls to make; deferred ones use what is left."""
        requests = list(self._granted)
        for request in self._deferred:
            if self.has_channel_for(request.expected_call_ms):
                self._use_channel(request.expected_call_ms)
                requests.append(request)
        return tuple(requests)


def _shares(
    demand_by_queue: Mapping[str, int],
    urgent_queue_names: Collection[str],
    total: int,
) -> dict[str, int]:
    """Return how many calls each queue, and all urgent steps, may have.

    :param urgent_queue_names: queues that have urgent steps.
    """
    others = {name: demand for name, demand in demand_by_queue.items() if name}
    ordered = dict(
        sorted(others.items(), key=lambda item: item[0] in urgent_queue_names)
    )
    kept_count = len(others.keys() - urgent_queue_names)
    urgent_share = min(
        demand_by_queue.get(URGENT, 0), max(1, total - kept_count)
    )
    return {
        URGENT: urgent_share,
        **_shares_by_rank(ordered, total - urgent_share),
    }


def _shares_by_rank(
    demand_by_queue: dict[str, int], total: int
) -> dict[str, int]:
    """Return max-min shares, but up to half of the calls for the first queue.

    :param demand_by_queue: demands in the order of the first steps' ranks.
    """
    shares = fair_shares(demand_by_queue, total)
    first = next(iter(demand_by_queue), None)
    if first is None:
        return shares
    preferred = min(demand_by_queue.pop(first), total // 2)
    if preferred <= shares[first]:
        return shares
    return {
        first: preferred,
        **fair_shares(demand_by_queue, total - preferred),
    }
