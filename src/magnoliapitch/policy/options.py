"""Weights and options of a scheduling policy, and the named profiles."""

from __future__ import annotations

from typing import Annotated
from typing import NamedTuple

from pydantic import Field

from magnoliapitch.policy.exceptions import UnknownProfileError


Share = Annotated[float, Field(ge=0, le=1)]
Percentile = Annotated[float, Field(ge=1, le=100)]


class PolicyWeights(NamedTuple):
    """Preferences of one deployment.

    Bulk work is all batch tasks and gangs.

    :param urgent_headroom: share of all CPU, from 0 to 1, that bulk work
        leaves free for urgent work.
    :param cpu_percentile: percentile of the measured CPU use of an entry
        that is reserved for its tasks.
    :param memory_percentile: the same for memory.
    :param short_first: order of bulk tasks: 1 prefers small and short ones,
        0 prefers large ones, 0.5 keeps the order of submission.
    """

    urgent_headroom: Share = 0.03
    cpu_percentile: Percentile = 40.0
    memory_percentile: Percentile = 95.0
    short_first: Share = 1.0


class PolicyOptions(NamedTuple):
    """Configuration of a scheduling policy.

    :param weights: preferences of the deployment.
    :param seed: seed of the random number generator, for retry jitter.
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
    """Return policy options with explicit weights or those of a profile.

    :param profile: name of a weight profile; ignored if ``weights`` is set.
    :param weights: weights to use instead of a profile.
    :param seed: seed of the random number generator.
    :raises UnknownProfileError: if no profile has that name.
    """
    if weights is not None:
        return PolicyOptions(weights, seed)
    if profile not in weights_by_profile:
        raise UnknownProfileError(profile, tuple(weights_by_profile))
    return PolicyOptions(weights_by_profile[profile], seed)
