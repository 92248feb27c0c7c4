"""How many slots of a group its owner may use while ownership moves.

Backend servers keep no leases, so owners bound themselves: an owner that
has not confirmed its claim for ``CONFIRM_MS`` keeps to one half, and a
successor uses the other half, and only after the earlier owner must have
shrunk to its half.
"""

from __future__ import annotations

from fractions import Fraction
from typing import TYPE_CHECKING

from magnoliapitch.ownership.fence import DRIFT_DIVISOR
from magnoliapitch.ownership.fence import FIRST_EPOCH


if TYPE_CHECKING:
    from magnoliapitch.journal.state import Claim


CONFIRM_MS = 2_000
REQUEST_MAX_MS = 10_000
SHRUNK_AFTER_MS = (
    CONFIRM_MS
    + REQUEST_MAX_MS
    + (CONFIRM_MS + REQUEST_MAX_MS) // DRIFT_DIVISOR
)

NOTHING = Fraction(0)
HALF = Fraction(1, 2)
ALL = Fraction(1)


def slot_share(
    claim: Claim,
    now_ms: int,
    owned_since_ms: int,
    read_ms: int | None,
    running_predecessors: int,
    stopped_ms: int | None,
    *,
    is_releasing: bool = False,
) -> Fraction:
    """Return the part of a group's slots that its owner may use.

    :param claim: the owner's claim.
    :param now_ms: local time, as all times here.
    :param owned_since_ms: when the claim was first seen.
    :param read_ms: start of the newest complete read of the log.
    :param running_predecessors: earlier owners that may not know of it.
    :param stopped_ms: since when all of those have stopped.
    :param is_releasing: whether the owner is handing the group over.
    """
    grown = _grown_share(
        claim, now_ms, owned_since_ms, running_predecessors, stopped_ms
    )
    is_confirmed = read_ms is not None and now_ms - read_ms <= CONFIRM_MS
    if is_confirmed and not is_releasing:
        return grown
    return min(grown, HALF)


def _grown_share(
    claim: Claim,
    now_ms: int,
    owned_since_ms: int,
    running_predecessors: int,
    stopped_ms: int | None,
) -> Fraction:
    if claim.epoch == FIRST_EPOCH:
        return ALL
    if running_predecessors > 1:
        return NOTHING
    has_drained = (
        stopped_ms is not None and now_ms - stopped_ms > REQUEST_MAX_MS
    )
    if has_drained:
        return ALL
    if claim.after_release and not running_predecessors:
        return HALF
    if now_ms - owned_since_ms > SHRUNK_AFTER_MS:
        return HALF
    return NOTHING
