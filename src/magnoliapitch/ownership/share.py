"""Share of a group's slots that its owner may use while ownership changes.

Backend servers keep no leases, so owners limit themselves. An owner that has
not confirmed its claim for ``CLAIM_MAX_AGE_MS`` uses only half of the slots.
Its successor uses the other half, and starts only when the earlier owner
must have reduced its use to one half.
"""

from __future__ import annotations

from fractions import Fraction
from typing import TYPE_CHECKING

from magnoliapitch.ownership.fence import CLOCK_DRIFT_DIVISOR
from magnoliapitch.ownership.fence import FIRST_EPOCH


if TYPE_CHECKING:
    from magnoliapitch.journal.state import Claim


CLAIM_MAX_AGE_MS = 2_000
REQUEST_MAX_MS = 10_000
# Time after its last confirmation by which an owner uses at most half of the
# slots, with an allowance for clock drift.
SHRUNK_AFTER_MS = (
    CLAIM_MAX_AGE_MS
    + REQUEST_MAX_MS
    + (CLAIM_MAX_AGE_MS + REQUEST_MAX_MS) // CLOCK_DRIFT_DIVISOR
)

NO_SLOTS = Fraction(0)
HALF_OF_SLOTS = Fraction(1, 2)
ALL_SLOTS = Fraction(1)


def slot_share(
    claim: Claim,
    now_ms: int,
    owned_since_ms: int,
    caught_up_ms: int | None,
    running_predecessors: int,
    stopped_at_ms: int | None,
    *,
    is_releasing: bool = False,
) -> Fraction:
    """Return the share of a group's slots that its owner may use.

    All times are local monotonic times in milliseconds.

    :param claim: the owner's claim.
    :param owned_since_ms: when the owner first saw the claim in the log.
    :param caught_up_ms: start of the newest complete read of the log, if any.
    :param running_predecessors: number of earlier owners that may not know
        of the claim yet.
    :param stopped_at_ms: when all earlier owners were known to have stopped,
        or nothing while one may still act as owner.
    :param is_releasing: whether the owner is handing the group over.
    :return: from 0 to 1.
    """
    share = _share_beside_predecessors(
        claim, now_ms, owned_since_ms, running_predecessors, stopped_at_ms
    )
    is_confirmed = (
        caught_up_ms is not None and now_ms - caught_up_ms <= CLAIM_MAX_AGE_MS
    )
    if is_confirmed and not is_releasing:
        return share
    return min(share, HALF_OF_SLOTS)


def _share_beside_predecessors(
    claim: Claim,
    now_ms: int,
    owned_since_ms: int,
    running_predecessors: int,
    stopped_at_ms: int | None,
) -> Fraction:
    if claim.epoch == FIRST_EPOCH:
        return ALL_SLOTS
    # Two earlier owners may already use one half each.
    if running_predecessors > 1:
        return NO_SLOTS
    has_drained = (
        stopped_at_ms is not None and now_ms - stopped_at_ms > REQUEST_MAX_MS
    )
    if has_drained:
        return ALL_SLOTS
    if claim.after_release and not running_predecessors:
        return HALF_OF_SLOTS
    if now_ms - owned_since_ms > SHRUNK_AFTER_MS:
        return HALF_OF_SLOTS
    return NO_SLOTS
