"""Definitions of the events that tell why a job has ended."""

from __future__ import annotations

from magnoliapitch.event.registry import EventLevel
from magnoliapitch.event.registry import define_event


define_event(
    "job-closed",
    EventLevel.INFO,
    "A job has ended with the given outcome; one that has not completed for "
    "the given reason, with the figures that decided it.",
)
define_event(
    "attempts-changed",
    EventLevel.INFO,
    "A configuration gives a queue other attempts than are in force for open "
    "jobs; these keep at least those that they were accepted with.",
)
define_event(
    "ends-acknowledged",
    EventLevel.INFO,
    "A worker is told that the ends of its runs up to a sequence number are "
    "stored; logged only if a run that failed is among them.",
)
