"""Sizes of the gaps on workers that waiting tasks can use."""

from __future__ import annotations

from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from collections.abc import Iterable

    from magnoliapitch.planner.tracked_worker import TrackedWorker
    from magnoliapitch.resource import Resources


class GapSizes:
    """Tells what a gap must have for a task.

    While every worker has a larger part of its memory free than of its
    processor, a task that needs a larger part of the processor than of the
    memory fits wherever its processor fits.

    :param workers: workers that take new runs.
    """

    def __init__(self, workers: Iterable[TrackedWorker]) -> None:
        self._capacities: set[Resources] = set()
        self._has_spare_memory = True
        for worker in workers:
            if worker.info is None:
                continue
            capacity, free = worker.info.capacity, worker.free
            self._capacities.add(capacity)
            self._has_spare_memory &= (
                free.memory_mb * capacity.cpu_millis
                >= free.cpu_millis * capacity.memory_mb
            )
        self._size_by_reservation: dict[Resources, Resources] = {}

    def size_of(self, reservation: Resources) -> Resources:
        """Return what a gap must have for a task."""
        size = self._size_by_reservation.get(reservation)
        if size is None:
            size = reservation
            if self._needs_only_cpu(reservation):
                size = reservation._replace(memory_mb=0)
            self._size_by_reservation[reservation] = size
        return size

    def _needs_only_cpu(self, reservation: Resources) -> bool:
        return self._has_spare_memory and all(
            reservation.memory_mb * capacity.cpu_millis
            <= reservation.cpu_millis * capacity.memory_mb
            for capacity in self._capacities
        )


__all__ = ["GapSizes"]
