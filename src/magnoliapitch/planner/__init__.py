"""Which tasks start where and when, decided on a book of jobs."""

from __future__ import annotations

from magnoliapitch.planner.plan import Plan
from magnoliapitch.planner.plan import PlannedAsk
from magnoliapitch.planner.plan import PlannedStart
from magnoliapitch.planner.plan import PlannedStop
from magnoliapitch.planner.planner import Planner
from magnoliapitch.planner.scheduler_state import Book


__all__ = [
    "Book",
    "Plan",
    "PlannedAsk",
    "PlannedStart",
    "PlannedStop",
    "Planner",
]
