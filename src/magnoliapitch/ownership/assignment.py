"""Assignment of a zone's units to its entry instances."""

from __future__ import annotations

from typing import TYPE_CHECKING

import xxhash


if TYPE_CHECKING:
    from collections.abc import Iterable


def assign_units(
    units: Iterable[str], instance_ids: Iterable[str]
) -> dict[str, str]:
    """Spread units over instances by rendezvous hashing with bounded load.

    The result depends only on the arguments, not on their order, so instances
    that know the same members agree on it. No instance gets more than its
    even share, rounded up. A join or leave moves few units.

    :return: instance id by unit; empty if there are no instances.
    """
    sorted_ids = sorted(set(instance_ids))
    sorted_units = sorted(set(units))
    if not sorted_ids:
        return {}
    free_places_by_instance = dict.fromkeys(
        sorted_ids, -(-len(sorted_units) // len(sorted_ids))
    )
    instance_by_unit = {}
    for unit in sorted_units:
        candidates = [
            instance_id
            for instance_id in sorted_ids
            if free_places_by_instance[instance_id]
        ]
        owner = max(
            candidates,
            key=lambda instance_id: _rendezvous_weight(unit, instance_id),
        )
        free_places_by_instance[owner] -= 1
        instance_by_unit[unit] = owner
    return instance_by_unit


def _rendezvous_weight(unit: str, instance_id: str) -> tuple[int, str]:
    key = f"{unit}\0{instance_id}".encode()
    return xxhash.xxh3_64_intdigest(key), instance_id
