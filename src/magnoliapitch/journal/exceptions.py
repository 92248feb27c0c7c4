"""Errors of the journal."""

from __future__ import annotations


class DamagedRecordError(ValueError):
    """A log record that is not a valid envelope."""
