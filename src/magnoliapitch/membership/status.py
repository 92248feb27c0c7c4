"""Status of a peer for users of the membership."""

from __future__ import annotations

from typing import NamedTuple

from magnoliapitch.journal.record import MemberJoin
from magnoliapitch.membership.state import MemberState
from magnoliapitch.peer.message import UnitLoad


class PeerStatus(NamedTuple):
    """Status of another entry instance.

    :param join: record with which the peer joined.
    :param next_offset: offset of the next log record that it will apply.
    :param last_heartbeat_ms: local time of its last heartbeat, -1 if none.
    :param loads: free capacity of the units that it owns.
    :param is_one_way: whether its heartbeats arrive while it receives none
        from this instance.
    """

    join: MemberJoin
    state: MemberState
    next_offset: int
    last_heartbeat_ms: int
    loads: tuple[UnitLoad, ...] = ()
    is_one_way: bool = False
