"""Messages between entry instances as plain values."""

from __future__ import annotations

from typing import NamedTuple

from magnoliapitch.platform.log import LogRecord
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
    """

    instance_id: str
    incarnation: str
    zone: str
    peer_address: str
    next_offset: int
    age_ms: int


class Beat(NamedTuple):
    """One heartbeat.

    :param next_offset: offset of the next log record to apply.
    :param log_age_ms: age of the last successful log read.
    """

    instance_id: str
    incarnation: str
    zone: str
    next_offset: int
    log_age_ms: int
    leaving: bool = False
    loads: tuple[UnitLoad, ...] = ()
    members: tuple[MemberInfo, ...] = ()


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
