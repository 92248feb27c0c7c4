"""Renders the tables of the capacity page."""

from __future__ import annotations

import re

from collections.abc import Callable

from magnoliapitch.capacity.exceptions import MeasurementError
from magnoliapitch.capacity.requirement_rows import lines
from magnoliapitch.capacity.measurement import Measurement
from magnoliapitch.capacity.plan import Plan
from magnoliapitch.capacity.role import Load
from magnoliapitch.capacity.role import Sizing
from magnoliapitch.capacity.roles import roles_by_name
from magnoliapitch.capacity.target import Target
from magnoliapitch.capacity.total_load import total


Rows = list[tuple[str, ...]]
Render = Callable[[Measurement], Rows]

ENTRIES_PER_ZONE = (5, 7, 9, 12, 16)
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


@table("lines")
def target_lines(measurement: Measurement) -> Rows:
    """Go through the target line by line, as built."""
    sizing = Sizing(Target(), Plan.as_built(), measurement)
    rows: Rows = [("Target", "Mechanism", "Figure", "Headroom", "Basis")]
    return rows + [tuple(make(sizing)) for make in lines]


@table("roles-as-built")
def roles_as_built(measurement: Measurement) -> Rows:
    """List the roles with the intervals of today's code."""
    return _roles(Sizing(Target(), Plan.as_built(), measurement))


@table("roles-with-changes")
def roles_with_changes(measurement: Measurement) -> Rows:
    """List the roles with the changes that the page names."""
    return _roles(Sizing(Target(), Plan.with_changes(), measurement))


@table("entries-as-built")
def entries_as_built(measurement: Measurement) -> Rows:
    """Compare numbers of entry instances in a zone, as built."""
    return _entries([Plan.as_built(n) for n in ENTRIES_PER_ZONE], measurement)


@table("entries-with-changes")
def entries_with_changes(measurement: Measurement) -> Rows:
    """Compare numbers of entry instances in a zone, with the changes."""
    plans = [Plan.with_changes(n) for n in ENTRIES_PER_ZONE]
    return _entries(plans, measurement)


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


def _entries(plans: list[Plan], measurement: Measurement) -> Rows:
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
    for plan in plans:
        sizing = Sizing(Target(), plan, measurement)
        load = total(sizing)
        rows.append(
            (
                str(plan.entries_per_zone),
                str(sizing.entries),
                f"{sizing.workers_per_entry:.0f}",
                f"{load.core_share:.2%}",
                f"{load.memory_mb:.0f} MB",
                f"{load.bytes_per_second / 1000:.1f} KB/s",
                "yes" if _is_within(load) else "no",
            )
        )
    return rows


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
