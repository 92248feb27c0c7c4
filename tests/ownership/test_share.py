from __future__ import annotations

from fractions import Fraction

from magnoliapitch.journal.state import Claim
from magnoliapitch.ownership.assignment import assign_units
from magnoliapitch.ownership.share import CLAIM_MAX_AGE_MS
from magnoliapitch.ownership.share import REQUEST_MAX_MS
from magnoliapitch.ownership.share import SHRUNK_AFTER_MS
from magnoliapitch.ownership.share import slot_share


FIRST_CLAIM = Claim("g", "z", "a", 1, 0)
TAKEOVER_CLAIM = Claim("g", "z", "b", 2, 0, predecessors=("a",))
HALF = Fraction(1, 2)


def test_share_halves_when_the_claim_is_not_confirmed() -> None:
    assert (
        slot_share(FIRST_CLAIM, 9_000, 0, 9_000 - CLAIM_MAX_AGE_MS, 0, 0) == 1
    )
    assert (
        slot_share(FIRST_CLAIM, 9_001, 0, 9_000 - CLAIM_MAX_AGE_MS, 0, 0)
        == HALF
    )
    assert slot_share(FIRST_CLAIM, 9_000, 0, None, 0, 0) == HALF


def test_share_of_old_and_new_owner_never_exceeds_the_whole() -> None:
    partitioned_ms = 1_000
    for now_ms in range(
        partitioned_ms, partitioned_ms + 3 * SHRUNK_AFTER_MS, 100
    ):
        old_share = slot_share(FIRST_CLAIM, now_ms, 0, partitioned_ms, 0, 0)
        in_flight_share = slot_share(
            FIRST_CLAIM, now_ms - REQUEST_MAX_MS, 0, partitioned_ms, 0, 0
        )
        new_share = slot_share(
            TAKEOVER_CLAIM, now_ms, partitioned_ms, now_ms, 1, None
        )
        assert max(old_share, in_flight_share) + new_share <= 1


def test_share_grows_once_the_predecessor_has_stopped_and_drained() -> None:
    now_ms = 100_000
    stopped_ms = now_ms - REQUEST_MAX_MS
    assert slot_share(TAKEOVER_CLAIM, now_ms, 0, now_ms, 0, stopped_ms) == HALF
    assert (
        slot_share(TAKEOVER_CLAIM, now_ms, 0, now_ms, 0, stopped_ms - 1) == 1
    )
    assert slot_share(TAKEOVER_CLAIM, now_ms, 0, now_ms, 2, None) == 0


def test_assign_is_even_and_moves_few_units() -> None:
    units = [f"rack-{number}" for number in range(64)]
    before = assign_units(units, ("a", "b", "c", "d"))
    after = assign_units(units, ("a", "b", "c", "d", "e"))
    loads = [list(after.values()).count(item) for item in "abcde"]
    assert max(loads) == 13
    moved = sum(before[unit] != after[unit] for unit in units)
    assert moved <= 26
    assert assign_units(units, ()) == {}
