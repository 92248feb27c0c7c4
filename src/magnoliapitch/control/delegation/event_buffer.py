"""Events of an agent that the leader has not received yet."""

from __future__ import annotations

from typing import NamedTuple

from magnoliapitch.control.delegation.messages import AgentEvent
from magnoliapitch.control.delegation.messages import AgentEventKind


MAX_BATCH_EVENTS = 400


class EventSlice(NamedTuple):
    """Consecutive events.

    :param first: number of the first event.
    """

    first: int
    events: tuple[AgentEvent, ...]


class EventBuffer:
    """Numbers events from 1 and keeps them until they are received."""

    def __init__(self) -> None:
        self._first = 1
        self._events: list[AgentEvent] = []
        self._last_read = 0
        self._unchanged_report_by_worker: dict[str, int] = {}

    def __bool__(self) -> bool:
        """Return whether there are events."""
        return bool(self._events)

    def append(self, event: AgentEvent) -> None:
        """Add an event.

        A report that repeats the previous one of its worker takes the place
        of that one if the leader has not read it yet.
        """
        number = self._first + len(self._events)
        if _is_unchanged_report(event):
            earlier = self._unchanged_report_by_worker.get(event.worker_id, 0)
            if earlier > self._last_read:
                self._events[earlier - self._first] = event
                return
            self._unchanged_report_by_worker[event.worker_id] = number
        else:
            self._unchanged_report_by_worker.pop(event.worker_id, None)
        self._events.append(event)

    def drop(self, received: int) -> None:
        """Drop the events up to a number."""
        count = received - self._first + 1
        if count > 0:
            del self._events[:count]
            self._first += count

    def read(self) -> EventSlice:
        """Return the oldest events, as many as one batch may have."""
        events = tuple(self._events[:MAX_BATCH_EVENTS])
        last = self._first + len(events) - 1
        self._last_read = max(self._last_read, last)
        return EventSlice(self._first, events)


def _is_unchanged_report(event: AgentEvent) -> bool:
    return (
        event.kind is AgentEventKind.RENEWAL
        and event.failure is None
        and event.running is None
        and not event.ended
        and event.has_all_ends
    )
