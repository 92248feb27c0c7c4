"""Handlers of claims on units: racks and groups of backend servers."""

from __future__ import annotations

from magnoliapitch.journal.record import UnitClaim
from magnoliapitch.journal.record import UnitRelease
from magnoliapitch.journal.state import Claim
from magnoliapitch.journal.state import ClusterState
from magnoliapitch.journal.state_machine import APPLIED
from magnoliapitch.journal.state_machine import RecordEntryOutcome
from magnoliapitch.journal.state_machine import handles
from magnoliapitch.journal.state_machine import rejected


@handles(UnitClaim)
def claim_unit(
    state: ClusterState, offset: int, claim: UnitClaim
) -> RecordEntryOutcome:
    """Make a member the owner of a unit and increase the unit's epoch.

    The claim must name the current epoch, so that the first of several
    competing claims wins.
    """
    current = state.claims_by_unit.get(claim.unit)
    epoch = current.epoch if current else 0
    if claim.previous_epoch != epoch:
        return rejected(
            f"the current epoch of the unit is {epoch}, not "
            f"{claim.previous_epoch}"
        )
    if current and current.zone != claim.zone:
        return rejected(f"{claim.unit} belongs to zone {current.zone}")
    member = state.members_by_incarnation.get(claim.incarnation)
    if member is None or member.left or member.join.zone != claim.zone:
        return rejected(
            f"{claim.incarnation} is not a live member in zone {claim.zone}"
        )
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
def release_unit(
    state: ClusterState, offset: int, release: UnitRelease
) -> RecordEntryOutcome:
    """Remove the owner of a unit; the epoch stays."""
    current = state.claims_by_unit.get(release.unit)
    if (
        current is None
        or current.incarnation != release.incarnation
        or current.epoch != release.epoch
    ):
        return rejected(
            f"{release.incarnation} is not the owner of {release.unit} in "
            "the given epoch"
        )
    state.claims_by_unit[release.unit] = current._replace(
        incarnation="", offset=offset
    )
    return APPLIED


def _predecessors(
    state: ClusterState, current: Claim | None, incarnation: str
) -> tuple[str, ...]:
    """Return earlier owners of a unit that may still act as its owner."""
    if current is None:
        return ()
    earlier = dict.fromkeys((*current.predecessors, current.incarnation))
    earlier.pop(incarnation, None)
    return tuple(item for item in earlier if _may_be_running(state, item))


def _may_be_running(state: ClusterState, incarnation: str) -> bool:
    member = state.members_by_incarnation.get(incarnation)
    return member is not None and not member.left
