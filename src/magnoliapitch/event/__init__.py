"""Structured log events, each written as one line of key=value pairs."""

from __future__ import annotations

from magnoliapitch.event import definitions as _definitions  # noqa: F401
from magnoliapitch.event import end_definitions as _end_definitions  # noqa: F401
from magnoliapitch.event import job_definitions as _job_definitions  # noqa: F401
from magnoliapitch.event import planning_definitions as _planning  # noqa: F401
from magnoliapitch.event.line import format_line
from magnoliapitch.event.log import configure_logging
from magnoliapitch.event.log import log_event
from magnoliapitch.event.log import request_context
from magnoliapitch.event.registry import EventKind
from magnoliapitch.event.registry import EventLevel
from magnoliapitch.event.registry import define_event
from magnoliapitch.event.registry import kinds_by_name


__all__ = [
    "EventKind",
    "EventLevel",
    "configure_logging",
    "define_event",
    "format_line",
    "kinds_by_name",
    "log_event",
    "request_context",
]
