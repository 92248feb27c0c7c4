"""Messages between entry instances as plain values."""

from __future__ import annotations

from typing import NamedTuple

from magnoliapitch.journal.log import LogRecord
from magnoliapitch.resource import NO_RESOURCES
from magnoliapitch.resource import Resources


class UnitLoad(NamedTuple):
    """Free capacity of a unit owned by the sender."""

    unit: str
    free: Resources = NO_RESOURCES
    queued: int = 0
    free_slots: int = 0


class MemberInfo(NamedTuple):
    """What the sender knows of another instance.

    :param age_ms: time since the sender last heard of it.
    :param direct: whether the sender heard it itself.
    """

    instance_id: str
    incarnation: str
    zone: str
    peer_address: str
    next_offset: int
    age_ms: int
    direct: bool = False


class ZoneInfo(NamedTuple):
    """How far an availability zone has applied the log.

    :param min_offset: lowest next offset of its live instances.
    :param slowest: instance with that offset.
    :param live: number of live instances.
    :param silent: number of instances that are neither live nor gone.
    :param age_ms: time since a member of the zone reported it.
    """

    zone: str
    min_offset: int
    slowest: str
    live: int
    silent: int
    age_ms: int


class Heartbeat(NamedTuple):
    """One heartbeat.

    :param next_offset: offset of the next log record to apply.
    :param log_age_ms: age of the last successful log read.
    :param members: others that the sender knows, the addressee first.
    :param peer_address: ``IP:PORT`` of the sender's peer listener.
    :param seen_offset: highest next offset that the sender has heard of.
    :param complete: whether the sender's state may be served.
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
    """A small request that a peer executes.

    :param ticket: ticket that allows one execution, or empty.
    :param key: idempotency key, or empty.
    """

    request_id: str
    entry: str
    body: bytes
    timeout_ms: int
    ticket: str = ""
    key: str = ""


class ForwardedAnswer(NamedTuple):
    """A complete answer to a forwarded request."""

    request_id: str
    status: int
    body: bytes
    content_type: str = "application/json"


class LogPage(NamedTuple):
    """Log records that a peer relays.

    :param next_offset: next offset that the peer will apply.
    :param log_age_ms: age of the peer's last successful log read.
    """

    records: tuple[LogRecord, ...]
    next_offset: int
    log_age_ms: int


class StateSnapshot(NamedTuple):
    """Encoded fold of a peer.

    :param offset: offset of the next record after the snapshot.
    """

    offset: int
    digest: str
    state: bytes
