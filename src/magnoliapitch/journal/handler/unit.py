"""Applies claims on racks and groups of backend servers."""

from __future__ import annotations

from magnoliapitch.journal.state_machine import APPLIED
from magnoliapitch.journal.state_machine import EntryOutcome
from magnoliapitch.journal.state_machine import handles
from magnoliapitch.journal.state_machine import rejected
from magnoliapitch.journal.record import UnitClaim
from magnoliapitch.journal.record import UnitRelease
from magnoliapitch.journal.state import Claim
from magnoliapitch.journal.state import ClusterState


@handles(UnitClaim)
def claim(state: ClusterState, offset: int, claim: UnitClaim) -> EntryOutcome:
    """Grant a claim that follows the current epoch; the first one wins."""
    current = state.claims_by_unit.get(claim.unit)
    epoch = current.epoch if current else 0
    if claim.previous_epoch != epoch:
        return rejected(f"epoch is {epoch}, not {claim.previous_epoch}")
    if current and current.zone != claim.zone:
        return rejected(f"{claim.unit} belongs to zone {current.zone}")
    member = state.members_by_incarnation.get(claim.incarnation)
    if member is None or member.left or member.join.zone != claim.zone:
        return rejected(f"{claim.incarnation} is no member of {claim.zone}")
    state.claims_by_unit[claim.unit] = Claim(
        claim.unit,
        claim.zone,
        claim.incarnation,
        epoch + 1,
        offset,
        _predecessors(state, current, claim.incarnation),
        after_release=current is not None and not current.incarnation,
    )
    return APPLIED


@handles(UnitRelease)
def release(
    state: ClusterState, offset: int, release: UnitRelease
) -> EntryOutcome:
    """End a claim; the epoch stays."""
    current = state.claims_by_unit.get(release.unit)
    if (
        current is None
        or current.incarnation != release.incarnation
        or current.epoch != release.epoch
    ):
        return rejected(f"{release.incarnation} does not hold {release.unit}")
    state.claims_by_unit[release.unit] = current._replace(
        incarnation="", offset=offset
    )
    return APPLIED


def _predecessors(
    state: ClusterState, current: Claim | None, incarnation: str
) -> tuple[str, ...]:
    if current is None:
        return ()
    earlier = dict.fromkeys((*current.predecessors, current.incarnation))
    earlier.pop(incarnation, None)
    return tuple(item for item in earlier if _may_be_running(state, item))


def _may_be_running(state: ClusterState, incarnation: str) -> bool:
    member = state.members_by_incarnation.get(incarnation)
    return member is not None and not member.left
