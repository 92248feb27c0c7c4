"""Estimates the resource use of each role of an entry instance."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from magnoliapitch.capacity.role import BYTES_PER_MIB
from magnoliapitch.capacity.role import US_PER_S
from magnoliapitch.capacity.role import Load
from magnoliapitch.capacity.role import Sizing


LoadFunction = Callable[[Sizing], Load]


class Role(NamedTuple):
    """One function of an entry instance, described for the capacity page.

    :param state: description of what it keeps in memory.
    :param messages: description of what it sends and receives.
    :param mechanism: description of what limits its cost.
    :param load: function that computes its resource use.
    """

    name: str
    state: str
    messages: str
    mechanism: str
    load: LoadFunction


roles_by_name: dict[str, Role] = {}


def role(
    name: str, state: str, messages: str, mechanism: str
) -> Callable[[LoadFunction], LoadFunction]:
    """Register the function that computes the resource use of a role."""

    def register(load: LoadFunction) -> LoadFunction:
        roles_by_name[name] = Role(name, state, messages, mechanism, load)
        return load

    return register


@role(
    "log follower",
    "catalogue, open jobs, members, claims",
    "one read a page of records",
    "batched records; one fold a stream",
)
def log_follower(sizing: Sizing) -> Load:
    """Return the cost of applying every entry of the followed log stream.

    Task ends are counted at the peak rate of task starts.
    """
    target = sizing.target
    task_ends = task_end_entries_per_second(sizing) / sizing.plan.log_streams
    submissions = target.jobs_per_second / sizing.plan.log_streams
    changes = target.changes_per_second
    core_share = sizing.core_share(
        "processor time of a folded entry, batches of 50",
        task_ends + submissions + changes,
    )
    open_jobs = target.running_tasks / sizing.plan.log_streams
    memory_mb = (
        sizing.marginal_cost("memory of an open job", open_jobs)
        + sizing.marginal_cost(
            "memory of a catalogue entry", sizing.catalogue_entries
        )
        + sizing.marginal_cost("memory of a member", sizing.entries)
    ) / BYTES_PER_MIB
    bytes_per_second = sizing.marginal_cost(
        "bytes on the wire of a log read, by entries", task_ends
    )
    bytes_per_second += sizing.marginal_cost(
        "bytes of a job submission in a record", submissions
    )
    bytes_per_second += sizing.marginal_cost(
        "bytes of a catalogue change in a record", changes
    )
    reads = appends_per_second(sizing) / sizing.plan.log_streams
    return Load(core_share, memory_mb, bytes_per_second, reads)


@role(
    "owner of racks",
    "last view and fence of each owned worker",
    "one view of a worker every poll, three times a lease a renewal",
    "one call a worker renews every lease and returns the whole view",
)
def owner_of_racks(sizing: Sizing) -> Load:
    """Return the cost of reading owned workers and renewing their leases."""
    calls = sizing.workers_per_entry / sizing.plan.call_interval_s
    return Load(
        sizing.core_share("processor time of a renewal over HTTP", calls),
        sizing.marginal_cost(
            "memory of an owned worker", sizing.workers_per_entry
        )
        / BYTES_PER_MIB,
        calls * _worker_call_bytes(sizing, 0),
        calls,
    )


@role(
    "placer",
    "queue, reservations and free capacity of the owned racks",
    "one start call a worker and decision",
    "starts for the same worker share a call",
)
def placer(sizing: Sizing) -> Load:
    """Return the cost of placing and starting tasks at the peak rate."""
    starts = sizing.target.starts_per_second / sizing.entries
    calls = starts / sizing.plan.starts_per_call
    core_share = sizing.core_share("processor time of a start", starts)
    core_share += sizing.core_share(
        "processor time of a renewal over HTTP", calls
    )
    queued_tasks = sizing.target.running_tasks / sizing.entries
    return Load(
        core_share,
        sizing.marginal_cost("memory of a queued task", queued_tasks)
        / BYTES_PER_MIB,
        calls * _worker_call_bytes(sizing, sizing.plan.starts_per_call),
        calls,
    )


@role(
    "list reader",
    "every instance that the platform lists",
    "one read of the list an interval",
    "the newest list is kept; placement never waits for it",
)
def list_reader(sizing: Sizing) -> Load:
    """Return the cost of reading the platform's list of instances."""
    target = sizing.target
    listed_instances = float(target.workers + sizing.entries)
    reads = 1 / sizing.plan.list_refresh_interval_s
    instances_per_second = listed_instances * reads
    if sizing.plan.uses_incremental_list:
        listed_instances /= target.zones
        instances_per_second = (
            target.instance_changes_per_second / target.zones
        )
    wire_slope = "bytes on the wire of an instance list"
    return Load(
        sizing.core_share(
            "processor time of a listed instance", instances_per_second
        ),
        sizing.marginal_cost("memory of a listed worker", listed_instances)
        / BYTES_PER_MIB,
        reads * sizing.fitted_cost(wire_slope, 0)
        + sizing.marginal_cost(wire_slope, instances_per_second),
        reads,
    )


