"""The roles of an entry instance and their costs."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from magnoliapitch.capacity.role import BYTES_PER_MB
from magnoliapitch.capacity.role import MICROSECONDS_PER_SECOND
from magnoliapitch.capacity.role import Load
from magnoliapitch.capacity.role import Sizing


LoadOf = Callable[[Sizing], Load]


class Role(NamedTuple):
    """A role with its mechanism and arithmetic.

    :param state: what it keeps in memory.
    :param messages: what it sends and receives.
    :param mechanism: what keeps its cost bounded.
    """

    name: str
    state: str
    messages: str
    mechanism: str
    load: LoadOf


roles_by_name: dict[str, Role] = {}


def role(
    name: str, state: str, messages: str, mechanism: str
) -> Callable[[LoadOf], LoadOf]:
    """Register the arithmetic of a role."""

    def register(load: LoadOf) -> LoadOf:
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
    """Fold every entry of the followed stream at the peak."""
    target = sizing.target
    ends = end_entries_per_second(sizing) / sizing.plan.streams
    submits = target.jobs_per_second / sizing.plan.streams
    changes = target.changes_per_second
    share = sizing.core_share(
        "processor time of a folded entry, batches of 50",
        ends + submits + changes,
    )
    jobs = target.running_tasks / sizing.plan.streams
    memory = (
        sizing.cost("memory of an open job", jobs)
        + sizing.cost("memory of a catalogue entry", sizing.catalogue_entries)
        + sizing.cost("memory of a member", sizing.entries)
    ) / BYTES_PER_MB
    traffic = sizing.cost("bytes on the wire of a log read, by entries", ends)
    traffic += sizing.cost("bytes of a job submission in a record", submits)
    traffic += sizing.cost("bytes of a catalogue change in a record", changes)
    reads = appends_per_second(sizing) / sizing.plan.streams
    return Load(share, memory, traffic, reads)


@role(
    "owner of racks",
    "last view and fence of each owned worker",
    "one view of a worker every poll, three times a lease a renewal",
    "one call a worker renews every lease and returns the whole view",
)
def owner_of_racks(sizing: Sizing) -> Load:
    """View every owned worker and renew its leases."""
    calls = sizing.workers_per_entry / sizing.plan.call_s
    return Load(
        sizing.core_share("processor time of a renewal over HTTP", calls),
        sizing.cost("memory of an owned worker", sizing.workers_per_entry)
        / BYTES_PER_MB,
        calls * _call_bytes(sizing, 0),
        calls,
    )


@role(
    "placer",
    "queue, reservations and free capacity of the owned racks",
    "one start call a worker and decision",
    "starts for the same worker share a call",
)
def placer(sizing: Sizing) -> Load:
    """Decide and start tasks at the peak."""
    starts = sizing.target.starts_per_second / sizing.entries
    calls = starts / sizing.plan.starts_per_call
    share = sizing.core_share("processor time of a start", starts)
    share += sizing.core_share("processor time of a renewal over HTTP", calls)
    queued = sizing.target.running_tasks / sizing.entries
    return Load(
        share,
        sizing.cost("memory of a queued task", queued) / BYTES_PER_MB,
        calls * _call_bytes(sizing, sizing.plan.starts_per_call),
        calls,
    )


@role(
    "list reader",
    "every instance that the platform lists",
    "one read of the list an interval",
    "the newest list is kept; placement never waits for it",
)
def list_reader(sizing: Sizing) -> Load:
    """Read the platform's list of instances."""
    target = sizing.target
    listed = float(target.workers + sizing.entries)
    reads = 1 / sizing.plan.list_refresh_s
    instances = listed * reads
    if sizing.plan.list_by_change:
        listed /= target.zones
        instances = target.instance_changes_per_second / target.zones
    wire = "bytes on the wire of an instance list"
    return Load(
        sizing.core_share("processor time of a listed instance", instances),
        sizing.cost("memory of a listed worker", listed) / BYTES_PER_MB,
        reads * sizing.line(wire, 0) + sizing.cost(wire, instances),
        reads,
    )


@role(
    "member",
    "status of the zone's peers and of a few others",
    "heartbeats within the zone and on sparse links",
    "full mesh in a zone only; links to other zones do not grow",
)
def member(sizing: Sizing) -> Load:
    """Exchange heartbeats."""
    peers = sizing.plan.entries_per_zone - 1 + sizing.plan.remote_links
    beats = 2 * peers / sizing.plan.heartbeat_s
    return Load(
        sizing.core_share("processor time of a heartbeat", beats),
        sizing.cost("memory of a member", sizing.entries) / BYTES_PER_MB,
        sizing.cost("bytes on the wire of heartbeats", beats),
        beats,
    )


@role(
    "log writer",
    "entries that wait for the next group commit",
    "one append a batch",
    "group commit under a budget of appends",
)
def log_writer(sizing: Sizing) -> Load:
    """Append ends of tasks, submissions and presence."""
    ends = end_entries_per_second(sizing) / sizing.entries
    submits = sizing.target.jobs_per_second / sizing.entries
    traffic = sizing.cost("bytes of a task end in a record", ends)
    traffic += sizing.cost("bytes of a job submission in a record", submits)
    return Load(
        sizing.core_share(
            "processor time of an encoded entry", ends + submits
        ),
        0.0,
        traffic,
        appends_per_second(sizing) / sizing.entries,
    )


@role(
    "snapshot writer",
    "one encoded state while it is written",
    "parts of the snapshot",
    "one writer a window, chosen by rendezvous hashing",
)
def snapshot_writer(sizing: Sizing) -> Load:
    """Write the snapshots of one stream, shared by its entries."""
    size = snapshot_bytes(sizing)
    writers = sizing.entries / sizing.plan.streams
    interval_s = sizing.plan.snapshot_interval_s
    encode_us = sizing.cost(
        "processor time of a snapshot, by jobs",
        sizing.target.running_tasks / sizing.plan.streams,
    )
    return Load(
        encode_us / MICROSECONDS_PER_SECOND / interval_s / writers,
        size / BYTES_PER_MB,
        size / interval_s / writers,
        0.0,
    )


def snapshot_bytes(sizing: Sizing) -> float:
    """Return the size of one snapshot of a stream, in bytes."""
    jobs = sizing.target.running_tasks / sizing.plan.streams
    return sizing.cost("bytes of a snapshot, by jobs", jobs)


def end_entries_per_second(sizing: Sizing) -> float:
    """Return the entries that record ends of tasks at the peak."""
    return sizing.target.starts_per_second / sizing.plan.tasks_per_end


def appends_per_second(sizing: Sizing) -> float:
    """Return the appends of all entries at the peak.

    An entry appends at most once in its share of the log's budget, with
    everything that waits by then.
    """
    wanted = end_entries_per_second(sizing) + sizing.target.jobs_per_second
    wanted += sizing.entries / sizing.plan.presence_s
    return min(float(sizing.target.log_appends_per_second), wanted)


def _call_bytes(sizing: Sizing, started: int) -> float:
    """Return the bytes of a call that renews or starts tasks."""
    tasks = sizing.target.tasks_per_worker + 1 + started
    if sizing.plan.lean_views:
        tasks = float(started)
    return sizing.line("bytes on the wire of a renewal, by tasks", tasks)
