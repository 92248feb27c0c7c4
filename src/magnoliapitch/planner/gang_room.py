"""Room that is kept for gangs that do not fit yet."""

from __future__ import annotations

from typing import TYPE_CHECKING

from magnoliapitch.planner.candidates import expected_task_count_soon
from magnoliapitch.planner.candidates import most_free_cpu_first
from magnoliapitch.planner.candidates import task_count_beside_services
from magnoliapitch.resource import NO_RESOURCES


if TYPE_CHECKING:
    from magnoliapitch.planner.candidates import Candidate
    from magnoliapitch.planner.tracked import TrackedStep


# Gangs that do not fit yet and for which capacity is reserved. The limit is
# low because each occupies an advisor call most of the time, to renew tickets.
MAX_GANGS_WITH_RESERVED_CAPACITY = 4
# After this time a waiting gang no longer keeps capacity from other steps.
MAX_CAPACITY_RESERVATION_MS = 20_000


class GangRoom:
    """Limits for which gangs capacity is reserved in a planning round."""

    def __init__(self, now_ms: int) -> None:
        self._now_ms = now_ms
        self._gang_count = 0

    def may_reserve(
        self, step: TrackedStep, candidates: list[Candidate]
    ) -> bool:
        """Return whether capacity is to be reserved for a gang, and count it.

        A gang that has too many tasks for its permitted workers, or waits
        for capacity that long-running services never free, must not keep
        capacity from other steps.

        :param candidates: workers on which it may be placed.
        """
        if self._gang_count >= MAX_GANGS_WITH_RESERVED_CAPACITY:
            return False
        ready_ms = step.ready_ms if step.ready_ms is not None else self._now_ms
        if self._now_ms - ready_ms > MAX_CAPACITY_RESERVATION_MS:
            return False
        fitting_count = sum(
            task_count_beside_services(candidate, step)
            for candidate in candidates
        )
        if fitting_count < step.waiting_count:
            return False
        self._gang_count += 1
        return True


def reserve(step: TrackedStep, candidates: list[Candidate]) -> None:
    """Keep later steps of a round away from workers on which a gang will fit.

    As many are kept as its waiting tasks should fit on soon.
    """
    expected_count = 0
    for candidate in sorted(candidates, key=most_free_cpu_first):
        if expected_count >= step.waiting_count:
            break
        expected_count += expected_task_count_soon(candidate, step)
        candidate.free = NO_RESOURCES


__all__ = ["GangRoom", "reserve"]
