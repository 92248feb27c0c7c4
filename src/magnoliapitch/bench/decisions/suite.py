"""Runs every benchmarked policy on every trace."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

from magnoliapitch.bench.decisions.offline import offline_bound
from magnoliapitch.bench.decisions.result import measure_policy
from magnoliapitch.decision.registry import make_scheduler
from magnoliapitch.policy.options import PACKING_FIRST
from magnoliapitch.policy.options import WAITING_FIRST
from magnoliapitch.policy.options import options_of


if TYPE_CHECKING:
    from magnoliapitch.bench.decisions.result import RunResult
    from magnoliapitch.bench.decisions.trace import Trace
    from magnoliapitch.decision.interface import Scheduler


class BenchedPolicy(NamedTuple):
    """A scheduling policy with a weight profile.

    :param label: name in the report.
    :param policy: registered name of the policy.
    :param profile: name of the weight profile.
    """

    label: str
    policy: str
    profile: str = WAITING_FIRST

    def build(self) -> Scheduler:
        """Return a new scheduler of this policy."""
        return make_scheduler(self.policy, options_of(self.profile))


BENCHED_POLICIES = (
    BenchedPolicy("fifo", "fifo"),
    BenchedPolicy("strict-priority", "strict-priority"),
    BenchedPolicy("weighted-declared", "weighted-declared"),
    BenchedPolicy("weighted-learning", "weighted-learning"),
    BenchedPolicy("weighted-reclaiming", "weighted-reclaiming"),
    BenchedPolicy(WAITING_FIRST, "weighted", WAITING_FIRST),
    BenchedPolicy(PACKING_FIRST, "weighted", PACKING_FIRST),
)


def run_suite(
    traces: tuple[Trace, ...],
    benched_policies: tuple[BenchedPolicy, ...] = BENCHED_POLICIES,
) -> list[RunResult]:
    """Measure every policy on every trace.

    :raises InvalidDecisionError: if a decision violates an invariant.
    """
    results = []
    for trace in traces:
        bound = offline_bound(trace)
        for item in benched_policies:
            scheduler = item.build()
            results.append(measure_policy(trace, item.label, scheduler, bound))
    return results
