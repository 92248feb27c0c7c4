"""Errors of the capacity estimate."""

from __future__ import annotations


class MeasurementError(ValueError):
    """A measurement, or a page, lacks a value that the estimate needs."""
