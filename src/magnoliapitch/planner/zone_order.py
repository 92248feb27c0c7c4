"""Order of availability zones in which a step is placed."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from magnoliapitch.planner.candidates import Candidate
    from magnoliapitch.planner.tracked import TrackedStep


class _ZoneRoom(NamedTuple):
    """Room for a step's waiting tasks in one availability zone.

    :param ready_count: tasks that fit on workers that need no permit first.
    :param total_count: tasks that fit on all workers of the zone.
    """

    ready_count: int = 0
    total_count: int = 0

    def plus(self, count: int, *, is_ready: bool) -> _ZoneRoom:
        return _ZoneRoom(
            self.ready_count + (count if is_ready else 0),
            self.total_count + count,
        )


def rank_zones(
    step: TrackedStep,
    fitting: Iterable[Candidate],
    must_be_asked: Callable[[Candidate], bool],
) -> dict[str, int]:
    """Rank the zones so that a step's tasks run in as few as possible.

    A zone that is cut off then holds up the jobs that run there, instead of
    nearly every job. First come zones in which tasks of the step run
    already, then those with room for all that wait, then those with the most
    room. So whole steps are spread over the zones while each step is not.

    Services are not kept together, since their tasks replace each other.

    :param fitting: workers with enough free CPU for a task.
    :param must_be_asked: whether a worker needs a permit that is not being
        requested yet.
    :return: rank by the name of the zone, the lowest first; empty if the
        zone does not matter.
    """
    if step.spec.is_long_running or step.spec.task_count == 1:
        return {}
    room_by_zone: dict[str, _ZoneRoom] = {}
    for candidate in fitting:
        zone = candidate.info.zone
        room = room_by_zone.get(zone, _ZoneRoom())
        room_by_zone[zone] = room.plus(
            _fitting_count(step, candidate),
            is_ready=not must_be_asked(candidate),
        )
    if len(room_by_zone) < 2:
        return {}
    occupied_zones = {
        run.worker_zone
        for run in step.all_active_runs()
        if not run.is_stopping
    }
    needed_count = step.startable_count

    def key(zone: str) -> tuple[bool, int, int, str]:
        room = room_by_zone[zone]
        return (
            zone not in occupied_zones,
            -min(room.ready_count, needed_count),
            -room.total_count,
            zone,
        )

    return {
        zone: rank for rank, zone in enumerate(sorted(room_by_zone, key=key))
    }


def _fitting_count(step: TrackedStep, candidate: Candidate) -> int:
    """Return how many tasks fit by CPU, the scarce resource as a rule."""
    reserved_millis = max(1, step.reservation.cpu_millis)
    count = candidate.free.cpu_millis // reserved_millis
    return min(count, step.spec.max_per_worker or count)


__all__ = ["rank_zones"]
