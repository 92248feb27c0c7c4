"""Reads TOML files and finds the lines of their keys."""

from __future__ import annotations

import re
import tomllib

from typing import TYPE_CHECKING
from typing import Any
from typing import NamedTuple


if TYPE_CHECKING:
    from pathlib import Path


__all__ = ["TomlFile", "TomlFileError", "read_toml"]

_HEADER = re.compile(r"\s*\[\[?([^\]]*)\]")


class TomlFileError(ValueError):
    """A file that cannot be read or is not TOML."""


class TomlFile(NamedTuple):
    """A TOML file.

    :param path: the file as the operator named it.
    :param text: its content.
    :param value: its decoded content.
    """

    path: str
    text: str
    value: dict[str, Any]

    def where(self, table: str, key: str, number: int = 0) -> str:
        """Return ``PATH:LINE`` of a key, or ``PATH`` if it is not found.

        :param table: name of the key's table, '' for the top level.
        :param number: position among the tables of an array of tables.
        """
        line = self._line_of(table, key, number)
        return f"{self.path}:{line}" if line else self.path

    def _line_of(self, table: str, key: str, number: int) -> int | None:
        pattern = re.compile(rf'\s*"?{re.escape(key)}"?\s*[=.]')
        base = table.partition(".")[0]
        current = ""
        seen = -1 if table else 0
        header_line: int | None = None
        for position, line in enumerate(self.text.splitlines(), 1):
            match = _HEADER.match(line)
            if match:
                current = match.group(1).strip()
                seen += current == base
                if current in (table, key) and seen == number:
                    header_line = header_line or position
            elif current == table and seen == number and pattern.match(line):
                return position
        return header_line


def read_toml(path: Path) -> TomlFile:
    """Read a TOML file.

    :raises TomlFileError: naming the file and what is wrong with it.
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
