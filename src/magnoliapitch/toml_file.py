"""Reads TOML files and locates keys in them for error messages."""

from __future__ import annotations

import re
import tomllib

from typing import TYPE_CHECKING
from typing import Any
from typing import NamedTuple


if TYPE_CHECKING:
    from pathlib import Path


__all__ = ["TomlFile", "TomlFileError", "read_toml"]

_TABLE_HEADER = re.compile(r"\s*\[\[?([^\]]*)\]")


class TomlFileError(ValueError):
    """Raised if a file cannot be read or is not valid TOML."""


class TomlFile(NamedTuple):
    """A decoded TOML file.

    :param path: path as given by the operator.
    :param text: content as text.
    :param value: decoded content.
    """

    path: str
    text: str
    value: dict[str, Any]

    def locate(self, table: str, key: str, table_index: int = 0) -> str:
        """Return ``PATH:LINE`` of a key, or ``PATH`` if it is not found.

        A key that is a table itself is located at its header; a key that
        is missing from its table at the header of that table.

        :param table: name of the table that has the key; empty for the top
            level.
        :param table_index: index of the table within an array of tables.
        """
        line = self._line_of(table, key, table_index)
        return f"{self.path}:{line}" if line else self.path

    def _line_of(self, table: str, key: str, table_index: int) -> int | None:
        pattern = re.compile(rf'\s*"?{re.escape(key)}"?\s*[=.]')
        array_name = table.partition(".")[0]
        current_table = ""
        current_index = -1 if table else 0
        header_line: int | None = None
        for line_number, line in enumerate(self.text.splitlines(), 1):
            header_match = _TABLE_HEADER.match(line)
            if header_match:
                current_table = header_match.group(1).strip()
                current_index += current_table == array_name
                if (
                    current_table in (table, key)
                    and current_index == table_index
                ):
                    header_line = header_line or line_number
            elif (
                current_table == table
                and current_index == table_index
                and pattern.match(line)
            ):
                return line_number
        return header_line


def read_toml(path: Path) -> TomlFile:
    """Read a TOML file.

    :raises TomlFileError: if the file cannot be read, is not UTF-8 or is
        not valid TOML.
    """
    try:
        text = path.read_text("utf-8")
    except OSError as error:
        raise TomlFileError(
            f"{path}: cannot be read: {error.strerror}"
        ) from error
    except UnicodeDecodeError as error:
        raise TomlFileError(
            f"{path}: not UTF-8 text: {error.reason}"
        ) from error
    try:
        return TomlFile(str(path), text, tomllib.loads(text))
    except tomllib.TOMLDecodeError as error:
        raise TomlFileError(f"{path}: not TOML: {error}") from error
