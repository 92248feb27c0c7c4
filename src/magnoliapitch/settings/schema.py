"""Describes every setting from the model."""

from __future__ import annotations

from typing import Any
from typing import NamedTuple
from typing import get_args
from typing import get_type_hints

from magnoliapitch.settings.model import Settings


class SettingInfo(NamedTuple):
    """A setting as the documentation lists it.

    :param key: dotted key in the settings file.
    :param default: default as TOML text, empty if the key is required.
    """

    key: str
    default: str


def setting_infos() -> tuple[SettingInfo, ...]:
    """Return every setting in the order of the model."""
    infos: list[SettingInfo] = []
    sections = sections_by_name()
    for name in Settings._fields:
        if name in sections:
            infos += _infos_of(sections[name], f"{name}.")
        else:
            infos.append(_info_of(Settings, name, ""))
    return tuple(infos)


def keys_of_section(section: str) -> tuple[str, ...]:
    """Return the keys of a section, or the top-level ones for ''."""
    if not section:
        return Settings._fields
    model = sections_by_name().get(section)
    return model._fields if model else ()


def sections_by_name() -> dict[str, Any]:
    """Return the named tuple of each section."""
    sections: dict[str, Any] = {}
    for name, hint in get_type_hints(Settings).items():
        for model in (hint, *get_args(hint)):
            if hasattr(model, "_fields"):
                sections[name] = model
    return sections


def _infos_of(model: Any, prefix: str) -> list[SettingInfo]:
    return [_info_of(model, name, prefix) for name in model._fields]


def _info_of(model: Any, name: str, prefix: str) -> SettingInfo:
    if name not in model._field_defaults:
        return SettingInfo(prefix + name, "")
    return SettingInfo(prefix + name, _text_of(model._field_defaults[name]))


def _text_of(default: Any) -> str:
    if isinstance(default, tuple):
        return "[]"
    return str(default) if isinstance(default, int | float) else f'"{default}"'
