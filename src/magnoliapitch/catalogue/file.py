"""Reads catalogue entries from TOML files."""

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
    """Return the entries of the ``[[catalogue]]`` tables of a file.

    :raises InvalidEntryError: with one line a problem: file, line, entry,
        field, what was found and what is allowed.
    """
    try:
        file = read_toml(path)
    except TomlFileError as error:
        raise InvalidEntryError((str(error),)) from error
    tables = file.value.get(TABLE)
    if not isinstance(tables, list) or not tables:
        raise InvalidEntryError((f"{path}: no [[{TABLE}]] table found",))
    problems: list[str] = []
    entries: list[CatalogueEntry] = []
    for number, table in enumerate(tables):
        try:
            entries.append(parse_entry(table))
        except InvalidEntryError as error:
            problems += _located(file, number, error)
    problems += _repeated_names(file, entries)
    if problems:
        raise InvalidEntryError(tuple(problems))
    return tuple(entries)


def _located(
    file: TomlFile, number: int, error: InvalidEntryError
) -> list[str]:
    lines = []
    for problem in error.problems:
        location = problem.partition(":")[0]
        parent, _, key = location.rpartition(".")
        table = f"{TABLE}.{parent}" if parent else TABLE
        lines.append(f"{file.locate(table, key, number)}: {problem}")
    return lines


def _repeated_names(
    file: TomlFile, entries: list[CatalogueEntry]
) -> list[str]:
    names = [entry.name for entry in entries]
    return [
        f"{file.path}: name: found {name!r} twice; names must differ"
        for name in sorted({name for name in names if names.count(name) > 1})
    ]
