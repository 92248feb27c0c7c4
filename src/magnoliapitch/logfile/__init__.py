"""Reading of the instances' log files, and what they tell of jobs."""

from __future__ import annotations

from magnoliapitch.logfile.delay_cause import DelayCause
from magnoliapitch.logfile.job_delay import JobDelay
from magnoliapitch.logfile.job_delay import find_delays
from magnoliapitch.logfile.log_event import LogEvent
from magnoliapitch.logfile.log_event import parse_events


__all__ = [
    "DelayCause",
    "JobDelay",
    "LogEvent",
    "find_delays",
    "parse_events",
]
