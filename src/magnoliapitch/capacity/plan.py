"""Number of entry instances, and intervals at which they communicate."""

from __future__ import annotations

from typing import NamedTuple

from magnoliapitch.job.channel import BUSY_POLL_INTERVAL_MS
from magnoliapitch.membership.instance_cache import REFRESH_INTERVAL_MS
from magnoliapitch.membership.presence import PRESENCE_INTERVAL_MS
from magnoliapitch.membership.table import HEARTBEAT_INTERVAL_MS
from magnoliapitch.membership.topology import MAX_REMOTE_LINKS
from magnoliapitch.worker.lease import LEASE_TTL_MAX_MS


RENEWALS_PER_LEASE = 3
ZONE_COUNT = 22


class Plan(NamedTuple):
    """Cluster layout and communication intervals of the entry instances.

    :param entries_per_zone: entry instances in each availability zone.
    :param lease_ttl_s: time to live of a task lease, in seconds.
    :param poll_interval_s: interval in seconds at which the state of a worker
        that runs tasks is read.
    :param heartbeat_interval_s: interval in seconds between heartbeats to a
        peer.
    :param remote_links: number of peers in other zones to which an entry
        sends heartbeats.
    :param presence_interval_s: interval in seconds at which an entry appends
        a record that it is alive.
    :param catalogue_entries_per_team: catalogue entries of an average team.
    :param snapshot_interval_s: interval between snapshots, in seconds.
    :param log_streams: number of streams over which the log's task records
        are spread; an entry follows one of them.
    :param tasks_per_end_entry: ended tasks of a job that one record
        entry reports.
    :param uses_incremental_views: whether a worker's reply lists only the
        tasks that changed.
    :param starts_per_call: tasks that one call to a worker starts.
    :param list_refresh_interval_s: interval in seconds between reads of the
        platform's instance list.
    :param uses_incremental_list: whether a read of the instance list returns
        only the changed instances of the entry's own zone.
    """

    entries_per_zone: int = 7
    lease_ttl_s: float = LEASE_TTL_MAX_MS / 1000
    poll_interval_s: float = BUSY_POLL_INTERVAL_MS / 1000
    heartbeat_interval_s: float = HEARTBEAT_INTERVAL_MS / 1000
    remote_links: int = MAX_REMOTE_LINKS
    presence_interval_s: float = PRESENCE_INTERVAL_MS / 1000
    catalogue_entries_per_team: int = 10
    snapshot_interval_s: float = 600
    log_streams: int = 1
    tasks_per_end_entry: int = 1
    uses_incremental_views: bool = False
    starts_per_call: int = 1
    list_refresh_interval_s: float = REFRESH_INTERVAL_MS / 1000
    uses_incremental_list: bool = False

    @classmethod
    def as_built(cls, entries_per_zone: int = 7) -> Plan:
        """Return the layout with the intervals that the code uses."""
        return cls(entries_per_zone)

    @classmethod
    def with_changes(cls, entries_per_zone: int = 12) -> Plan:
        """Return the layout with the changes that the capacity page plans."""
        return cls(
            entries_per_zone,
            lease_ttl_s=60,
            poll_interval_s=20,
            heartbeat_interval_s=4,
            log_streams=ZONE_COUNT,
            tasks_per_end_entry=10,
            uses_incremental_views=True,
            starts_per_call=4,
            list_refresh_interval_s=2,
            uses_incremental_list=True,
        )

    @property
    def call_interval_s(self) -> float:
        """Seconds between calls to a worker.

        A lease renewal also returns the worker's state, so the shorter of
        the two intervals counts.
        """
        return min(self.poll_interval_s, self.lease_ttl_s / RENEWALS_PER_LEASE)
