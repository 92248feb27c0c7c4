"""How the target would be laid out over entry instances."""

from __future__ import annotations

from typing import NamedTuple

from magnoliapitch.job.channel import BUSY_POLL_INTERVAL_MS
from magnoliapitch.membership.fleet import REFRESH_INTERVAL_MS
from magnoliapitch.membership.presence import PRESENCE_INTERVAL_MS
from magnoliapitch.membership.table import HEARTBEAT_INTERVAL_MS
from magnoliapitch.membership.topology import REMOTE_LINKS
from magnoliapitch.worker.lease import LEASE_TTL_MAX_MS


RENEWALS_PER_LEASE = 3
ZONES = 22


class Plan(NamedTuple):
    """A layout of the target.

    :param entries_per_zone: entry instances in each availability zone.
    :param lease_ttl_s: validity of a task lease.
    :param poll_s: interval between views of a worker that runs tasks.
    :param heartbeat_s: interval between heartbeats to a peer.
    :param remote_links: peers in other zones that an entry talks to.
    :param presence_s: interval between presence records of an entry.
    :param catalogue_entries_per_team: entries that a team keeps.
    :param snapshot_interval_s: interval between snapshots.
    :param streams: log streams that share the task records; an entry
        follows one of them.
    :param tasks_per_end: tasks of a job that one end entry covers.
    :param lean_views: whether a worker's reply lists only what changed.
    :param starts_per_call: starts that one call to a worker carries.
    :param list_refresh_s: interval between reads of the instance list.
    :param list_by_change: whether a read returns only the changed
        instances of the own zone.
    """

    entries_per_zone: int = 7
    lease_ttl_s: float = LEASE_TTL_MAX_MS / 1000
    poll_s: float = BUSY_POLL_INTERVAL_MS / 1000
    heartbeat_s: float = HEARTBEAT_INTERVAL_MS / 1000
    remote_links: int = REMOTE_LINKS
    presence_s: float = PRESENCE_INTERVAL_MS / 1000
    catalogue_entries_per_team: int = 10
    snapshot_interval_s: float = 600
    streams: int = 1
    tasks_per_end: int = 1
    lean_views: bool = False
    starts_per_call: int = 1
    list_refresh_s: float = REFRESH_INTERVAL_MS / 1000
    list_by_change: bool = False

    @classmethod
    def as_built(cls, entries_per_zone: int = 7) -> Plan:
        """Return the layout with the intervals of today's code."""
        return cls(entries_per_zone)

    @classmethod
    def with_changes(cls, entries_per_zone: int = 12) -> Plan:
        """Return the layout with the changes that the page names."""
        return cls(
            entries_per_zone,
            lease_ttl_s=60,
            poll_s=20,
            heartbeat_s=4,
            streams=ZONES,
            tasks_per_end=10,
            lean_views=True,
            starts_per_call=4,
            list_refresh_s=2,
            list_by_change=True,
        )

    @property
    def call_s(self) -> float:
        """Interval between calls to a worker; a renewal is a view too."""
        return min(self.poll_s, self.lease_ttl_s / RENEWALS_PER_LEASE)
