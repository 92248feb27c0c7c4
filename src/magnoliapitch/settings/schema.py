"""List of every setting, derived from the schema."""

from __future__ import annotations

from typing import Any
from typing import NamedTuple
from typing import get_args
from typing import get_type_hints

from magnoliapitch.settings.model import Settings


class SettingInfo(NamedTuple):
    """A setting, as the documentation lists it.

    :param key: dotted key in the settings file.
    :param default: default as TOML text, empty if the key is required.
    """

    key: str
    default: str


def setting_infos() -> tuple[SettingInfo, ...]:
    """Return every setting in the order of the schema."""
    infos: list[SettingInfo] = []
    sections = sections_by_name()
    for name in Settings._fields:
        if name in sections:
            infos += _section_infos(sections[name], f"{name}.")
        else:
            infos.append(_setting_info(Settings, name, ""))
    return tuple(infos)


def keys_of_section(section: str) -> tuple[str, ...]:
    """Return the keys of a section.

    :param section: name of the section, empty for the top level.
    :return: the keys; none if there is no such section.
    """
    if not section:
        return Settings._fields
    model = sections_by_name().get(section)
    return model._fields if model else ()


def sections_by_name() -> dict[str, Any]:
    """Return the named tuple of each section by the section's name."""
    sections: dict[str, Any] = {}
    for name, hint in get_type_hints(Settings).items():
        for model in (hint, *get_args(hint)):
            if hasattr(model, "_fields"):
                sections[name] = model
    return sections


def _section_infos(model: Any, prefix: str) -> list[SettingInfo]:
    return [_setting_info(model, name, prefix) for name in model._fields]


def _setting_info(model: Any, name: str, prefix: str) -> SettingInfo:
    if name not in model._field_defaults:
        return SettingInfo(prefix + name, "")
    return SettingInfo(prefix + name, _toml_text(model._field_defaults[name]))


def _toml_text(default: Any) -> str:
    if isinstance(default, tuple):
        return "[]"
    return str(default) if isinstance(default, int | float) else f'"{default}"'
