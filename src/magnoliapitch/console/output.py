"""Prints the results of commands."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

import orjson


if TYPE_CHECKING:
    from collections.abc import Mapping
    from collections.abc import Sequence


def print_value(value: Any, as_json: bool) -> None:
    """Print a value as JSON, or a dictionary as one line for each field."""
    if as_json or not isinstance(value, dict):
        print_json(value)
        return
    for key, field in value.items():
        print(f"{key}: {_format_cell(field)}")


def print_json(value: Any) -> None:
    """Print a value as indented JSON."""
    print(orjson.dumps(value, option=orjson.OPT_INDENT_2).decode())


def print_table(
    rows: Sequence[Mapping[str, object]], columns: Sequence[str]
) -> None:
    """Print rows below a header, in aligned columns.

    :param columns: keys to print, in order; they are also the header.
    """
    cells = [list(columns)]
    cells += [
        [_format_cell(row.get(key, "")) for key in columns] for row in rows
    ]
    widths = [max(map(len, column)) for column in zip(*cells, strict=True)]
    for line in cells:
        padded = (
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        )
        print("  ".join(padded).rstrip())


def print_rows(
    rows: Sequence[Mapping[str, object]],
    columns: Sequence[str],
    as_json: bool,
) -> None:
    """Print rows as JSON, or some of their columns as a table."""
    if as_json:
        print_json(rows)
    else:
        print_table(rows, columns)


def _format_cell(value: object) -> str:
    if isinstance(value, (dict, list)):
        return orjson.dumps(value).decode()
    if isinstance(value, bool):
        return str(value).lower()
    return str(value)
