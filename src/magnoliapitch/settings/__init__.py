"""Settings of an instance: schema, loading and validation."""

from __future__ import annotations

from magnoliapitch.settings.exceptions import InvalidSettingsError
from magnoliapitch.settings.loader import load_settings
from magnoliapitch.settings.model import LimitSettings
from magnoliapitch.settings.model import ListenerSettings
from magnoliapitch.settings.model import PlatformSettings
from magnoliapitch.settings.model import Settings
from magnoliapitch.settings.model import TimingSettings
from magnoliapitch.settings.schema import SettingInfo
from magnoliapitch.settings.schema import setting_infos


__all__ = [
    "InvalidSettingsError",
    "LimitSettings",
    "ListenerSettings",
    "PlatformSettings",
    "SettingInfo",
    "Settings",
    "TimingSettings",
    "load_settings",
    "setting_infos",
]
