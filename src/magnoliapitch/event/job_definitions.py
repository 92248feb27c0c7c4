"""Definitions of the events of scheduling jobs from a shared store."""

from __future__ import annotations

from magnoliapitch.event.registry import EventLevel
from magnoliapitch.event.registry import define_event


define_event(
    "call-answered",
    EventLevel.INFO,
    "A submission or cancellation was stored, or failed for the given reason.",
)
define_event(
    "submission-rejected",
    EventLevel.INFO,
    "A job was not stored, since it could no longer be of use or no worker is "
    "large enough; gives the figures that decided it.",
)
define_event(
    "open-work-full",
    EventLevel.WARNING,
    "A job was not stored, since the open jobs of all callers leave too "
    "little of the leader's memory for it.",
)
define_event(
    "call-relayed",
    EventLevel.INFO,
    "The store does not answer this instance, or slowly, so an operation on a "
    "job was passed on to another instance, the leader's if possible.",
)
define_event(
    "call-rejected",
    EventLevel.INFO,
    "A call was rejected by its API key: 401 without a known one, 403 with "
    "that of another workspace than the job's.",
)
define_event(
    "pending-count-stale",
    EventLevel.WARNING,
    "The stored jobs cannot be read, so the number of pending jobs leaves out "
    "those that the leader has not published yet.",
)
define_event(
    "advice-received",
    EventLevel.INFO,
    "The advisor answered for a step with the number of workers that it "
    "permits.",
)
define_event(
    "advice-failed",
    EventLevel.WARNING,
    "The advisor did not answer for a step; it is asked again.",
)
define_event(
    "advice-lane-rests",
    EventLevel.WARNING,
    "A call to the advisor through another instance failed; that instance is "
    "not used for this for some seconds.",
)
define_event(
    "advice-lane-answers",
    EventLevel.INFO,
    "An instance through which the advisor can be called answers, for the "
    "first time or again.",
)
define_event(
    "peers-unread",
    EventLevel.WARNING,
    "The announcements of the other instances could not be read; the last "
    "ones that were read stay in use.",
)
define_event(
    "agent-used",
    EventLevel.INFO,
    "The leader lets another instance, its agent, renew leases and send "
    "orders for some of the workers.",
)
define_event(
    "agent-lost",
    EventLevel.WARNING,
    "An agent did not answer the leader, or has begun a later session; its "
    "workers get another agent.",
)
define_event(
    "agent-session-begun",
    EventLevel.INFO,
    "This instance became an agent of the leader with the given epoch.",
)
define_event(
    "agent-session-ended",
    EventLevel.INFO,
    "This instance is no longer an agent, since the leader does not call it.",
)
define_event(
    "order-dropped",
    EventLevel.WARNING,
    "An order of the leader was not sent, for the given reason; the leader "
    "takes it as not carried out.",
)
define_event(
    "run-ended",
    EventLevel.INFO,
    "A run ended other than by completing, or its end was already known. "
    "``failures`` counts the failed runs of its task, or of its gang, so far.",
)
define_event(
    "end-ignored",
    EventLevel.WARNING,
    "A worker reports the end of a run that is taken as active, under a "
    "number up to which its ends were applied before.",
)
define_event(
    "run-absent",
    EventLevel.WARNING,
    "A worker does not list a run that was ordered there, so the run is "
    "certainly not executing; its task waits again.",
)
define_event(
    "run-lost",
    EventLevel.INFO,
    "A run ended with its worker, or when the worker's lease had certainly "
    "expired. Gives whether the start order may have been sent, the time "
    "since the worker accepted the run (None if it is not known to have), "
    "whether only runs of this job were on the worker, how many runs of the "
    "task have failed, and with how many workers one was lost before.",
)
define_event(
    "task-suspected",
    EventLevel.WARNING,
    "A task was lost with several workers, so it is placed apart from other "
    "jobs from now on.",
)
define_event(
    "task-given-up",
    EventLevel.WARNING,
    "Worker after worker ended while a task ran there, so it is not started "
    "any more and its job has failed.",
)
define_event(
    "run-unknown",
    EventLevel.WARNING,
    "A worker reports an active run that the leader does not know; it is "
    "ordered to stop it and gets no new runs until the run has ended.",
)
define_event(
    "start-failed",
    EventLevel.WARNING,
    "A worker refused a start order or did not answer it; gives the time "
    "since the order was decided.",
)
define_event(
    "start-delayed",
    EventLevel.WARNING,
    "A worker began a run a second or more after the order was decided.",
)
define_event(
    "copy-starting",
    EventLevel.INFO,
    "A task takes unusually long, so a copy of its run starts on another "
    "worker; the first that is done counts.",
)
define_event(
    "starts-held",
    EventLevel.WARNING,
    "The list of workers, or the jobs, were read too long ago to start runs: "
    "a worker may have said since that it leaves, or a job may have been "
    "cancelled. Starts wait until both are read.",
)
define_event(
    "starts-resumed",
    EventLevel.INFO,
    "The list of workers and the jobs were read, and starts go on.",
)
define_event(
    "stop-ordered",
    EventLevel.INFO,
    "A worker is ordered to stop a run, for the given reason.",
)
define_event(
    "worker-draining",
    EventLevel.INFO,
    "A worker is about to leave and gets no new work.",
)
define_event(
    "worker-avoided",
    EventLevel.WARNING,
    "Runs on a worker failed repeatedly; it gets no work for the given pause.",
)
define_event(
    "settings-reloaded",
    EventLevel.INFO,
    "The settings file was read again after SIGHUP.",
)
define_event(
    "settings-rejected",
    EventLevel.ERROR,
    "The settings file is invalid after SIGHUP; nothing was changed.",
)
define_event(
    "worker-gone",
    EventLevel.WARNING,
    "A worker left or was replaced; the tasks it ran wait again.",
)
define_event(
    "worker-restarted",
    EventLevel.WARNING,
    "A worker is listed under its former name with a later start; what ran on "
    "the former incarnation has ended and waits again once a stop order has "
    "made sure of it.",
)
define_event(
    "worker-silent",
    EventLevel.WARNING,
    "A worker with runs does not answer; its tasks wait until every lease "
    "that it may hold has certainly expired. Gives that time, and whether "
    "this leader has granted one or only former leaders may have.",
)
define_event(
    "worker-lease-over",
    EventLevel.WARNING,
    "A worker was silent until its lease had certainly expired; the tasks it "
    "ran wait again.",
)
define_event(
    "renewal-failed",
    EventLevel.WARNING,
    "A worker refused or did not answer the renewal of its lease; logged for "
    "the first four different reasons of each worker in a leadership.",
)
define_event(
    "worker-unreadable",
    EventLevel.WARNING,
    "An entry in the list of workers is invalid; it is ignored.",
)
define_event(
    "call-error",
    EventLevel.ERROR,
    "A call of the leader or an agent ended with an unexpected error, which "
    "counts as a call without an answer.",
)
define_event(
    "worker-list-unavailable",
    EventLevel.WARNING,
    "The list of workers cannot be read; the last known list is used until "
    "it is too old.",
)
define_event(
    "leader-upkeep-failed",
    EventLevel.WARNING,
    "The leader could not read the list of instances or delete ended jobs; it "
    "tries again.",
)
define_event(
    "configuration-applied",
    EventLevel.INFO,
    "This instance applied a newer configuration.",
)
define_event(
    "configuration-unreadable",
    EventLevel.ERROR,
    "The newest configuration cannot be decoded; the previous one stays in "
    "force.",
)
define_event(
    "ends-partly-listed",
    EventLevel.INFO,
    "A worker lists only a part of its ended runs at a time; runs that are "
    "missing in the report are kept until it has listed all.",
)
define_event(
    "queue-missing",
    EventLevel.WARNING,
    "The leader took over a job whose queue the configuration does not "
    "define. The job runs on the service of the queue that accepted it, and "
    "waits if that is not known.",
)
define_event(
    "store-unavailable",
    EventLevel.WARNING,
    "A call to the store failed after an earlier one had succeeded.",
)
define_event(
    "store-available",
    EventLevel.INFO,
    "A call to the store succeeded after earlier ones had failed.",
)
define_event(
    "stream-partly-read",
    EventLevel.INFO,
    "A read of a stream ended before the stream did; gives the number of "
    "records that are left.",
)
define_event(
    "record-unreadable",
    EventLevel.WARNING,
    "A stored record cannot be decoded and is skipped.",
)
define_event(
    "record-refused",
    EventLevel.ERROR,
    "The store has refused a record for good. Only that record is not "
    "stored; a submission is answered with 400, and a job whose progress it "
    "was fails.",
)
define_event(
    "progress-refused",
    EventLevel.ERROR,
    "The store has refused the progress of a job, which therefore fails; "
    "none of its starts that waited for it is ordered.",
)
define_event(
    "checkpoint-too-long",
    EventLevel.WARNING,
    "A worker reported a checkpoint that is too long to be stored; the task "
    "keeps its former one.",
)
define_event(
    "leadership-claimed",
    EventLevel.INFO,
    "This instance became the leader under the given epoch; "
    "leases_began_ms_ago tells how long ago the newest lease of a former "
    "leader began, as far as this instance knows.",
)
define_event(
    "leadership-claim-failed",
    EventLevel.INFO,
    "This instance did not become the leader: another instance claimed "
    "leadership first, or the store did not answer.",
)
define_event(
    "leadership-begun",
    EventLevel.INFO,
    "The new leader has read every open job.",
)
define_event(
    "leadership-unprepared",
    EventLevel.WARNING,
    "The new leader could not read the jobs yet; it tries again.",
)
define_event(
    "leadership-lost",
    EventLevel.WARNING,
    "This instance is no longer the leader, for the given reason.",
)
define_event(
    "leadership-resigned",
    EventLevel.INFO,
    "The leader stops and resigns, so that another instance can take over at "
    "once.",
)
define_event(
    "leave-failed",
    EventLevel.WARNING,
    "A stopping instance could not remove its address from the member list.",
)
