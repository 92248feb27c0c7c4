"""Renders the Markdown tables of the capacity page."""

from __future__ import annotations

import re

from collections.abc import Callable

from magnoliapitch.capacity.exceptions import MeasurementError
from magnoliapitch.capacity.measurement import Measurement
from magnoliapitch.capacity.plan import Plan
from magnoliapitch.capacity.requirement_rows import row_functions
from magnoliapitch.capacity.role import Load
from magnoliapitch.capacity.role import Sizing
from magnoliapitch.capacity.roles import roles_by_name
from magnoliapitch.capacity.target import Target
from magnoliapitch.capacity.total_load import total_load


Rows = list[tuple[str, ...]]
TableFunction = Callable[[Measurement], Rows]

COMPARED_ENTRIES_PER_ZONE = (5, 7, 9, 12, 16)
TABLE_SECTION = re.compile(
    r"(<!-- table: (?P<name>[a-z-]+) -->\n).*?(<!-- end -->)", re.DOTALL
)

table_functions_by_name: dict[str, TableFunction] = {}


def table(name: str) -> Callable[[TableFunction], TableFunction]:
    """Register a function that returns the rows of one table, header first.

    :param name: name of the table in the page's ``<!-- table: ... -->``
        comment.
    """

    def register(table_function: TableFunction) -> TableFunction:
        table_functions_by_name[name] = table_function
        return table_function

    return register


def refresh_page(text: str, measurement: Measurement) -> str:
    """Return the page with its tables regenerated from a measurement.

    :param text: Markdown text of the page.
    :raises MeasurementError: if the page names an unknown table, or a
        table needs a slope that the measurement lacks.
    """

    def replace(match: re.Match[str]) -> str:
        table_function = table_functions_by_name.get(match["name"])
        if table_function is None:
            raise MeasurementError(
                f"no table {match['name']!r}; the known tables are "
                f"{', '.join(sorted(table_functions_by_name))}"
            )
        return (
            match[1] + _markdown_table(table_function(measurement)) + match[3]
        )

    return TABLE_SECTION.sub(replace, text)


@table("slopes")
def slopes(measurement: Measurement) -> Rows:
    """Return one row for each measured slope."""
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
def requirements(measurement: Measurement) -> Rows:
    """Return one row for each requirement, with the layout as built."""
    sizing = Sizing(Target(), Plan.as_built(), measurement)
    rows: Rows = [("Target", "Mechanism", "Figure", "Headroom", "Basis")]
    return rows + [
        tuple(row_function(sizing)) for row_function in row_functions
    ]


@table("roles-as-built")
def roles_as_built(measurement: Measurement) -> Rows:
    """Return the cost of each role with the layout as built."""
    return _role_rows(Sizing(Target(), Plan.as_built(), measurement))


@table("roles-with-changes")
def roles_with_changes(measurement: Measurement) -> Rows:
    """Return the cost of each role with the planned changes."""
    return _role_rows(Sizing(Target(), Plan.with_changes(), measurement))


@table("entries-as-built")
def entries_as_built(measurement: Measurement) -> Rows:
    """Compare numbers of entry instances per zone, as built."""
    return _entry_count_rows(
        [Plan.as_built(n) for n in COMPARED_ENTRIES_PER_ZONE], measurement
    )


@table("entries-with-changes")
def entries_with_changes(measurement: Measurement) -> Rows:
    """Compare numbers of entry instances per zone, with the changes."""
    plans = [Plan.with_changes(n) for n in COMPARED_ENTRIES_PER_ZONE]
    return _entry_count_rows(plans, measurement)


@table("idle")
def idle(measurement: Measurement) -> Rows:
    """Compare an idle entry process with the resource limits."""
    rows: Rows = [("Idle entry process", "Measured", "Limit", "Headroom")]
    idle_cost = measurement.idle
    if idle_cost is None:
        return rows
    target = Target()
    rows += [
        (
            "processor",
            f"{idle_cost.core_share:.2%} of a core",
            f"{target.control_core_share:.1%}",
            _format_headroom(idle_cost.core_share, target.control_core_share),
        ),
        (
            "memory",
            f"{idle_cost.memory_mb:.0f} MB",
            f"{target.control_memory_mb} MB",
            _format_headroom(idle_cost.memory_mb, target.control_memory_mb),
        ),
        (
            "traffic",
            f"{idle_cost.bytes_per_second / 1000:.1f} KB/s",
            f"{target.control_bytes_per_second / 1000:.0f} KB/s",
            _format_headroom(
                idle_cost.bytes_per_second, target.control_bytes_per_second
            ),
        ),
    ]
    return rows


def _entry_count_rows(plans: list[Plan], measurement: Measurement) -> Rows:
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
        load = total_load(sizing)
        rows.append(
            (
                str(plan.entries_per_zone),
                str(sizing.entries),
                f"{sizing.workers_per_entry:.0f}",
                f"{load.core_share:.2%}",
                f"{load.memory_mb:.0f} MB",
                f"{load.bytes_per_second / 1000:.1f} KB/s",
                "yes" if _is_within_limits(load) else "no",
            )
        )
    return rows


def _role_rows(sizing: Sizing) -> Rows:
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
                *_load_cells(load),
            )
        )
    rows.append(
        (
            "all, with the idle process",
            "",
            "",
            "",
            *_load_cells(total_load(sizing)),
        )
    )
    return rows


def _load_cells(load: Load) -> tuple[str, ...]:
    return (
        f"{load.messages_per_second:.1f}",
        f"{load.core_share:.2%}",
        f"{load.memory_mb:.1f} MB",
        f"{load.bytes_per_second / 1000:.1f} KB/s",
    )


def _is_within_limits(load: Load) -> bool:
    target = Target()
    return (
        load.core_share <= target.control_core_share
        and load.memory_mb <= target.control_memory_mb
        and load.bytes_per_second <= target.control_bytes_per_second
    )


def _format_headroom(measured: float, limit: float) -> str:
    return f"{limit / measured:.1f}x" if measured else "not measurable"


def _markdown_table(rows: Rows) -> str:
    header, *body = rows
    lines = [
        _markdown_row(header),
        _markdown_row(tuple("---" for _ in header)),
    ]
    lines += [_markdown_row(row) for row in body]
    return "\n".join(lines) + "\n"


def _markdown_row(cells: tuple[str, ...]) -> str:
    return "| " + " | ".join(cells) + " |"
