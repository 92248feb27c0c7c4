"""Decisions: which task runs where and when, free of threads and I/O."""

from __future__ import annotations

from magnoliapitch.decision.interface import Decision
from magnoliapitch.decision.interface import Eviction
from magnoliapitch.decision.interface import EvictionAction
from magnoliapitch.decision.interface import Explanation
from magnoliapitch.decision.interface import Placement
from magnoliapitch.decision.interface import Scheduler
from magnoliapitch.decision.interface import TaskRequest
from magnoliapitch.decision.interface import WorkerShape
from magnoliapitch.decision.registry import make_scheduler
from magnoliapitch.decision.registry import scheduling_policy


__all__ = [
    "Decision",
    "Eviction",
    "EvictionAction",
    "Explanation",
    "Placement",
    "Scheduler",
    "TaskRequest",
    "WorkerShape",
    "make_scheduler",
    "scheduling_policy",
]
