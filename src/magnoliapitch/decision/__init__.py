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
from magnoliapitch.decision.options import PolicyOptions
from magnoliapitch.decision.options import PolicyWeights
from magnoliapitch.decision.options import options_of
from magnoliapitch.decision.registry import make_scheduler
from magnoliapitch.decision.registry import scheduling_policy


__all__ = [
    "Decision",
    "Eviction",
    "EvictionAction",
    "Explanation",
    "Placement",
    "PolicyOptions",
    "PolicyWeights",
    "Scheduler",
    "TaskRequest",
    "WorkerShape",
    "make_scheduler",
    "options_of",
    "scheduling_policy",
]
