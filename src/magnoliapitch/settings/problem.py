"""Explains what is wrong with a settings file."""

from __future__ import annotations

import difflib
import re

from collections.abc import Mapping
from typing import TYPE_CHECKING
from typing import Any
from typing import NamedTuple

from magnoliapitch.settings.schema import keys_of_section


if TYPE_CHECKING:
    from pydantic_core import ErrorDetails


class SettingsSource(NamedTuple):
    """Where settings came from.

    :param path: file as the operator named it.
    :param text: content of the file.
    :param variables_by_key: environment variables that override keys.
    """

    path: str
    text: str
    variables_by_key: Mapping[str, str]


def describe_problem(source: SettingsSource, error: ErrorDetails) -> str:
    """Return one line: file, line, key, what was found, what is allowed."""
    section, _, key = ".".join(map(str, error["loc"])).rpartition(".")
    where = _where(source, section, key)
    name = f"{section}.{key}" if section else key
    if error["type"] in ("unexpected_keyword_argument", "extra_forbidden"):
        return f"{where}: {name}: unknown key{_suggestion(section, key)}"
    if error["type"] in ("missing_argument", "missing"):
        return f"{where}: {name}: missing; it has no default"
    found = _found(error["input"])
    return f"{where}: {name}: found {found}; {_allowed(error)}"


def _where(source: SettingsSource, section: str, key: str) -> str:
    variable = "" if section else source.variables_by_key.get(key, "")
    if variable:
        return f"environment variable {variable}"
    line = _line_of(source.text, section, key)
    return f"{source.path}:{line}" if line else source.path


def _line_of(text: str, section: str, key: str) -> int | None:
    pattern = re.compile(rf'\s*"?{re.escape(key)}"?\s*[=.]')
    header = re.compile(r"\s*\[([^\]]*)\]")
    current = ""
    for number, line in enumerate(text.splitlines(), 1):
        match = header.match(line)
        if match:
            current = match.group(1).strip()
            if not section and current == key:
                return number
        elif current == section and pattern.match(line):
            return number
    return None


def _suggestion(section: str, key: str) -> str:
    keys = keys_of_section(section)
    close = difflib.get_close_matches(key, keys, 1)
    if close:
        return f"; did you mean {close[0]}?"
    return f"; known keys: {', '.join(keys)}"


def _found(value: Any) -> str:
    return "nothing" if value is None else repr(value)


def _allowed(error: ErrorDetails) -> str:
    message = error["msg"].removeprefix("Value error, ")
    return message[:1].lower() + message[1:]
