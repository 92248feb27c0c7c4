"""Ownership of units: racks of workers and groups of backend servers."""

from __future__ import annotations

from magnoliapitch.ownership.claimer import Claimer


__all__ = ["Claimer"]
