"""Counters, timers and the resource usage of the process."""

from __future__ import annotations

from magnoliapitch.metric.metrics import Metrics
from magnoliapitch.metric.process_usage import ProcessUsage
from magnoliapitch.metric.process_usage import ProcessUsageMeter
from magnoliapitch.metric.prometheus import prometheus_text
from magnoliapitch.metric.timer import Timer
from magnoliapitch.metric.timer import TimerSummary


__all__ = [
    "ProcessUsageMeter",
    "Metrics",
    "ProcessUsage",
    "Timer",
    "TimerSummary",
    "prometheus_text",
]
