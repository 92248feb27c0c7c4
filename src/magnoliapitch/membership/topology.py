"""Whom an instance exchanges heartbeats with.

Within a zone everyone talks to everyone. Between zones an instance keeps
a few links: one to the next zone in name order, which makes the zones a
ring, and some to zones that a hash chooses. So its cost depends on the
size of its zone only.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import xxhash


if TYPE_CHECKING:
    from collections.abc import Collection

    from magnoliapitch.journal.record import MemberJoin


REMOTE_LINKS = 3


def linked_zones(own: MemberJoin, zones: Collection[str]) -> tuple[str, ...]:
    """Return the other zones that an instance keeps a link to."""
    others = sorted(zone for zone in set(zones) if zone != own.zone)
    if not others:
        return ()
    later = [zone for zone in others if zone > own.zone]
    following = later[0] if later else others[0]
    others.remove(following)
    others.sort(key=lambda zone: hash_of(own.incarnation, zone))
    return (following, *others[: REMOTE_LINKS - 1])


def linked_members(
    own: MemberJoin,
    members: Collection[MemberJoin],
    failing: Collection[str],
) -> tuple[MemberJoin, ...]:
    """Return the members to exchange heartbeats with.

    :param failing: incarnations that did not answer; others of their zone
        are preferred.
    """
    chosen = [item for item in members if item.zone == own.zone]
    zones = {item.zone for item in members}
    for zone in linked_zones(own, zones):
        ranked = sorted(
            (item for item in members if item.zone == zone),
            key=lambda item: (
                item.incarnation in failing,
                hash_of(own.incarnation, item.incarnation),
            ),
        )
        chosen.append(ranked[0])
    return tuple(chosen)


def hash_of(*parts: str) -> int:
    """Return a hash that is the same on every instance."""
    return xxhash.xxh3_64_intdigest("/".join(parts).encode())
