"""Every event that magnoliapitch logs; docs/events.md lists the same."""

from __future__ import annotations

from magnoliapitch.event.registry import EventLevel
from magnoliapitch.event.registry import define_event


define_event(
    "backend-call-failed",
    EventLevel.ERROR,
    "The client of backend servers raised an error; the request may have run.",
)
define_event(
    "child-failed",
    EventLevel.WARNING,
    "A child of a supervisor could not be started.",
)
define_event(
    "child-restarted",
    EventLevel.WARNING,
    "A supervisor restarted a child that had stopped by itself.",
)
define_event(
    "restart-limit-reached",
    EventLevel.ERROR,
    "A child failed too often; the process gives up and exits.",
)
define_event(
    "step-failed",
    EventLevel.ERROR,
    "A step of a loop raised an error; the loop goes on after a pause.",
)
