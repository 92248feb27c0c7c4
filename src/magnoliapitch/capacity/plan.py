"""How the target would be laid out over entry instances."""

from __future__ import annotations

from typing import NamedTuple


class Plan(NamedTuple):
    """A layout of the target.

    :param entries_per_zone: entry instances in each availability zone.
    :param lease_ttl_s: validity of a task lease; renewed three times.
    :param heartbeat_s: interval between heartbeats to a peer.
    :param remote_links: peers in other zones that an entry talks to.
    :param presence_s: interval between presence records of an entry.
    :param catalogue_entries_per_team: entries that a team keeps.
    :param snapshot_interval_s: interval between snapshots.
    :param streams: log streams that share the task records; an entry
        follows one of them.
    """

    entries_per_zone: int = 7
    lease_ttl_s: int = 60
    heartbeat_s: float = 2.0
    remote_links: int = 3
    presence_s: int = 10
    catalogue_entries_per_team: int = 10
    snapshot_interval_s: int = 600
    streams: int = 1

    @property
    def renewal_s(self) -> float:
        """Interval between renewals of a lease."""
        return self.lease_ttl_s / 3
