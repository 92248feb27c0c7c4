"""Handlers of joins, heartbeats and departures of entry instances."""

from __future__ import annotations

from magnoliapitch.journal.record import MemberJoin
from magnoliapitch.journal.record import MemberLeave
from magnoliapitch.journal.record import MemberPresence
from magnoliapitch.journal.state import ClusterState
from magnoliapitch.journal.state import Member
from magnoliapitch.journal.state_machine import APPLIED
from magnoliapitch.journal.state_machine import RecordEntryOutcome
from magnoliapitch.journal.state_machine import handles
from magnoliapitch.journal.state_machine import rejected


@handles(MemberJoin)
def add_member(
    state: ClusterState, offset: int, join: MemberJoin
) -> RecordEntryOutcome:
    """Add an incarnation and mark earlier ones of its instance as left."""
    if join.incarnation in state.members_by_incarnation:
        return rejected(f"{join.incarnation} has already joined")
    for incarnation, member in state.members_by_incarnation.items():
        if member.join.instance_id == join.instance_id and not member.left:
            state.members_by_incarnation[incarnation] = member._replace(
                presence_offset=offset, left=True
            )
    state.members_by_incarnation[join.incarnation] = Member(join, offset)
    return APPLIED


@handles(MemberPresence)
def record_presence(
    state: ClusterState, offset: int, presence: MemberPresence
) -> RecordEntryOutcome:
    """Record the offset of a member's heartbeat."""
    member = state.members_by_incarnation.get(presence.incarnation)
    if member is None or member.left:
        return rejected(f"{presence.incarnation} has not joined or has left")
    state.members_by_incarnation[presence.incarnation] = member._replace(
        presence_offset=offset
    )
    return APPLIED


@handles(MemberLeave)
def mark_left(
    state: ClusterState, offset: int, leave: MemberLeave
) -> RecordEntryOutcome:
    """Mark an incarnation as stopped for good."""
    member = state.members_by_incarnation.get(leave.incarnation)
    if member is None:
        return rejected(f"{leave.incarnation} has not joined")
    if member.left:
        return rejected(f"{leave.incarnation} has already left")
    state.members_by_incarnation[leave.incarnation] = member._replace(
        presence_offset=offset, left=True
    )
    return APPLIED
