"""Runs every benched policy on every trace."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

from magnoliapitch.bench.decisions.offline import offline_bound
from magnoliapitch.bench.decisions.result import measure
from magnoliapitch.decision.registry import make_scheduler
from magnoliapitch.policy.options import PACKING_FIRST
from magnoliapitch.policy.options import WAITING_FIRST
from magnoliapitch.policy.options import options_of


if TYPE_CHECKING:
    from magnoliapitch.bench.decisions.result import RunResult
    from magnoliapitch.bench.decisions.trace import Trace
    from magnoliapitch.decision.interface import Scheduler


class BenchedPolicy(NamedTuple):
    """A policy with its weights, as the report names it."""

    label: str
    policy: str
    profile: str = WAITING_FIRST

    def build(self) -> Scheduler:
        """Return a fresh scheduler."""
        return make_scheduler(self.policy, options_of(self.profile))


BENCHED = (
    BenchedPolicy("fifo", "fifo"),
    BenchedPolicy("strict-priority", "strict-priority"),
    BenchedPolicy("weighted-declared", "weighted-declared"),
    BenchedPolicy("weighted-learning", "weighted-learning"),
    BenchedPolicy("weighted-reclaiming", "weighted-reclaiming"),
    BenchedPolicy(WAITING_FIRST, "weighted", WAITING_FIRST),
    BenchedPolicy(PACKING_FIRST, "weighted", PACKING_FIRST),
)


def run_suite(
    traces: tuple[Trace, ...], benched: tuple[BenchedPolicy, ...] = BENCHED
) -> list[RunResult]:
    """Measure the policies on the traces.

    :raises BrokenPolicyError: if a decision breaks a promise.
    """
    results = []
    for trace in traces:
        bound = offline_bound(trace)
        for item in benched:
            scheduler = item.build()
            results.append(measure(trace, item.label, scheduler, bound))
    return results
