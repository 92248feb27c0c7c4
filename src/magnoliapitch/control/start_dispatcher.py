"""Ordering of stored starts while what they rest on is fresh."""

from __future__ import annotations

from typing import TYPE_CHECKING

from magnoliapitch.control.start_queue import StartQueue


if TYPE_CHECKING:
    from collections.abc import Callable

    from magnoliapitch.control.effects import Effects
    from magnoliapitch.control.order_issuer import OrderIssuer
    from magnoliapitch.control.reachability import WorkerReachability
    from magnoliapitch.control.source_ages import SourceAges


class StartDispatcher:
    """Orders stored starts, and tells how many more may be planned.

    While the list of workers or the jobs were read too long ago, or leases
    have nothing to rest on yet, it orders nothing: what is held back keeps its
    place.

    :param next_lease_deadline: returns the end of a worker's next lease on its
        clock, or None if no lease may be granted.
    :param has_lease_basis: returns whether this leader has stored what its
        leases rest on.
    :ivar queue: starts on their way to the workers.
    """

    def __init__(
        self,
        source_ages: SourceAges,
        order_issuer: OrderIssuer,
        reachability: WorkerReachability,
        effects: Effects,
        next_lease_deadline: Callable[[str, int], int | None],
        has_lease_basis: Callable[[], bool],
    ) -> None:
        self.queue = StartQueue()
        self._source_ages = source_ages
        self._order_issuer = order_issuer
        self._reachability = reachability
        self._effects = effects
        self._next_lease_deadline = next_lease_deadline
        self._has_lease_basis = has_lease_basis

    def order_stored(self, now_ms: int) -> None:
        """Order stored starts, as many as may be in flight."""
        if not self._allows_starts(now_ms):
            return
        count = self._effects.available_start_orders()
        for planned in self.queue.take_stored(count):
            deadline_ms = self._deadline(planned.worker_id, now_ms)
            self._order_issuer.start(planned, deadline_ms, now_ms)

    def max_new(self, max_orders: int, now_ms: int) -> int:
        """Return how many more starts may be planned.

        :param max_orders: number of orders that may be in flight.
        """
        if not self._allows_starts(now_ms):
            return 0
        return self.queue.available(
            self._effects.available_start_orders(), max_orders, now_ms
        )

    def _allows_starts(self, now_ms: int) -> bool:
        return self._has_lease_basis() and self._source_ages.allows_starts(
            now_ms
        )

    def _deadline(self, worker_id: str, now_ms: int) -> int | None:
        """Return the time until which a worker may begin a run.

        It ends with what the order rests on, which is sooner than the lease.
        Renewals extend the lease of the run.

        :return: time on the worker's clock, or None if no run may begin.
        """
        lease_ms = self._next_lease_deadline(worker_id, now_ms)
        clock_ms = self._reachability.estimated_clock_ms(worker_id, now_ms)
        if lease_ms is None or clock_ms is None:
            return None
        valid_ms = self._source_ages.remaining_ms(now_ms)
        return min(lease_ms, clock_ms + valid_ms)


__all__ = ["StartDispatcher"]
