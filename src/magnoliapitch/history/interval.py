"""Time intervals in which tasks ran on workers."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

from magnoliapitch.history.event import LeaseEnded
from magnoliapitch.history.event import LeaseStarted
from magnoliapitch.resource import Resources


if TYPE_CHECKING:
    from collections.abc import Sequence

    from magnoliapitch.history.event import Event


OPEN_END_MS = 2**62


class Interval(NamedTuple):
    """Run of a task under a lease; the end is exclusive."""

    start_ms: int
    end_ms: int
    worker_id: str
    lease_id: str
    resources: Resources


def running_intervals(events: Sequence[Event]) -> tuple[Interval, ...]:
    """Return the runs of tasks, sorted by start.

    A run without an end has the end ``OPEN_END_MS``.

    :param events: a history in which the events of each worker are in
        order; those of different workers may be interleaved in any way.
    """
    open_by_lease: dict[tuple[str, str], LeaseStarted] = {}
    intervals = []
    for event in events:
        match event:
            case LeaseStarted():
                open_by_lease[event.worker_id, event.lease_id] = event
            case LeaseEnded():
                key = (event.worker_id, event.lease_id)
                started = open_by_lease.pop(key, None)
                if started is not None:
                    intervals.append(_interval(started, event.at_ms))
    intervals += [
        _interval(started, OPEN_END_MS) for started in open_by_lease.values()
    ]
    return tuple(sorted(intervals))


def _interval(started: LeaseStarted, end_ms: int) -> Interval:
    return Interval(
        started.at_ms,
        end_ms,
        started.worker_id,
        started.lease_id,
        started.resources,
    )
