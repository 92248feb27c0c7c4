"""Capacity of workers, including what may come back soon."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

from magnoliapitch.resource import Resources


if TYPE_CHECKING:
    from collections.abc import Iterable

    from magnoliapitch.planner.tracked_worker import TrackedWorker


# Workers that leave, shrink, are avoided or do not answer are often back
# before a job that waits for them is too late.
RETENTION_MS = 60_000


class _Seen(NamedTuple):
    service: str
    capacity: Resources
    seen_ms: int


class CapacityMemory:
    """Largest capacity that each worker had within the retention period."""

    def __init__(self) -> None:
        self._seen_by_id: dict[str, list[_Seen]] = {}

    def update(self, workers: Iterable[TrackedWorker], now_ms: int) -> None:
        """Record the present capacity of workers, and drop old records."""
        for worker in workers:
            info = worker.info
            if info is None:
                continue
            seen = _Seen(info.service, info.capacity, now_ms)
            records = self._seen_by_id.setdefault(worker.worker_id, [])
            if records and records[-1][:2] == seen[:2]:
                records[-1] = seen
            else:
                records.append(seen)
        oldest_ms = now_ms - RETENTION_MS
        for worker_id, records in list(self._seen_by_id.items()):
            if records[0].seen_ms < oldest_ms:
                records[:] = [
                    seen for seen in records if seen.seen_ms >= oldest_ms
                ]
            if not records:
                del self._seen_by_id[worker_id]

    def capacities(self, services: frozenset[str]) -> list[Resources]:
        """Return the largest capacity of each worker of some services."""
        return [
            _component_maximum(found)
            for records in self._seen_by_id.values()
            if (
                found := [
                    seen.capacity
                    for seen in records
                    if seen.service in services
                ]
            )
        ]

    def services(self) -> frozenset[str]:
        """Return the services that have or had workers."""
        return frozenset(
            seen.service
            for records in self._seen_by_id.values()
            for seen in records
        )


def maximal(amounts: Iterable[Resources]) -> tuple[Resources, ...]:
    """Return the amounts that do not fit into another one."""
    kept: list[Resources] = []
    for amount in sorted(set(amounts), reverse=True):
        if not any(amount.fits(larger) for larger in kept):
            kept.append(amount)
    return tuple(kept)


def _component_maximum(amounts: list[Resources]) -> Resources:
    if len(amounts) == 1:
        return amounts[0]
    return Resources(*(max(values) for values in zip(*amounts, strict=True)))


__all__ = ["CapacityMemory", "maximal"]
