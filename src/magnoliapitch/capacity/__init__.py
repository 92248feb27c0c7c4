"""Estimates what an entry instance costs at a given cluster size."""

from __future__ import annotations

from magnoliapitch.capacity.exceptions import MeasurementError
from magnoliapitch.capacity.measurement import Measurement
from magnoliapitch.capacity.page import refresh_page
from magnoliapitch.capacity.plan import Plan
from magnoliapitch.capacity.target import Target


__all__ = [
    "Measurement",
    "MeasurementError",
    "Plan",
    "Target",
    "refresh_page",
]
