"""What other parts see of a peer."""

from __future__ import annotations

from typing import NamedTuple

from magnoliapitch.journal.record import MemberJoin
from magnoliapitch.membership.state import MemberState
from magnoliapitch.peer.message import UnitLoad


class PeerStatus(NamedTuple):
    """What is known of another entry instance.

    :param next_offset: next log offset that it will apply.
    :param heard_ms: local time of its last heartbeat, -1 for never.
    :param loads: free capacity of the units it owns.
    :param is_one_way: whether it is heard but does not hear this one.
    """

    join: MemberJoin
    state: MemberState
    next_offset: int
    heard_ms: int
    loads: tuple[UnitLoad, ...] = ()
    is_one_way: bool = False
