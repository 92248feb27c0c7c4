"""Messages for validation errors in settings."""

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
    """Origin of settings, for error messages.

    :param file: parsed settings file.
    :param variables_by_key: environment variable by the key it overrides.
    """

    file: TomlFile
    variables_by_key: Mapping[str, str]


def describe_problem(source: SettingsSource, error: ErrorDetails) -> str:
    """Describe a validation error in one line.

    :return: file and line or environment variable, key, what was found and
        what is allowed.
    """
    section, _, key = ".".join(map(str, error["loc"])).rpartition(".")
    text = describe_error(error, keys_of_section(section))
    variable = "" if section else source.variables_by_key.get(key, "")
    if variable:
        return f"environment variable {variable}: {text}"
    return f"{source.file.locate(section, key)}: {text}"
