"""Errors of the capacity arithmetic."""

from __future__ import annotations


class MeasurementError(ValueError):
    """A measurement file that lacks what the arithmetic needs."""
