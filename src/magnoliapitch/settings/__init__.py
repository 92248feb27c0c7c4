"""Settings of an entry instance."""

from __future__ import annotations

from magnoliapitch.settings.exceptions import InvalidSettingsError
from magnoliapitch.settings.loader import load_settings
from magnoliapitch.settings.model import Settings


__all__ = ["InvalidSettingsError", "Settings", "load_settings"]