@role(
    "member",
    "status of the zone's peers and of a few others",
    "heartbeats within the zone and on sparse links",
    "full mesh in a zone only; links to other zones do not grow",
)
def member(sizing: Sizing) -> Load:
    """Return the cost of heartbeats to and from peers."""
    peers = sizing.plan.entries_per_zone - 1 + sizing.plan.remote_links
    heartbeats = 2 * peers / sizing.plan.heartbeat_interval_s
    return Load(
        sizing.core_share("processor time of a heartbeat", heartbeats),
        sizing.marginal_cost("memory of a member", sizing.entries)
        / BYTES_PER_MIB,
        sizing.marginal_cost("bytes on the wire of heartbeats", heartbeats),
        heartbeats,
    )


@role(
    "log writer",
    "entries that wait for the next group commit",
    "one append a batch",
    "group commit under a budget of appends",
)
def log_writer(sizing: Sizing) -> Load:
    """Return the cost of appending task ends and job submissions.

    Presence records count only towards the rate of appends.
    """
    task_ends = task_end_entries_per_second(sizing) / sizing.entries
    submissions = sizing.target.jobs_per_second / sizing.entries
    bytes_per_second = sizing.marginal_cost(
        "bytes of a task end in a record", task_ends
    )
    bytes_per_second += sizing.marginal_cost(
        "bytes of a job submission in a record", submissions
    )
    return Load(
        sizing.core_share(
            "processor time of an encoded entry", task_ends + submissions
        ),
        0.0,
        bytes_per_second,
        appends_per_second(sizing) / sizing.entries,
    )


@role(
    "snapshot writer",
    "one encoded state while it is written",
    "parts of the snapshot",
    "one writer a window, chosen by rendezvous hashing",
)
def snapshot_writer(sizing: Sizing) -> Load:
    """Return the cost of writing the snapshots of one log stream.

    The entry instances of a stream take turns, so each has a share.
    """
    size_bytes = snapshot_bytes(sizing)
    writers = sizing.entries / sizing.plan.log_streams
    interval_s = sizing.plan.snapshot_interval_s
    encode_us = sizing.marginal_cost(
        "processor time of a snapshot, by jobs",
        sizing.target.running_tasks / sizing.plan.log_streams,
    )
    return Load(
        encode_us / US_PER_S / interval_s / writers,
        size_bytes / BYTES_PER_MIB,
        size_bytes / interval_s / writers,
        0.0,
    )


def snapshot_bytes(sizing: Sizing) -> float:
    """Return the size of one snapshot of a log stream, in bytes."""
    open_jobs = sizing.target.running_tasks / sizing.plan.log_streams
    return sizing.marginal_cost("bytes of a snapshot, by jobs", open_jobs)


def task_end_entries_per_second(sizing: Sizing) -> float:
    """Return the rate of record entries that report ended tasks.

    Tasks are assumed to end as often as they start at the peak.
    """
    return sizing.target.starts_per_second / sizing.plan.tasks_per_end_entry


def appends_per_second(sizing: Sizing) -> float:
    """Return the rate of appends by all entry instances at the peak.

    The rate is limited to the log's append budget: an entry instance that
    has used its share of the budget collects further entries and appends
    them together.
    """
    needed = (
        task_end_entries_per_second(sizing) + sizing.target.jobs_per_second
    )
    needed += sizing.entries / sizing.plan.presence_interval_s
    return min(float(sizing.target.log_appends_per_second), needed)


def _worker_call_bytes(sizing: Sizing, started: int) -> float:
    """Return the size in bytes of a call to a worker and its reply.

    :param started: tasks that the call starts, 0 for a renewal.
    """
    tasks = sizing.target.tasks_per_worker + 1 + started
    if sizing.plan.uses_incremental_views:
        tasks = float(started)
    return sizing.fitted_cost(
        "bytes on the wire of a renewal, by tasks", tasks
    )
