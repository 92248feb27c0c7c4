"""Placement of tasks on workers, planned from the scheduler's state."""

from __future__ import annotations

from magnoliapitch.planner.options import PlanningOptions
from magnoliapitch.planner.plan import Plan
from magnoliapitch.planner.plan import PlannedPermitRequest
from magnoliapitch.planner.plan import PlannedStart
from magnoliapitch.planner.plan import PlannedStop
from magnoliapitch.planner.planner import Planner
from magnoliapitch.planner.scheduler_state import SchedulerState


__all__ = [
    "SchedulerState",
    "Plan",
    "PlannedPermitRequest",
    "PlannedStart",
    "PlannedStop",
    "Planner",
    "PlanningOptions",
]
