"""Events of the instances that schedule jobs from a shared store."""

from __future__ import annotations

from magnoliapitch.event.registry import EventLevel
from magnoliapitch.event.registry import define_event


define_event(
    "call-answered",
    EventLevel.INFO,
    "A caller's submission or cancellation was stored, or the reason why not.",
)
define_event(
    "step-starting",
    EventLevel.INFO,
    "Tasks of a step are going to be ordered, with the time since the "
    "step's turn came.",
)
define_event(
    "step-done",
    EventLevel.INFO,
    "Every task of a step is done.",
)
define_event(
    "advice-received",
    EventLevel.INFO,
    "The advisor answered for a step, with how many workers it permits.",
)
define_event(
    "advice-failed",
    EventLevel.WARNING,
    "The advisor did not answer for a step; it is asked again.",
)
define_event(
    "advice-lane-rests",
    EventLevel.WARNING,
    "Another instance could not ask the advisor; it is not used for "
    "some seconds.",
)
define_event(
    "run-ended",
    EventLevel.INFO,
    "A run ended otherwise than done, or its end was no news.",
)
define_event(
    "run-absent",
    EventLevel.WARNING,
    "A run that was ordered is surely not going on; its task waits again.",
)
define_event(
    "start-failed",
    EventLevel.WARNING,
    "A worker refused an order to start, or did not answer it.",
)
define_event(
    "stop-ordered",
    EventLevel.INFO,
    "A worker is told to stop a run, with the reason.",
)
define_event(
    "worker-draining",
    EventLevel.INFO,
    "A worker leaves soon and gets no new work.",
)
define_event(
    "worker-avoided",
    EventLevel.WARNING,
    "What a worker starts fails again and again; it gets nothing for a while.",
)
define_event(
    "settings-reloaded",
    EventLevel.INFO,
    "SIGHUP came and the settings file was read again.",
)
define_event(
    "settings-rejected",
    EventLevel.ERROR,
    "SIGHUP came and the settings file is not valid; nothing was changed.",
)
define_event(
    "worker-gone",
    EventLevel.WARNING,
    "A worker's life is over; what it ran waits again.",
)
define_event(
    "worker-lease-over",
    EventLevel.WARNING,
    "A worker was silent until its lease was surely over; what it ran "
    "waits again.",
)
define_event(
    "worker-unreadable",
    EventLevel.WARNING,
    "An entry in the list of workers cannot be read and names no worker.",
)
define_event(
    "worker-list-unavailable",
    EventLevel.WARNING,
    "The list of workers cannot be read; the last known one is used.",
)
define_event(
    "configuration-applied",
    EventLevel.INFO,
    "A newer configuration is in force on this instance.",
)
define_event(
    "configuration-unreadable",
    EventLevel.ERROR,
    "The newest configuration cannot be read; the last one stays in force.",
)
define_event(
    "queue-missing",
    EventLevel.WARNING,
    "A stored job belongs to a queue that the configuration does not "
    "have; it waits.",
)
define_event(
    "store-unavailable",
    EventLevel.WARNING,
    "A call to the store failed after one that had succeeded.",
)
define_event(
    "store-available",
    EventLevel.INFO,
    "A call to the store succeeded after ones that had failed.",
)
define_event(
    "record-unreadable",
    EventLevel.WARNING,
    "A stored record cannot be read and is passed over.",
)
define_event(
    "leadership-claimed",
    EventLevel.INFO,
    "This instance decides from now on, with its epoch.",
)
define_event(
    "leadership-claim-failed",
    EventLevel.INFO,
    "Another instance was faster, or the store did not answer.",
)
define_event(
    "leadership-begun",
    EventLevel.INFO,
    "The instance that leads has read every open job.",
)
define_event(
    "leadership-unprepared",
    EventLevel.WARNING,
    "The instance that leads could not read the jobs yet; it tries again.",
)
define_event(
    "leadership-lost",
    EventLevel.WARNING,
    "This instance decides no more, with the reason.",
)
define_event(
    "leadership-resigned",
    EventLevel.INFO,
    "The instance stops and lets another one lead at once.",
)
define_event(
    "leave-failed",
    EventLevel.WARNING,
    "A stopping instance could not withdraw its address.",
)
