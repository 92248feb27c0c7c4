"""Counters, waiting times and the cost of the process itself."""

from __future__ import annotations

from magnoliapitch.metric.process_usage import CostMeter
from magnoliapitch.metric.process_usage import ProcessCost
from magnoliapitch.metric.metrics import Metrics
from magnoliapitch.metric.prometheus import exposition
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
