"""Reads and validates settings files."""

from __future__ import annotations

import tomllib

from typing import TYPE_CHECKING

from pydantic import TypeAdapter
from pydantic import ValidationError

from magnoliapitch.settings.exceptions import InvalidSettingsError
from magnoliapitch.settings.model import Settings


if TYPE_CHECKING:
    from pathlib import Path


_ADAPTER = TypeAdapter(Settings)


def load_settings(path: Path) -> Settings:
    """Read a TOML settings file.

    :raises InvalidSettingsError: with one line a problem.
    """
    try:
        value = tomllib.loads(path.read_text("utf-8"))
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        raise InvalidSettingsError((f"{path}: {error}",)) from error
    try:
        return _ADAPTER.validate_python(value)
    except ValidationError as error:
        problems = tuple(
            f"{path}: {'.'.join(map(str, item['loc']))}: "
            f"found {item['input']!r}: {item['msg']}"
            for item in error.errors()
        )
        raise InvalidSettingsError(problems) from error
