"""Lower bound of the wait of a task behind other work."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple


if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Sequence


class Work(NamedTuple):
    """Tasks of one duration.

    :param duration_ms: shortest remaining duration of each.
    :param cpu_millis: capacity of all of them together.
    """

    duration_ms: float
    cpu_millis: int


class InTimeWork(NamedTuple):
    """Work that ranks before a new job only until its latest start.

    :param slack_ms: time until its latest start.
    """

    slack_ms: float
    work: Work


def wait_bound_ms(work: Iterable[Work], capacity_cpu_millis: int) -> float:
    """Return the earliest time at which all work can have started, in ms.

    What runs at that time occupies at most the whole capacity, and is least
    done if it is the work of the longest duration; the rest must be done by
    then.
    """
    if capacity_cpu_millis <= 0:
        return 0.0
    at_once = capacity_cpu_millis
    done_before = 0.0
    for duration_ms, cpu_millis in sorted(work, reverse=True):
        running = min(cpu_millis, at_once)
        at_once -= running
        done_before += duration_ms * (cpu_millis - running)
    return done_before / capacity_cpu_millis


def starting_in_time(
    in_time_work: Iterable[InTimeWork],
    earlier_ms: float,
    capacity_cpu_millis: int,
) -> list[Work]:
    """Return the work that can still start before its latest start.

    The rest will rank behind a new job before its turn comes.

    :param in_time_work: work of one priority.
    :param earlier_ms: lower bound of the wait behind more urgent work.
    """
    kept: list[Work] = []
    start_ms = earlier_ms
    for slack_ms, work in sorted(in_time_work):
        if start_ms > slack_ms:
            continue
        kept.append(work)
        start_ms += work.duration_ms * work.cpu_millis / capacity_cpu_millis
    return kept


def total_work(work: Sequence[Work]) -> float:
    """Return the work in ms times thousandths of a core."""
    return sum(item.duration_ms * item.cpu_millis for item in work)


__all__ = [
    "InTimeWork",
    "Work",
    "starting_in_time",
    "total_work",
    "wait_bound_ms",
]
