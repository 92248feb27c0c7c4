"""The default policy and its earlier versions, by name."""

from __future__ import annotations

from typing import TYPE_CHECKING

from magnoliapitch.decision.registry import scheduling_policy
from magnoliapitch.decision.weighted import Abilities
from magnoliapitch.decision.weighted import WeightedScheduler


if TYPE_CHECKING:
    from magnoliapitch.policy.options import PolicyOptions


@scheduling_policy("weighted")
def make_weighted(options: PolicyOptions) -> WeightedScheduler:
    """Return the whole policy."""
    return WeightedScheduler(options)


@scheduling_policy("weighted-declared")
def make_weighted_declared(options: PolicyOptions) -> WeightedScheduler:
    """Return the policy that only orders and fits, by declared sizes."""
    abilities = Abilities(False, False, False, False)
    return WeightedScheduler(options, abilities)


@scheduling_policy("weighted-learning")
def make_weighted_learning(options: PolicyOptions) -> WeightedScheduler:
    """Return the policy that also corrects declared sizes."""
    abilities = Abilities(True, False, False, False)
    return WeightedScheduler(options, abilities)


@scheduling_policy("weighted-reclaiming")
def make_weighted_reclaiming(options: PolicyOptions) -> WeightedScheduler:
    """Return the policy that lacks only the quarantine."""
    abilities = Abilities(True, True, True, False)
    return WeightedScheduler(options, abilities)
