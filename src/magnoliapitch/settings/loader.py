"""Reads and validates settings files."""

from __future__ import annotations

import os
import tomllib

from typing import TYPE_CHECKING
from typing import Any

from pydantic import TypeAdapter
from pydantic import ValidationError

from magnoliapitch.settings.exceptions import InvalidSettingsError
from magnoliapitch.settings.model import Settings
from magnoliapitch.settings.problem import SettingsSource
from magnoliapitch.settings.problem import describe_problem


if TYPE_CHECKING:
    from collections.abc import Mapping
    from pathlib import Path


VARIABLES_BY_KEY = {
    "address": "MAGNOLIAPITCH_ADDRESS",
    "zone": "MAGNOLIAPITCH_ZONE",
}

_ADAPTER = TypeAdapter(Settings)


def load_settings(
    path: Path, environment: Mapping[str, str] | None = None
) -> Settings:
    """Read a TOML settings file.

    :param environment: variables that override keys, by default those of
        the process.
    :raises InvalidSettingsError: with one line a problem.
    """
    text = _read(path)
    try:
        value = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise InvalidSettingsError((f"{path}: not TOML: {error}",)) from error
    overrides = _overrides(os.environ if environment is None else environment)
    value.update(overrides)
    source = SettingsSource(
        str(path), text, {key: VARIABLES_BY_KEY[key] for key in overrides}
    )
    settings = _validate(value, source)
    _check_ports(settings, source)
    return settings


def _read(path: Path) -> str:
    try:
        return path.read_text("utf-8")
    except OSError as error:
        problem = f"{path}: cannot be read: {error.strerror}"
        raise InvalidSettingsError((problem,)) from error
    except UnicodeDecodeError as error:
        problem = f"{path}: not UTF-8 text: {error.reason}"
        raise InvalidSettingsError((problem,)) from error


def _overrides(environment: Mapping[str, str]) -> dict[str, str]:
    return {
        key: environment[variable]
        for key, variable in VARIABLES_BY_KEY.items()
        if environment.get(variable)
    }


def _validate(value: dict[str, Any], source: SettingsSource) -> Settings:
    try:
        return _ADAPTER.validate_python(value)
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
                f"{source.path}: listeners: the ports {ports} must differ "
                f"from each other",
            )
        )
