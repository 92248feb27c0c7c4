"""Weights of a deployment: what its policy prefers."""

from __future__ import annotations

from typing import Annotated
from typing import NamedTuple

from pydantic import Field

from magnoliapitch.policy.exceptions import UnknownProfileError


Share = Annotated[float, Field(ge=0, le=1)]
Percentile = Annotated[float, Field(ge=1, le=100)]


class PolicyWeights(NamedTuple):
    """What a deployment prefers, as numbers.

    :param urgent_headroom: share of the processors that bulk work leaves
        free for urgent work, from 0 to 1.
    :param cpu_percentile: percentile of learned processor use to reserve.
    :param memory_percentile: percentile of learned memory use to reserve.
    :param short_first: 1 starts short bulk tasks first, 0 large ones.
    """

    urgent_headroom: Share = 0.03
    cpu_percentile: Percentile = 40.0
    memory_percentile: Percentile = 95.0
    short_first: Share = 1.0


class PolicyOptions(NamedTuple):
    """Configuration of a scheduling policy.

    :param seed: seed of sampling and of retry jitter.
    """

    weights: PolicyWeights = PolicyWeights()
    seed: int = 1


WAITING_FIRST = "waiting-first"
PACKING_FIRST = "packing-first"

weights_by_profile: dict[str, PolicyWeights] = {
    WAITING_FIRST: PolicyWeights(),
    PACKING_FIRST: PolicyWeights(
        urgent_headroom=0.02, cpu_percentile=35.0, short_first=0.0
    ),
}


def options_of(
    profile: str, weights: PolicyWeights | None = None, seed: int = 1
) -> PolicyOptions:
    """Return the options of a profile, or of explicit weights.

    :raises UnknownProfileError: if no profile has that name.
    """
    if weights is not None:
        return PolicyOptions(weights, seed)
    if profile not in weights_by_profile:
        raise UnknownProfileError(profile, tuple(weights_by_profile))
    return PolicyOptions(weights_by_profile[profile], seed)
