"""Bench of the decisions: seeded traces, injected time, no network."""

from __future__ import annotations

from magnoliapitch.bench.decisions.deployment import FLEETS
from magnoliapitch.bench.decisions.exceptions import BrokenPolicyError
from magnoliapitch.bench.decisions.offline import offline_bound
from magnoliapitch.bench.decisions.result import RunResult
from magnoliapitch.bench.decisions.result import measure
from magnoliapitch.bench.decisions.workload import make_traces


__all__ = [
    "FLEETS",
    "BrokenPolicyError",
    "RunResult",
    "make_traces",
    "measure",
    "offline_bound",
]
