"""Scheduling policies: which task starts when, and on which worker.

Policies start no threads and do no I/O; all calls are synchronous.
"""

from __future__ import annotations

from magnoliapitch.decision.first_fit import FirstFitScheduler
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
from magnoliapitch.decision.synchronized import SynchronizedScheduler
from magnoliapitch.decision.weighted import WeightedScheduler
from magnoliapitch.decision.weighted_variants import make_weighted
from magnoliapitch.policy.options import PolicyOptions
from magnoliapitch.policy.options import PolicyWeights
from magnoliapitch.policy.options import options_of


__all__ = [
    "Decision",
    "Eviction",
    "EvictionAction",
    "Explanation",
    "FirstFitScheduler",
    "Placement",
    "PolicyOptions",
    "PolicyWeights",
    "Scheduler",
    "SynchronizedScheduler",
    "TaskRequest",
    "WeightedScheduler",
    "WorkerShape",
    "make_scheduler",
    "make_weighted",
    "options_of",
    "scheduling_policy",
]
