"""One row for every line of the target."""

from __future__ import annotations

from collections.abc import Callable
from enum import StrEnum
from typing import NamedTuple

from magnoliapitch.capacity.role import BYTES_PER_MB
from magnoliapitch.capacity.role import MICROSECONDS_PER_SECOND
from magnoliapitch.capacity.role import Sizing
from magnoliapitch.capacity.roles import appends_per_second
from magnoliapitch.capacity.roles import end_entries_per_second
from magnoliapitch.capacity.roles import owner_of_racks
from magnoliapitch.capacity.roles import snapshot_bytes
from magnoliapitch.capacity.total_load import total
from magnoliapitch.membership.table import SUSPECT_AFTER_MS
from magnoliapitch.ownership.claimer import TAKEOVER_AFTER_MS


class Basis(StrEnum):
    """Where a figure comes from."""

    MEASURED = "measured"
    EXTRAPOLATED = "extrapolated"
    ARGUED = "argued"


class Line(NamedTuple):
    """One line of the target.

    :param figure: what it comes to, in words.
    :param headroom: limit divided by the figure, or words.
    """

    name: str
    mechanism: str
    figure: str
    headroom: str
    basis: Basis


LineOf = Callable[[Sizing], Line]

lines: list[LineOf] = []


def line(function: LineOf) -> LineOf:
    """Register a line of the target, in the order of the page."""
    lines.append(function)
    return function


def ratio(limit: float, found: float) -> str:
    """Return the headroom, and say so plainly when there is none."""
    factor = limit / found
    return f"{factor:.1f}x" if factor >= 1 else f"passed ({factor:.2f}x)"


@line
def workers(sizing: Sizing) -> Line:
    """Return the cost of owning the workers."""
    load = owner_of_racks(sizing)
    limit = sizing.target.control_bytes_per_second
    return Line(
        "18,000 workers",
        "racks shared out within a zone; one call renews all of a worker",
        f"{sizing.workers_per_entry:.0f} workers an entry, "
        f"{load.bytes_per_second / 1000:.1f} KB/s",
        ratio(limit, load.bytes_per_second),
        Basis.EXTRAPOLATED,
    )


@line
def accelerators(sizing: Sizing) -> Line:
    """Return the cost of a third resource."""
    per_worker = sizing.target.accelerators / sizing.target.workers
    return Line(
        "20,000 accelerators",
        "a third part of every amount; workers with some are kept for "
        "tasks that need them",
        f"{per_worker:.1f} a worker, no messages of their own",
        "not limited",
        Basis.ARGUED,
    )


@line
def jobs(sizing: Sizing) -> Line:
    """Return the appends that submissions and ends need."""
    wanted = sizing.target.jobs_per_second + end_entries_per_second(sizing)
    appends = appends_per_second(sizing)
    return Line(
        "250,000 jobs a day",
        "group commit under a budget of appends",
        f"{sizing.target.jobs_per_second:.1f} submissions a second; "
        f"{wanted:,.0f} entries at the peak in {appends:.0f} appends a second",
        f"{wanted / appends:.0f} of at most 500 entries an append",
        Basis.ARGUED,
    )


@line
def starts(sizing: Sizing) -> Line:
    """Return the share of the starts of one entry."""
    per_entry = sizing.target.starts_per_second / sizing.entries
    one_core = MICROSECONDS_PER_SECOND / sizing.cost(
        "processor time of a start"
    )
    return Line(
        "2,000 starts a second",
        "each owner decides alone over its racks; no append before a start",
        f"{per_entry:.0f} an entry; one core decides {one_core:,.0f}",
        ratio(one_core, per_entry),
        Basis.MEASURED,
    )


@line
def running(sizing: Sizing) -> Line:
    """Return the state of running tasks."""
    memory = sizing.cost("memory of an open job", sizing.target.running_tasks)
    return Line(
        "110,000 running tasks, 22,000 services",
        "leases on the workers; the log holds jobs, not placements",
        f"{memory / BYTES_PER_MB:.0f} MB on every entry at a job a task",
        ratio(sizing.target.control_memory_mb, memory / BYTES_PER_MB),
        Basis.EXTRAPOLATED,
    )


@line
def teams(sizing: Sizing) -> Line:
    """Return the state of the catalogue."""
    memory = sizing.cost(
        "memory of a catalogue entry", sizing.catalogue_entries
    )
    return Line(
        "140 teams with quotas",
        "quotas in the catalogue, shares by dominant resource",
        f"{sizing.catalogue_entries:,} entries, "
        f"{memory / BYTES_PER_MB:.1f} MB",
        ratio(sizing.target.control_memory_mb, memory / BYTES_PER_MB),
        Basis.EXTRAPOLATED,
    )


