"""Max-min fair division of a limited amount."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import TypeVar


if TYPE_CHECKING:
    from collections.abc import Hashable
    from collections.abc import Mapping


KeyT = TypeVar("KeyT", bound="Hashable")


def fair_shares(
    demand_by_key: Mapping[KeyT, int], total: int
) -> dict[KeyT, int]:
    """Divide an amount so that no demand is met at the cost of a smaller one.

    A demand below an equal share is met in full; what it leaves goes to the
    larger ones. Units that cannot be divided equally go to the first keys.
    """
    share_by_key = dict.fromkeys(demand_by_key, 0)
    remaining = total
    unmet = [key for key, demand in demand_by_key.items() if demand]
    while unmet and remaining > 0:
        equal_share = max(1, remaining // len(unmet))
        for key in unmet[:remaining]:
            missing = demand_by_key[key] - share_by_key[key]
            share = min(missing, equal_share)
            share_by_key[key] += share
            remaining -= share
        unmet = [
            key for key in unmet if share_by_key[key] < demand_by_key[key]
        ]
    return share_by_key
