"""Features of the default policy that can be switched off."""

from __future__ import annotations

from typing import NamedTuple


class PolicyFeatures(NamedTuple):
    """Features of the policy that can be switched off to compare results.

    :param learns_estimates: correct declared sizes and run times by
        measured ones.
    :param reserves_starts: reserve future starts for gangs and for work
        classes that are close to starvation.
    :param reclaims: evict bulk work for urgent work, services, deadlines and
        quotas.
    :param quarantines: place no tasks on workers where all tasks fail.
    """

    learns_estimates: bool = True
    reserves_starts: bool = True
    reclaims: bool = True
    quarantines: bool = True
