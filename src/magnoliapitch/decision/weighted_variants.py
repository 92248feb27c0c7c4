"""The default policy, and variants with some features switched off."""

from __future__ import annotations

from typing import TYPE_CHECKING

from magnoliapitch.decision.features import PolicyFeatures
from magnoliapitch.decision.registry import scheduling_policy
from magnoliapitch.decision.weighted import WeightedScheduler


if TYPE_CHECKING:
    from magnoliapitch.policy.options import PolicyOptions


@scheduling_policy("weighted")
def make_weighted(options: PolicyOptions) -> WeightedScheduler:
    """Create the default policy, with all features."""
    return WeightedScheduler(options)


@scheduling_policy("weighted-declared")
def make_weighted_declared(options: PolicyOptions) -> WeightedScheduler:
    """Create the variant that orders and places by declared sizes only."""
    features = PolicyFeatures(False, False, False, False)
    return WeightedScheduler(options, features)


@scheduling_policy("weighted-learning")
def make_weighted_learning(options: PolicyOptions) -> WeightedScheduler:
    """Create the variant that also corrects declared sizes and run times."""
    features = PolicyFeatures(True, False, False, False)
    return WeightedScheduler(options, features)


@scheduling_policy("weighted-reclaiming")
def make_weighted_reclaiming(options: PolicyOptions) -> WeightedScheduler:
    """Create the variant that has all features but the quarantine."""
    features = PolicyFeatures(True, True, True, False)
    return WeightedScheduler(options, features)
