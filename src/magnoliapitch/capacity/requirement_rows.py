"""Table rows that compare each requirement with its estimated cost."""

from __future__ import annotations

from collections.abc import Callable
from enum import StrEnum
from typing import NamedTuple

from magnoliapitch.capacity.role import BYTES_PER_MIB
from magnoliapitch.capacity.role import US_PER_S
from magnoliapitch.capacity.role import Sizing
from magnoliapitch.capacity.roles import appends_per_second
from magnoliapitch.capacity.roles import owner_of_racks
from magnoliapitch.capacity.roles import snapshot_bytes
from magnoliapitch.capacity.roles import task_end_entries_per_second
from magnoliapitch.capacity.total_load import total_load
from magnoliapitch.membership.table import SUSPECT_AFTER_MS
from magnoliapitch.ownership.claimer import TAKEOVER_AFTER_MS


class Basis(StrEnum):
    """How a figure was obtained.

    MEASURED: as measured. EXTRAPOLATED: computed for the target size from
    costs measured at smaller sizes. ARGUED: derived from the design.
    """

    MEASURED = "measured"
    EXTRAPOLATED = "extrapolated"
    ARGUED = "argued"


class RequirementRow(NamedTuple):
    """One row of the requirements table, in the order of its columns.

    :param name: requirement, as stated in the target.
    :param mechanism: part of the design that meets it.
    :param figure: estimated cost or time, as text.
    :param headroom: limit divided by the figure, or an explanation.
    :param basis: how the figure was obtained.
    """

    name: str
    mechanism: str
    figure: str
    headroom: str
    basis: Basis


RowFunction = Callable[[Sizing], RequirementRow]

row_functions: list[RowFunction] = []


def requirement_row(function: RowFunction) -> RowFunction:
    """Register a function that makes a row; the order is that of the page."""
    row_functions.append(function)
    return function


def format_headroom(limit: float, figure: float) -> str:
    """Return the limit divided by a figure, as text.

    A limit that is exceeded, with a ratio below 1, is marked as passed.
    """
    factor = limit / figure
    return f"{factor:.1f}x" if factor >= 1 else f"passed ({factor:.2f}x)"


@requirement_row
def workers(sizing: Sizing) -> RequirementRow:
    """Return the row for the number of workers, limited by traffic."""
    load = owner_of_racks(sizing)
    limit = sizing.target.control_bytes_per_second
    return RequirementRow(
        "18,000 workers",
        "racks shared out within a zone; one call renews all of a worker",
        f"{sizing.workers_per_entry:.0f} workers an entry, "
        f"{load.bytes_per_second / 1000:.1f} KB/s",
        format_headroom(limit, load.bytes_per_second),
        Basis.EXTRAPOLATED,
    )


@requirement_row
def accelerators(sizing: Sizing) -> RequirementRow:
    """Return the row for accelerators, which add no messages."""
    per_worker = sizing.target.accelerators / sizing.target.workers
    return RequirementRow(
        "20,000 accelerators",
        "a third part of every amount; workers with some are kept for "
        "tasks that need them",
        f"{per_worker:.1f} a worker, no messages of their own",
        "not limited",
        Basis.ARGUED,
    )


@requirement_row
def jobs(sizing: Sizing) -> RequirementRow:
    """Return the row for job submissions, limited by log appends."""
    entry_rate = sizing.target.jobs_per_second + task_end_entries_per_second(
        sizing
    )
    append_rate = appends_per_second(sizing)
    return RequirementRow(
        "250,000 jobs a day",
        "group commit under a budget of appends",
        f"{sizing.target.jobs_per_second:.1f} submissions a second; "
        f"{entry_rate:,.0f} entries at the peak in "
        f"{append_rate:.0f} appends a second",
        f"{entry_rate / append_rate:.0f} of at most 500 entries an append",
        Basis.ARGUED,
    )


@requirement_row
def starts(sizing: Sizing) -> RequirementRow:
    """Return the row for task starts, limited by one core's decisions."""
    starts_per_entry = sizing.target.starts_per_second / sizing.entries
    starts_per_core = US_PER_S / sizing.marginal_cost(
        "processor time of a start"
    )
    return RequirementRow(
        "2,000 starts a second",
        "each owner decides alone over its racks; no append before a start",
        f"{starts_per_entry:.0f} an entry; "
        f"one core decides {starts_per_core:,.0f}",
        format_headroom(starts_per_core, starts_per_entry),
        Basis.MEASURED,
    )


@requirement_row
def running(sizing: Sizing) -> RequirementRow:
    """Return the row for running tasks, limited by memory."""
    memory_bytes = sizing.marginal_cost(
        "memory of an open job", sizing.target.running_tasks
    )
    return RequirementRow(
        "110,000 running tasks, 22,000 services",
        "leases on the workers; the log holds jobs, not placements",
        f"{memory_bytes / BYTES_PER_MIB:.0f} MB on every entry "
        "at a job a task",
        format_headroom(
            sizing.target.control_memory_mb, memory_bytes / BYTES_PER_MIB
        ),
        Basis.EXTRAPOLATED,
    )


