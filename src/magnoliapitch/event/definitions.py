"""Definitions of the events that the instances log.

``job_definitions`` and ``planning_definitions`` have those of scheduling jobs
from a shared store; docs/events.md lists the events of all modules.
"""

from __future__ import annotations

from magnoliapitch.event.registry import EventLevel
from magnoliapitch.event.registry import define_event


define_event(
    "backend-call-failed",
    EventLevel.ERROR,
    "The backend client raised an error; the request may have been executed.",
)
define_event(
    "child-failed",
    EventLevel.WARNING,
    "A child could not be restarted; the attempt counts as another failure.",
)
define_event(
    "child-restarted",
    EventLevel.WARNING,
    "A supervisor restarted a child that had stopped on its own.",
)
define_event(
    "restart-limit-reached",
    EventLevel.ERROR,
    "A child failed more often than allowed within the time window; the "
    "process exits.",
)
define_event(
    "step-failed",
    EventLevel.ERROR,
    "A step of a loop raised an error; the supervisor restarts the loop after "
    "a delay.",
)
define_event(
    "child-hung",
    EventLevel.ERROR,
    "A loop has not started a step for longer than the configured limit.",
)
define_event(
    "stop-timed-out",
    EventLevel.WARNING,
    "A child did not stop within the timeout; its thread was abandoned.",
)
define_event(
    "stop-failed",
    EventLevel.ERROR,
    "A child raised an error while stopping; the other children are still "
    "stopped.",
)
define_event(
    "listener-error",
    EventLevel.WARNING,
    "A listener reported an error of a connection or of one of its threads.",
)
define_event(
    "entry-started",
    EventLevel.INFO,
    "The instance started all its components.",
)
define_event(
    "entry-stopping",
    EventLevel.INFO,
    "The instance was told to stop and finishes the requests in flight.",
)
define_event(
    "entry-stopped",
    EventLevel.INFO,
    "The instance stopped all its components.",
)
define_event(
    "drain-started",
    EventLevel.INFO,
    "The instance refuses new work and reports that it is not ready.",
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
    "A handler raised an error; the response says that the request may have "
    "been executed.",
)
define_event(
    "record-rejected",
    EventLevel.WARNING,
    "A log record that no instance wrote was rejected as damaged or invalid; "
    "the state is unchanged.",
)
define_event(
    "entry-rejected",
    EventLevel.DEBUG,
    "An entry that an instance wrote to the log was rejected; the state is "
    "unchanged and the writer was informed.",
)
define_event(
    "fold-failed",
    EventLevel.ERROR,
    "A handler raised an error on a log record; every instance skips the "
    "record in the same way.",
)
define_event(
    "snapshot-loaded",
    EventLevel.WARNING,
    "A snapshot was loaded in place of records that the log had discarded "
    "before this instance read them.",
)
define_event(
    "snapshot-written",
    EventLevel.INFO,
    "A snapshot of the state was queued for appending to the log.",
)
define_event(
    "history-missing",
    EventLevel.ERROR,
    "The log has discarded records that this instance needs, and no snapshot "
    "or peer can replace them.",
)
define_event(
    "log-unavailable",
    EventLevel.WARNING,
    "The platform's log cannot be read; the instance continues without it.",
)
define_event(
    "log-available",
    EventLevel.INFO,
    "The platform's log can be read again.",
)
define_event(
    "instance-list-unavailable",
    EventLevel.WARNING,
    "The list of instances cannot be read; the last known list is used.",
)
define_event(
    "instance-list-available",
    EventLevel.INFO,
    "The list of instances can be read again.",
)
define_event(
    "unit-claimed",
    EventLevel.INFO,
    "The instance became the owner of a rack under the given epoch.",
)
define_event(
    "unit-lost",
    EventLevel.INFO,
    "The instance is no longer the owner of a rack; another instance has "
    "claimed it or may do so.",
)
define_event(
    "member-removed",
    EventLevel.WARNING,
    "An instance that has certainly stopped was removed from the members.",
)
define_event(
    "superseded",
    EventLevel.ERROR,
    "The log records that this incarnation of the instance has left; the "
    "instance stops and must be restarted.",
)
define_event(
    "drain-timed-out",
    EventLevel.WARNING,
    "Requests were still in flight at the end of the drain timeout.",
)
define_event(
    "log-lines-lost",
    EventLevel.WARNING,
    "Log lines were lost, since their reader was too slow, had stopped or had "
    "closed the stream.",
)
define_event(
    "log-lines-left-out",
    EventLevel.INFO,
    "More lines of one kind were logged within a second than the limit "
    "allows; the excess was omitted.",
)
