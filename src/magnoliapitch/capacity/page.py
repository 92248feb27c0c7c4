"""Renders the tables of the capacity page."""

from __future__ import annotations

import re

from collections.abc import Callable

from magnoliapitch.capacity.exceptions import MeasurementError
from magnoliapitch.capacity.measurement import Measurement
from magnoliapitch.capacity.plan import Plan
from magnoliapitch.capacity.role import Load
from magnoliapitch.capacity.role import Sizing
from magnoliapitch.capacity.roles import roles_by_name
from magnoliapitch.capacity.target import Target


Rows = list[tuple[str, ...]]
Render = Callable[[Measurement], Rows]

STREAMS_BY_ZONE = Target().zones
ENTRIES_PER_ZONE = (3, 5, 7, 9, 12)
SECTION = re.compile(
    r"(<!-- table: (?P<name>[a-z-]+) -->\n).*?(<!-- end -->)", re.DOTALL
)

renders_by_table: dict[str, Render] = {}


def table(name: str) -> Callable[[Render], Render]:
    """Register a function that returns a table's rows, header first."""

    def register(render: Render) -> Render:
        renders_by_table[name] = render
        return render

    return register


def refresh_page(text: str, measurement: Measurement) -> str:
    """Return the page with its tables made anew from a measurement.

    :raises MeasurementError: if the page names an unknown table.
    """

    def replace(match: re.Match[str]) -> str:
        render = renders_by_table.get(match["name"])
        if render is None:
            raise MeasurementError(f"no table {match['name']!r}")
        return match[1] + _markdown(render(measurement)) + match[3]

    return SECTION.sub(replace, text)


@table("slopes")
def slopes(measurement: Measurement) -> Rows:
    """List the measured slopes."""
    rows: Rows = [("Slope", "Unit", "Per item", "Fixed", "Residual")]
    rows += [
        (
            slope.name,
            slope.unit,
            f"{slope.per_item:,.1f}",
            f"{slope.fixed:,.0f}",
            f"{slope.residual:.1%}",
        )
        for slope in measurement.slopes
    ]
    return rows


@table("roles-one-stream")
def roles_one_stream(measurement: Measurement) -> Rows:
    """List the roles with every record in one stream."""
    return _roles(Sizing(Target(), Plan(), measurement))


@table("roles-zone-streams")
def roles_zone_streams(measurement: Measurement) -> Rows:
    """List the roles with the task records of each zone apart."""
    plan = Plan(streams=STREAMS_BY_ZONE)
    return _roles(Sizing(Target(), plan, measurement))


@table("entries")
def entries(measurement: Measurement) -> Rows:
    """Compare numbers of entry instances in a zone."""
    rows: Rows = [
        (
            "Entries a zone",
            "Entries",
            "Workers an entry",
            "Core",
            "Memory",
            "Traffic",
            "Within all limits",
        )
    ]
    for count in ENTRIES_PER_ZONE:
        plan = Plan(entries_per_zone=count, streams=STREAMS_BY_ZONE)
        sizing = Sizing(Target(), plan, measurement)
        load = total(sizing)
        rows.append(
            (
                str(count),
                str(sizing.entries),
                f"{sizing.workers_per_entry:.0f}",
                f"{load.core_share:.2%}",
                f"{load.memory_mb:.0f} MB",
                f"{load.bytes_per_second / 1000:.1f} KB/s",
                "yes" if _is_within(load) else "no",
            )
        )
    return rows


@table("idle")
def idle(measurement: Measurement) -> Rows:
    """Compare an idle entry process with the limits."""
    rows: Rows = [("Idle entry process", "Measured", "Limit", "Headroom")]
    found = measurement.idle
    if found is None:
        return rows
    target = Target()
    rows += [
        (
            "processor",
            f"{found.core_share:.2%} of a core",
            f"{target.control_core_share:.1%}",
            _headroom(found.core_share, target.control_core_share),
        ),
        (
            "memory",
            f"{found.memory_mb:.0f} MB",
            f"{target.control_memory_mb} MB",
            _headroom(found.memory_mb, target.control_memory_mb),
        ),
        (
            "traffic",
            f"{found.bytes_per_second / 1000:.1f} KB/s",
            f"{target.control_bytes_per_second / 1000:.0f} KB/s",
            _headroom(found.bytes_per_second, target.control_bytes_per_second),
        ),
    ]
    return rows


def total(sizing: Sizing) -> Load:
    """Return the cost of all roles of one entry together.

    The memory of an idle process counts once, where it was measured.
    """
    loads = [role.load(sizing) for role in roles_by_name.values()]
    found = sizing.measurement.idle
    base_mb = found.memory_mb if found else 0.0
    return Load(
        sum(load.core_share for load in loads),
        base_mb + sum(load.memory_mb for load in loads),
        sum(load.bytes_per_second for load in loads),
        sum(load.messages_per_second for load in loads),
    )


def _roles(sizing: Sizing) -> Rows:
    rows: Rows = [
        (
            "Role",
            "State",
            "Messages",
            "Mechanism",
            "Messages/s",
            "Core",
            "Memory",
            "Traffic",
        )
    ]
    for role in roles_by_name.values():
        load = role.load(sizing)
        rows.append(
            (
                role.name,
                role.state,
                role.messages,
                role.mechanism,
                *_cells(load),
            )
        )
    rows.append(
        ("all, with the idle process", "", "", "", *_cells(total(sizing)))
    )
    return rows


def _cells(load: Load) -> tuple[str, ...]:
    return (
        f"{load.messages_per_second:.1f}",
        f"{load.core_share:.2%}",
        f"{load.memory_mb:.1f} MB",
        f"{load.bytes_per_second / 1000:.1f} KB/s",
    )


def _is_within(load: Load) -> bool:
    target = Target()
    return (
        load.core_share <= target.control_core_share
        and load.memory_mb <= target.control_memory_mb
        and load.bytes_per_second <= target.control_bytes_per_second
    )


def _headroom(found: float, limit: float) -> str:
    return f"{limit / found:.1f}x" if found else "not measurable"


def _markdown(rows: Rows) -> str:
    header, *body = rows
    lines = [_line(header), _line(tuple("---" for _ in header))]
    lines += [_line(row) for row in body]
    return "\n".join(lines) + "\n"


def _line(cells: tuple[str, ...]) -> str:
    return "| " + " | ".join(cells) + " |"
