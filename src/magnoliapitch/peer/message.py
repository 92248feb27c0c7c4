"""Messages between entry instances as Python values."""

from __future__ import annotations

from typing import NamedTuple

from magnoliapitch.journal.log import LogRecord
from magnoliapitch.resource import NO_RESOURCES
from magnoliapitch.resource import Resources


class UnitLoad(NamedTuple):
    """Free capacity of a unit that the sender owns.

    :param unit: rack of workers or group of backend servers.
    :param free: unused resources of a rack.
    :param queued: number of requests that wait for a slot.
    :param free_slots: number of further requests that a group can execute.
    """

    unit: str
    free: Resources = NO_RESOURCES
    queued: int = 0
    free_slots: int = 0


class MemberInfo(NamedTuple):
    """What the sender knows of another instance.

    :param next_offset: highest next log offset reported for it.
    :param age_ms: time since the sender last heard it or of it.
    :param direct: whether the sender received its heartbeat itself.
    """

    instance_id: str
    incarnation: str
    zone: str
    peer_address: str
    next_offset: int
    age_ms: int
    direct: bool = False


class ZoneInfo(NamedTuple):
    """Report on how far an availability zone has applied the log.

    :param min_offset: lowest next offset of its live and leaving instances.
    :param slowest: id of an instance with that offset.
    :param live: number of live and leaving instances.
    :param silent: number of other instances that have not left.
    :param age_ms: time since a member of the zone made the report.
    """

    zone: str
    min_offset: int
    slowest: str
    live: int
    silent: int
    age_ms: int


class Heartbeat(NamedTuple):
    """State of the sender and its knowledge of other instances.

    :param next_offset: offset of the next log record that the sender will
        apply.
    :param log_age_ms: time since its last successful log read.
    :param leaving: whether the sender is about to stop.
    :param loads: free capacity of the units that it owns.
    :param members: other members known to it, the receiver first.
    :param peer_address: ``IP:PORT`` of its peer listener.
    :param seen_offset: highest next offset that it knows of, also through
        others.
    :param complete: whether it has the complete history up to
        ``next_offset``, so that its state may be used.
    :param zones: reports on the own zone and on some others.
    """

    instance_id: str
    incarnation: str
    zone: str
    next_offset: int
    log_age_ms: int
    leaving: bool = False
    loads: tuple[UnitLoad, ...] = ()
    members: tuple[MemberInfo, ...] = ()
    peer_address: str = ""
    seen_offset: int = 0
    complete: bool = False
    zones: tuple[ZoneInfo, ...] = ()


class ForwardedRequest(NamedTuple):
    """Request that a peer executes on behalf of the sender.

    :param entry: name of the catalogue entry.
    :param timeout_ms: time within which the request must be answered.
    :param ticket: ticket that permits a single execution, or empty.
    :param key: idempotency key, or empty.
    """

    request_id: str
    entry: str
    body: bytes
    timeout_ms: int
    ticket: str = ""
    key: str = ""


class ForwardedAnswer(NamedTuple):
    """Complete answer to a forwarded request.

    :param status: HTTP status code.
    """

    request_id: str
    status: int
    body: bytes
    content_type: str = "application/json"


class LogPage(NamedTuple):
    """Consecutive log records from a peer.

    :param next_offset: offset of the next record that the peer will apply.
    :param log_age_ms: time since the peer's last successful log read.
    """

    records: tuple[LogRecord, ...]
    next_offset: int
    log_age_ms: int


class StateSnapshot(NamedTuple):
    """Encoded replicated state of a peer.

    :param offset: offset of the first record not contained in it.
    :param digest: hash of the state.
    :param state: encoded state.
    """

    offset: int
    digest: str
    state: bytes
