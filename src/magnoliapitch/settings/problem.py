"""Explains what is wrong with settings."""

from __future__ import annotations

from collections.abc import Mapping
from typing import TYPE_CHECKING
from typing import NamedTuple

from magnoliapitch.settings.schema import keys_of_section
from magnoliapitch.toml_file import TomlFile
from magnoliapitch.validation import describe_error


if TYPE_CHECKING:
    from pydantic_core import ErrorDetails


class SettingsSource(NamedTuple):
    """Where settings came from.

    :param variables_by_key: environment variables that override keys.
    """

    file: TomlFile
    variables_by_key: Mapping[str, str]


def describe_problem(source: SettingsSource, error: ErrorDetails) -> str:
    """Return one line: file, line, key, what was found, what is allowed."""
    section, _, key = ".".join(map(str, error["loc"])).rpartition(".")
    text = describe_error(error, keys_of_section(section))
    variable = "" if section else source.variables_by_key.get(key, "")
    if variable:
        return f"environment variable {variable}: {text}"
    return f"{source.file.locate(section, key)}: {text}"
