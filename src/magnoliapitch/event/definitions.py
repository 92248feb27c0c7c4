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
define_event(
    "child-hung",
    EventLevel.ERROR,
    "A loop has not begun a step for too long.",
)
define_event(
    "stop-timed-out",
    EventLevel.WARNING,
    "A child did not stop in time and was left behind.",
)
define_event(
    "stop-failed",
    EventLevel.ERROR,
    "A child raised an error while it stopped; the others stop all the same.",
)
define_event(
    "listener-error",
    EventLevel.WARNING,
    "A listener reported an error of a connection or thread of its own.",
)
define_event(
    "entry-started", EventLevel.INFO, "The instance started all its parts."
)
define_event(
    "entry-stopping",
    EventLevel.INFO,
    "The instance was told to stop and finishes what is in flight.",
)
define_event(
    "entry-stopped", EventLevel.INFO, "The instance stopped all its parts."
)
define_event(
    "drain-started",
    EventLevel.INFO,
    "The instance refuses new work and is no longer ready.",
)
define_event(
    "catalogue-changed",
    EventLevel.INFO,
    "An operator's change of the catalogue was accepted.",
)
define_event(
    "catalogue-refused",
    EventLevel.INFO,
    "An operator's change of the catalogue was refused.",
)
define_event(
    "request-failed",
    EventLevel.ERROR,
    "A handler raised an error; the caller was told that it may have run.",
)
define_event(
    "record-rejected",
    EventLevel.WARNING,
    "A record that no instance wrote changed nothing: damaged or refused.",
)
define_event(
    "entry-rejected",
    EventLevel.DEBUG,
    "An instance's entry in the log changed nothing; its writer was told.",
)
define_event(
    "fold-failed",
    EventLevel.ERROR,
    "A handler failed on a record; every instance skips it alike.",
)
define_event(
    "snapshot-loaded",
    EventLevel.WARNING,
    "A snapshot replaced records that had left the log unread.",
)
define_event(
    "snapshot-written",
    EventLevel.INFO,
    "A snapshot of the state was queued for the log.",
)
define_event(
    "history-missing",
    EventLevel.ERROR,
    "Records have left the log and no snapshot and no peer replaces them.",
)
define_event(
    "log-unavailable",
    EventLevel.WARNING,
    "The platform's log cannot be read; the instance goes on without it.",
)
define_event(
    "log-available", EventLevel.INFO, "The platform's log can be read again."
)
define_event(
    "instance-list-unavailable",
    EventLevel.WARNING,
    "The list of instances cannot be read; the last known one is used.",
)
define_event(
    "instance-list-available",
    EventLevel.INFO,
    "The list of instances can be read again.",
)
define_event(
    "unit-claimed",
    EventLevel.INFO,
    "The instance owns a rack from now on, with the epoch of its claim.",
)
define_event(
    "unit-lost",
    EventLevel.INFO,
    "The instance owns a rack no more; another one has it or may claim it.",
)
define_event(
    "member-removed",
    EventLevel.WARNING,
    "An instance that is surely gone was removed from the members.",
)
define_event(
    "superseded",
    EventLevel.ERROR,
    "The log names this incarnation as gone; it must be restarted.",
)
define_event(
    "drain-timed-out",
    EventLevel.WARNING,
    "Requests were still in flight when the time to drain had passed.",
)
define_event(
    "log-lines-lost",
    EventLevel.WARNING,
    "Log lines were lost, since their reader was slow, stopped or gone.",
)
define_event(
    "log-lines-left-out",
    EventLevel.INFO,
    "More lines of one kind came within a second than are logged.",
)
