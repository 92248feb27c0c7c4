"""Loading and validation of an entry instance's settings file."""

from __future__ import annotations

import os

from typing import TYPE_CHECKING
from typing import Any

from pydantic import TypeAdapter
from pydantic import ValidationError

from magnoliapitch.settings.exceptions import InvalidSettingsError
from magnoliapitch.settings.model import Settings
from magnoliapitch.settings.problem import SettingsSource
from magnoliapitch.settings.problem import describe_problem
from magnoliapitch.toml_file import TomlFileError
from magnoliapitch.toml_file import read_toml


if TYPE_CHECKING:
    from collections.abc import Mapping
    from pathlib import Path


VARIABLE_BY_KEY = {
    "address": "MAGNOLIAPITCH_ADDRESS",
    "zone": "MAGNOLIAPITCH_ZONE",
}

_SETTINGS_ADAPTER = TypeAdapter(Settings)


def load_settings(
    path: Path, environment: Mapping[str, str] | None = None
) -> Settings:
    """Read and validate a TOML settings file.

    :param environment: environment variables, of which some override keys; by
        default those of the process.
    :raises InvalidSettingsError: if the file cannot be read or a setting is
        invalid, with one line per problem.
    """
    try:
        file = read_toml(path)
    except TomlFileError as error:
        raise InvalidSettingsError((str(error),)) from error
    overrides = _read_overrides(
        os.environ if environment is None else environment
    )
    source = SettingsSource(
        file, {key: VARIABLE_BY_KEY[key] for key in overrides}
    )
    settings = _validate({**file.value, **overrides}, source)
    _check_ports(settings, source)
    return settings


def _read_overrides(environment: Mapping[str, str]) -> dict[str, str]:
    return {
        key: environment[variable]
        for key, variable in VARIABLE_BY_KEY.items()
        if environment.get(variable)
    }


def _validate(value: dict[str, Any], source: SettingsSource) -> Settings:
    try:
        return _SETTINGS_ADAPTER.validate_python(value)
    except ValidationError as error:
        problems = tuple(
            describe_problem(source, item) for item in error.errors()
        )
        raise InvalidSettingsError(problems) from error


def _check_ports(settings: Settings, source: SettingsSource) -> None:
    listeners = settings.listeners
    ports = [
        port
        for port in (
            listeners.caller_port,
            listeners.admin_port,
            listeners.peer_port,
        )
        if port
    ]
    if len(set(ports)) < len(ports):
        raise InvalidSettingsError(
            (
                f"{source.file.path}: listeners: the ports {ports} "
                f"must differ from each other",
            )
        )
