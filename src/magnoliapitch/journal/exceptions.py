"""Errors of the journal."""

from __future__ import annotations


class DamagedRecordError(ValueError):
    """Error for a log record that is not a valid envelope."""