@line
def urgent(sizing: Sizing) -> Line:
    """Point to the measured waits."""
    return Line(
        f"urgent start within {sizing.target.urgent_start_s} s",
        "classes in order, headroom on some workers, bounded evictions",
        "p99 wait in measurements.md",
        "see there",
        Basis.MEASURED,
    )


@line
def zones(sizing: Sizing) -> Line:
    """Return the links of one entry."""
    links = sizing.plan.entries_per_zone - 1 + sizing.plan.remote_links
    beats = sizing.cost(
        "bytes on the wire of heartbeats", 2 * links / sizing.plan.heartbeat_s
    )
    return Line(
        "7 regions, 22 zones",
        "full mesh in a zone, a ring and two hashed links between zones",
        f"{links} links an entry at any number of zones, "
        f"{beats / 1000:.1f} KB/s",
        ratio(sizing.target.control_bytes_per_second, beats),
        Basis.EXTRAPOLATED,
    )


@line
def changes(sizing: Sizing) -> Line:
    """Return the longest way of a change."""
    commit_s = sizing.entries / sizing.target.log_appends_per_second
    relay_s = 2 * sizing.plan.heartbeat_s
    seconds = commit_s + relay_s
    return Line(
        "10,000 changes a day, in force within 7 s",
        "group commit, long poll, relay by heartbeats when cut off",
        f"{commit_s:.1f} s for the commit at most, "
        f"{relay_s:.0f} s through a peer",
        ratio(sizing.target.change_in_force_s, seconds),
        Basis.ARGUED,
    )


@line
def processor(sizing: Sizing) -> Line:
    """Return the processor time of all roles."""
    load = total(sizing)
    limit = sizing.target.control_core_share
    return Line(
        "1.2% of a core",
        "see the roles",
        f"{load.core_share:.2%} at the peak",
        ratio(limit, load.core_share),
        Basis.EXTRAPOLATED,
    )


@line
def memory(sizing: Sizing) -> Line:
    """Return the memory of all roles."""
    load = total(sizing)
    return Line(
        "256 MB",
        "see the roles",
        f"{load.memory_mb:.0f} MB with the idle process",
        ratio(sizing.target.control_memory_mb, load.memory_mb),
        Basis.EXTRAPOLATED,
    )


@line
def traffic(sizing: Sizing) -> Line:
    """Return the traffic of all roles."""
    load = total(sizing)
    limit = sizing.target.control_bytes_per_second
    return Line(
        "13 KB/s",
        "see the roles",
        f"{load.bytes_per_second / 1000:,.0f} KB/s at the peak",
        ratio(limit, load.bytes_per_second),
        Basis.EXTRAPOLATED,
    )


@line
def failures(sizing: Sizing) -> Line:
    """Return the time to take over from a failed entry."""
    seconds = (SUSPECT_AFTER_MS + TAKEOVER_AFTER_MS) / 1000
    seconds += sizing.plan.lease_ttl_s
    return Line(
        "260 failures a day",
        "suspicion, claim by log order, one lease of waiting",
        f"at most about {seconds:.0f} s until the first placement of a new "
        "owner",
        "no limit is stated",
        Basis.ARGUED,
    )


@line
def restarts(sizing: Sizing) -> Line:
    """Return the cost of a cold start."""
    size = snapshot_bytes(sizing)
    open_jobs = sizing.target.running_tasks / sizing.plan.streams
    load_us = sizing.cost(
        "processor time of loading a snapshot, by jobs", open_jobs
    )
    return Line(
        "4,900 restarts a day",
        "a snapshot and the records after it",
        f"a snapshot of {size / BYTES_PER_MB:.1f} MB, "
        f"{load_us / MICROSECONDS_PER_SECOND:.1f} s to load",
        "no limit is stated",
        Basis.EXTRAPOLATED,
    )


@line
def racks(sizing: Sizing) -> Line:
    """Say what a failed rack or zone leaves working."""
    return Line(
        "a rack weekly, a zone yearly, regions apart for minutes",
        "a rack is the unit of ownership and of spread; a cut zone goes on",
        f"one of {sizing.target.zones} zones, with what it owns",
        "see zone cut",
        Basis.ARGUED,
    )
