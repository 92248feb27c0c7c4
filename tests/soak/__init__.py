"""Fault soak with real processes; see docs/operations/soak.md."""

from __future__ import annotations
