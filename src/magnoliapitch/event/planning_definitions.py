"""Definitions of the events of the leader's planning."""

from __future__ import annotations

from magnoliapitch.event.registry import EventLevel
from magnoliapitch.event.registry import define_event


define_event(
    "load-figures-failed",
    EventLevel.ERROR,
    "The leader could not compute the load figures; without new ones every "
    "job is admitted.",
)
define_event(
    "step-starting",
    EventLevel.INFO,
    "Start orders for tasks of a step are about to be sent; gives the time "
    "since the step became ready, the age of the list of workers, and in "
    "`placements` each worker with its new tasks and the thousandths of a "
    "core that are left there.",
)
define_event(
    "planning-summary",
    EventLevel.INFO,
    "What the leader's planning rounds of about one second did, and what "
    "waits; see docs/OPERATIONS.md.",
)
define_event(
    "step-waiting",
    EventLevel.INFO,
    "A step has had no run for over a second although its tasks may start; "
    "tells which gate keeps it; see docs/OPERATIONS.md.",
)
define_event(
    "occurrence-postponed",
    EventLevel.WARNING,
    "An occurrence of a recurring job is due, but waits for earlier ones to "
    "end, since the job has too many open tasks.",
)
define_event(
    "start-summary",
    EventLevel.INFO,
    "Where the planned starts of about one second wait: for the store, for "
    "the window of orders, for answers; see docs/OPERATIONS.md.",
)
define_event(
    "control-loop-summary",
    EventLevel.INFO,
    "What the leader's control loop spent about one second on; see "
    "docs/OPERATIONS.md.",
)
define_event(
    "step-held",
    EventLevel.INFO,
    "A ready step is left out of planning, since none of its tasks passes "
    "the quota of its workspace; logged once when that begins.",
)
define_event(
    "workspace-summary",
    EventLevel.INFO,
    "Which workspaces have steps that wait for their quota, or are placed "
    "last since they exceed the fair share; see docs/OPERATIONS.md.",
)
define_event(
    "durations-learned",
    EventLevel.INFO,
    "What the leader has learned of task durations, about once a minute: the "
    "slowest and fastest workers with their speeds, and for each queue the "
    "errors of its estimates, of whole steps and of the tasks of a step, as "
    "deviations of logarithms.",
)
define_event(
    "worker-slowed",
    EventLevel.WARNING,
    "Tasks on a worker take much longer than they did there, compared with "
    "the same work elsewhere; other workers are preferred.",
)
define_event(
    "step-done",
    EventLevel.INFO,
    "Every task of a step is done.",
)
