"""Selection of the peers that an instance exchanges heartbeats with.

Within a zone, all instances are connected to each other. Between zones,
each instance has a few links: one to the next zone by name, so that the
zones form a ring, and a few to zones selected by a hash. The number of
links thus depends only on the size of the own zone.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import xxhash


if TYPE_CHECKING:
    from collections.abc import Collection

    from magnoliapitch.journal.record import MemberJoin


MAX_REMOTE_LINKS = 3


def linked_zones(own: MemberJoin, zones: Collection[str]) -> tuple[str, ...]:
    """Return the other zones to which an instance has a link."""
    others = sorted(zone for zone in set(zones) if zone != own.zone)
    if not others:
        return ()
    later_zones = [zone for zone in others if zone > own.zone]
    next_zone = later_zones[0] if later_zones else others[0]
    others.remove(next_zone)
    others.sort(key=lambda zone: stable_hash(own.incarnation, zone))
    return (next_zone, *others[: MAX_REMOTE_LINKS - 1])


def linked_members(
    own: MemberJoin,
    members: Collection[MemberJoin],
    failing: Collection[str],
) -> tuple[MemberJoin, ...]:
    """Return the members to exchange heartbeats with.

    :param members: all other members.
    :param failing: incarnations that do not answer; others in their zone
        are preferred.
    """
    chosen = [item for item in members if item.zone == own.zone]
    zones = {item.zone for item in members}
    for zone in linked_zones(own, zones):
        ranked = sorted(
            (item for item in members if item.zone == zone),
            key=lambda item: (
                item.incarnation in failing,
                stable_hash(own.incarnation, item.incarnation),
            ),
        )
        chosen.append(ranked[0])
    return tuple(chosen)


def stable_hash(*parts: str) -> int:
    """Return a 64-bit hash that is the same on every instance."""
    return xxhash.xxh3_64_intdigest("/".join(parts).encode())
