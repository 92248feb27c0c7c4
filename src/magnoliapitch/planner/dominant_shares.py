"""Weighted max-min division of several resources."""

from __future__ import annotations

import math

from typing import TYPE_CHECKING
from typing import NamedTuple
from typing import TypeVar


if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping


KeyT = TypeVar("KeyT")

# Lower rates of use are rounding errors.
MIN_RATE = 1e-9


class Demand(NamedTuple):
    """What one participant could use.

    :param weight: its share relative to the others; above 0.
    :param fractions: its demand of each resource, as a fraction of the
        capacity.
    """

    weight: float
    fractions: tuple[float, ...]

    @property
    def dominant(self) -> float:
        """Return the largest fraction, by which participants are compared."""
        return max(self.fractions)

    @property
    def full_level(self) -> float:
        """Return the dominant share per weight that meets the demand."""
        return self.dominant / self.weight

    def rates(self) -> list[float]:
        """Return the use of each resource per dominant share per weight."""
        factor = self.weight / self.dominant
        return [factor * fraction for fraction in self.fractions]


def divide(demand_by_key: Mapping[KeyT, Demand]) -> dict[KeyT, float]:
    """Return the dominant share of each participant.

    The shares grow in proportion to the weights. A participant stops growing
    when its demand is met, or when a resource that it uses is used up; the
    others divide what is left. Each uses the resources in the proportions of
    its demand.
    """
    total_weight = sum(demand.weight for demand in demand_by_key.values())
    demand_by_key = {
        key: demand._replace(weight=demand.weight / total_weight)
        for key, demand in demand_by_key.items()
    }
    share_by_key = dict.fromkeys(demand_by_key, 0.0)
    growing = [key for key, demand in demand_by_key.items() if demand.dominant]
    # The next one to be met is at the end.
    growing.sort(key=lambda key: -demand_by_key[key].full_level)
    rates = _sum(demand_by_key[key].rates() for key in growing)
    remaining = [1.0] * len(rates)
    level = 0.0
    while growing:
        full_level = demand_by_key[growing[-1]].full_level
        exhausted, exhausted_level = _next_exhausted(remaining, rates, level)
        next_level = min(full_level, exhausted_level)
        remaining = [
            left - (next_level - level) * rate
            for left, rate in zip(remaining, rates, strict=True)
        ]
        level = next_level
        if full_level <= exhausted_level:
            stopped = [growing.pop()]
        else:
            stopped, growing = _split(growing, demand_by_key, exhausted)
            if not stopped:
                # Rounding has left a rate of a resource that nobody uses.
                stopped = [growing.pop()]
        for key in stopped:
            demand = demand_by_key[key]
            share_by_key[key] = min(demand.dominant, level * demand.weight)
            rates = [
                total - rate
                for total, rate in zip(rates, demand.rates(), strict=True)
            ]
    return share_by_key


def _sum(rows: Iterable[list[float]]) -> list[float]:
    return [sum(column) for column in zip(*rows, strict=True)]


def _next_exhausted(
    remaining: list[float], rates: list[float], level: float
) -> tuple[int, float]:
    """Return the resource that is used up first, and at which level."""
    levels = [
        level + max(0.0, left) / rate if rate > MIN_RATE else math.inf
        for left, rate in zip(remaining, rates, strict=True)
    ]
    first = min(range(len(levels)), key=levels.__getitem__)
    return first, levels[first]


def _split(
    keys: list[KeyT], demand_by_key: Mapping[KeyT, Demand], resource: int
) -> tuple[list[KeyT], list[KeyT]]:
    """Return the keys that use a resource, and those that do not."""
    users = [key for key in keys if demand_by_key[key].fractions[resource] > 0]
    others = [
        key for key in keys if not demand_by_key[key].fractions[resource]
    ]
    return users, others


__all__ = ["Demand", "divide"]
