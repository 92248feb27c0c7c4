"""Max-min fair division of a limited amount."""

from __future__ import annotations

from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from collections.abc import Mapping


def fair_shares(
    demand_by_key: Mapping[str, int], total: int
) -> dict[str, int]:
    """Divide an amount so that no demand is met at the cost of a smaller one.

    A demand below an equal share is met in full; what it leaves goes to the
    larger ones.
    """
    share_by_key: dict[str, int] = {}
    remaining = total
    smallest_first = sorted(demand_by_key.items(), key=lambda item: item[1])
    for position, (key, demand) in enumerate(smallest_first):
        equal_share = remaining // (len(smallest_first) - position)
        share_by_key[key] = min(demand, equal_share)
        remaining -= share_by_key[key]
    return share_by_key
