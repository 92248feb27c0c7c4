"""HTTP interfaces for callers and operators."""

from __future__ import annotations

from magnoliapitch.api.admin import admin_application
from magnoliapitch.api.caller import caller_application


__all__ = ["admin_application", "caller_application"]
