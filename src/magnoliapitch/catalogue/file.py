"""Catalogue entries in TOML files."""

from __future__ import annotations

from typing import TYPE_CHECKING

from magnoliapitch.catalogue.entry import parse_entry
from magnoliapitch.catalogue.exceptions import InvalidEntryError
from magnoliapitch.toml_file import TomlFileError
from magnoliapitch.toml_file import read_toml


if TYPE_CHECKING:
    from pathlib import Path

    from magnoliapitch.catalogue.entry import CatalogueEntry
    from magnoliapitch.toml_file import TomlFile


TABLE = "catalogue"


def read_entries(path: Path) -> tuple[CatalogueEntry, ...]:
    """Read the entries in the ``[[catalogue]]`` tables of a TOML file.

    :raises InvalidEntryError: if the file cannot be read or an entry is
        invalid; with one line for each problem, which names the file,
        line, entry and field, what was found and what is allowed.
    """
    try:
        file = read_toml(path)
    except TomlFileError as error:
        raise InvalidEntryError((str(error),)) from error
    tables = file.value.get(TABLE)
    if not isinstance(tables, list) or not tables:
        raise InvalidEntryError(
            (f"{path}: found no [[{TABLE}]] table; at least one is needed",)
        )
    problems: list[str] = []
    entries: list[CatalogueEntry] = []
    for table_index, table in enumerate(tables):
        try:
            entries.append(parse_entry(table))
        except InvalidEntryError as error:
            problems += _with_positions(file, table_index, error)
    problems += _duplicate_name_problems(file, entries)
    if problems:
        raise InvalidEntryError(tuple(problems))
    return tuple(entries)


def _with_positions(
    file: TomlFile, table_index: int, error: InvalidEntryError
) -> list[str]:
    """Return the problems of a table, each after its file and line.

    :param table_index: index of the ``[[catalogue]]`` table in the file.
    """
    lines = []
    for problem in error.problems:
        location = problem.partition(":")[0]
        parent, _, key = location.rpartition(".")
        table = f"{TABLE}.{parent}" if parent else TABLE
        lines.append(f"{file.locate(table, key, table_index)}: {problem}")
    return lines


def _duplicate_name_problems(
    file: TomlFile, entries: list[CatalogueEntry]
) -> list[str]:
    names = [entry.name for entry in entries]
    return [
        f"{file.path}: name: found {name!r} more than once; names must be "
        "unique"
        for name in sorted({name for name in names if names.count(name) > 1})
    ]
