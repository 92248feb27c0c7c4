"""Which entry instance of a zone should own which unit."""

from __future__ import annotations

from typing import TYPE_CHECKING

import xxhash


if TYPE_CHECKING:
    from collections.abc import Iterable


def assign(
    units: Iterable[str], instance_ids: Iterable[str]
) -> dict[str, str]:
    """Spread units over instances by rendezvous hashing with bounded load.

    Every instance that knows the same members computes the same result. No
    instance gets more than its even share, rounded up; a join or leave
    moves few units.

    :return: instance by unit; empty without instances.
    """
    members = sorted(set(instance_ids))
    names = sorted(set(units))
    if not members:
        return {}
    room_by_member = dict.fromkeys(members, -(-len(names) // len(members)))
    instance_by_unit = {}
    for unit in names:
        open_members = [item for item in members if room_by_member[item]]
        chosen = max(open_members, key=lambda item: _weight(unit, item))
        room_by_member[chosen] -= 1
        instance_by_unit[unit] = chosen
    return instance_by_unit


def _weight(unit: str, instance_id: str) -> tuple[int, str]:
    key = f"{unit}\0{instance_id}".encode()
    return xxhash.xxh3_64_intdigest(key), instance_id
