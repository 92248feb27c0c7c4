"""Causes for which workers take no new runs."""

from __future__ import annotations

from enum import StrEnum


class UnusableCause(StrEnum):
    """Why new runs are not placed on a worker."""

    UNLISTED = "unlisted"
    SILENT = "silent"
    LEASE_END_STORED = "lease-end-stored"
    AVOIDED = "avoided"
    LEAVING = "leaving"
    UNKNOWN_RUNS = "unknown-runs"


__all__ = ["UnusableCause"]