@requirement_row
def teams(sizing: Sizing) -> RequirementRow:
    """Return the row for the teams' catalogue, limited by memory."""
    memory_bytes = sizing.marginal_cost(
        "memory of a catalogue entry", sizing.catalogue_entries
    )
    return RequirementRow(
        "140 teams with quotas",
        "quotas in the catalogue, shares by dominant resource",
        f"{sizing.catalogue_entries:,} entries, "
        f"{memory_bytes / BYTES_PER_MIB:.1f} MB",
        format_headroom(
            sizing.target.control_memory_mb, memory_bytes / BYTES_PER_MIB
        ),
        Basis.EXTRAPOLATED,
    )


@requirement_row
def urgent_starts(sizing: Sizing) -> RequirementRow:
    """Return the row for urgent starts, whose waits are on another page."""
    return RequirementRow(
        f"urgent start within {sizing.target.urgent_start_max_s} s",
        "classes in order, headroom on some workers, bounded evictions",
        "p99 wait in measurements.md",
        "see there",
        Basis.MEASURED,
    )


@requirement_row
def zones(sizing: Sizing) -> RequirementRow:
    """Return the row for zones, limited by heartbeat traffic."""
    links = sizing.plan.entries_per_zone - 1 + sizing.plan.remote_links
    heartbeat_bytes = sizing.marginal_cost(
        "bytes on the wire of heartbeats",
        2 * links / sizing.plan.heartbeat_interval_s,
    )
    return RequirementRow(
        "7 regions, 22 zones",
        "full mesh in a zone, a ring and two hashed links between zones",
        f"{links} links an entry at any number of zones, "
        f"{heartbeat_bytes / 1000:.1f} KB/s",
        format_headroom(
            sizing.target.control_bytes_per_second, heartbeat_bytes
        ),
        Basis.EXTRAPOLATED,
    )


@requirement_row
def changes(sizing: Sizing) -> RequirementRow:
    """Return the row for configuration changes, with the longest delay."""
    commit_s = sizing.entries / sizing.target.log_appends_per_second
    relay_s = 2 * sizing.plan.heartbeat_interval_s
    seconds = commit_s + relay_s
    return RequirementRow(
        "10,000 changes a day, in force within 7 s",
        "group commit, long poll, relay by heartbeats when cut off",
        f"{commit_s:.1f} s for the commit at most, "
        f"{relay_s:.0f} s through a peer",
        format_headroom(sizing.target.change_in_force_max_s, seconds),
        Basis.ARGUED,
    )


@requirement_row
def processor(sizing: Sizing) -> RequirementRow:
    """Return the row for the processor use of all roles."""
    load = total_load(sizing)
    limit = sizing.target.control_core_share
    return RequirementRow(
        "1.2% of a core",
        "see the roles",
        f"{load.core_share:.2%} at the peak",
        format_headroom(limit, load.core_share),
        Basis.EXTRAPOLATED,
    )


@requirement_row
def memory(sizing: Sizing) -> RequirementRow:
    """Return the row for the memory of all roles."""
    load = total_load(sizing)
    return RequirementRow(
        "256 MB",
        "see the roles",
        f"{load.memory_mb:.0f} MB with the idle process",
        format_headroom(sizing.target.control_memory_mb, load.memory_mb),
        Basis.EXTRAPOLATED,
    )


@requirement_row
def traffic(sizing: Sizing) -> RequirementRow:
    """Return the row for the network traffic of all roles."""
    load = total_load(sizing)
    limit = sizing.target.control_bytes_per_second
    return RequirementRow(
        "13 KB/s",
        "see the roles",
        f"{load.bytes_per_second / 1000:,.0f} KB/s at the peak",
        format_headroom(limit, load.bytes_per_second),
        Basis.EXTRAPOLATED,
    )


@requirement_row
def failures(sizing: Sizing) -> RequirementRow:
    """Return the row for failures, with the time to replace an owner."""
    seconds = (SUSPECT_AFTER_MS + TAKEOVER_AFTER_MS) / 1000
    seconds += sizing.plan.lease_ttl_s
    return RequirementRow(
        "260 failures a day",
        "suspicion, claim by log order, one lease of waiting",
        f"at most about {seconds:.0f} s until the first placement of a new "
        "owner",
        "no limit is stated",
        Basis.ARGUED,
    )


@requirement_row
def restarts(sizing: Sizing) -> RequirementRow:
    """Return the row for restarts, with the time to load a snapshot."""
    size = snapshot_bytes(sizing)
    open_jobs = sizing.target.running_tasks / sizing.plan.log_streams
    load_us = sizing.marginal_cost(
        "processor time of loading a snapshot, by jobs", open_jobs
    )
    return RequirementRow(
        "4,900 restarts a day",
        "a snapshot and the records after it",
        f"a snapshot of {size / BYTES_PER_MIB:.1f} MB, "
        f"{load_us / US_PER_S:.1f} s to load",
        "no limit is stated",
        Basis.EXTRAPOLATED,
    )


@requirement_row
def racks(sizing: Sizing) -> RequirementRow:
    """Return the row for failed racks, failed zones and partitions."""
    return RequirementRow(
        "a rack weekly, a zone yearly, regions apart for minutes",
        "a rack is the unit of ownership and of spread; a cut zone goes on",
        f"one of {sizing.target.zones} zones, with what it owns",
        "see zone cut",
        Basis.ARGUED,
    )
