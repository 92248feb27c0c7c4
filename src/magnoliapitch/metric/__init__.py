"""Counters, waiting times and the cost of the process itself."""

from __future__ import annotations

from magnoliapitch.metric.cost import CostMeter
from magnoliapitch.metric.cost import ProcessCost
from magnoliapitch.metric.metrics import Metrics
from magnoliapitch.metric.text import exposition
from magnoliapitch.metric.timer import Timer
from magnoliapitch.metric.timer import TimerSummary


__all__ = [
    "CostMeter",
    "Metrics",
    "ProcessCost",
    "Timer",
    "TimerSummary",
    "exposition",
]
