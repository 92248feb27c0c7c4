"""Log offset up to which every live instance has applied the log."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

from magnoliapitch.membership.state import MemberState
from magnoliapitch.peer.message import ZoneInfo


if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Mapping

    from magnoliapitch.membership.status import PeerStatus


ZONE_INFO_MAX_AGE_MS = 15_000


class AppliedEverywhere(NamedTuple):
    """Part of the log that all instances have applied.

    :param next_offset: every live instance has applied all records below
        this offset.
    :param slowest: ids of the instances at exactly this offset, one for
        each zone that has any.
    :param unknown: instances and zones that may be behind this offset.
    """

    next_offset: int
    slowest: tuple[str, ...]
    unknown: tuple[str, ...]

    def covers(self, offset: int) -> bool:
        """Return whether every instance has applied a record."""
        return offset < self.next_offset and not self.unknown


def own_zone_info(
    zone: str,
    own_id: str,
    own_offset: int,
    peers: Collection[PeerStatus],
) -> ZoneInfo:
    """Build the own zone's report from the heartbeats of its members.

    :param own_id: id of this instance.
    :param own_offset: next log offset of this instance.
    :param peers: status of the other members of the zone.
    """
    offsets = {own_id: own_offset}
    silent = 0
    for peer in peers:
        if peer.state in (MemberState.LIVE, MemberState.LEAVING):
            offsets[peer.join.instance_id] = peer.next_offset
        else:
            silent += 1
    slowest = min(offsets, key=lambda name: (offsets[name], name))
    return ZoneInfo(zone, offsets[slowest], slowest, len(offsets), silent, 0)


def applied_everywhere(
    own: ZoneInfo,
    others: Mapping[str, ZoneInfo],
    silent_ids: Collection[str],
    zones: Collection[str],
) -> AppliedEverywhere:
    """Combine the reports of all zones.

    :param own: report of the own zone.
    :param others: newest report of each other zone with its age.
    :param silent_ids: instances of the own zone that do not respond.
    :param zones: all zones that have members.
    """
    reports = [own]
    unknown = list(silent_ids)
    for zone in sorted(set(zones) - {own.zone}):
        report = others.get(zone)
        if report is None or report.age_ms > ZONE_INFO_MAX_AGE_MS:
            unknown.append(f"zone {zone}")
            continue
        if report.silent:
            unknown.append(f"zone {zone}: {report.silent} silent")
        reports.append(report)
    lowest = min(report.min_offset for report in reports)
    slowest = [
        report.slowest for report in reports if report.min_offset == lowest
    ]
    return AppliedEverywhere(lowest, tuple(slowest), tuple(unknown))
