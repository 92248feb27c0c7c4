"""Benchmark of scheduling policies on seeded traces.

It runs in simulated time and without a network.
"""

from __future__ import annotations

from magnoliapitch.bench.decisions.deployment import DEPLOYMENTS
from magnoliapitch.bench.decisions.exceptions import InvalidDecisionError
from magnoliapitch.bench.decisions.offline import offline_bound
from magnoliapitch.bench.decisions.result import RunResult
from magnoliapitch.bench.decisions.result import measure_policy
from magnoliapitch.bench.decisions.workload import make_traces


__all__ = [
    "DEPLOYMENTS",
    "InvalidDecisionError",
    "RunResult",
    "make_traces",
    "measure_policy",
    "offline_bound",
]
