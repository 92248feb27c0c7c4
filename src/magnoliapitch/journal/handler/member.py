"""Applies joins, presence and departures of entry instances."""

from __future__ import annotations

from magnoliapitch.journal.state_machine import APPLIED
from magnoliapitch.journal.state_machine import EntryOutcome
from magnoliapitch.journal.state_machine import handles
from magnoliapitch.journal.state_machine import rejected
from magnoliapitch.journal.record import EntryJoin
from magnoliapitch.journal.record import EntryLeave
from magnoliapitch.journal.record import EntryPresence
from magnoliapitch.journal.state import ClusterState
from magnoliapitch.journal.state import Member


@handles(EntryJoin)
def join(state: ClusterState, offset: int, join: EntryJoin) -> EntryOutcome:
    """Add an incarnation; earlier ones of the instance are gone."""
    if join.incarnation in state.members_by_incarnation:
        return rejected(f"{join.incarnation} has already joined")
    for incarnation, member in state.members_by_incarnation.items():
        if member.join.instance_id == join.instance_id and not member.left:
            state.members_by_incarnation[incarnation] = member._replace(
                presence_offset=offset, left=True
            )
    state.members_by_incarnation[join.incarnation] = Member(join, offset)
    return APPLIED


@handles(EntryPresence)
def presence(
    state: ClusterState, offset: int, presence: EntryPresence
) -> EntryOutcome:
    """Note that an incarnation reached the log."""
    member = state.members_by_incarnation.get(presence.incarnation)
    if member is None or member.left:
        return rejected(f"{presence.incarnation} is not a member")
    state.members_by_incarnation[presence.incarnation] = member._replace(
        presence_offset=offset
    )
    return APPLIED


@handles(EntryLeave)
def leave(state: ClusterState, offset: int, leave: EntryLeave) -> EntryOutcome:
    """Mark an incarnation as gone for good."""
    member = state.members_by_incarnation.get(leave.incarnation)
    if member is None:
        return rejected(f"{leave.incarnation} is not a member")
    if member.left:
        return rejected(f"{leave.incarnation} has left")
    state.members_by_incarnation[leave.incarnation] = member._replace(
        presence_offset=offset, left=True
    )
    return APPLIED
