from __future__ import annotations

import pytest

from minicheck import check_safety

from magnoliapitch.spec.fold import Bounds
from magnoliapitch.spec.fold import Guards
from magnoliapitch.spec.fold import fold_protocol


EQUAL = "equal offsets, equal states"
ONCE = "each batch counts once"
WINNER = "one change replaces a version"
SERVED = "what is served never goes back"
APPENDS = Bounds(records=3, batches=2, restarts=0, snapshots=0, cuts=0)
HISTORY = Bounds(records=4, batches=0, restarts=1, snapshots=1, cuts=0)
CUTS = Bounds(records=2, batches=0, restarts=1, snapshots=0, cuts=1)
MUTANT_STATES_MAX = 20_000


@pytest.mark.parametrize(
    "bounds",
    [
        APPENDS,
        HISTORY,
        CUTS,
        Bounds(records=2, batches=1, restarts=1, snapshots=1, cuts=1),
    ],
)
def test_fold_keeps_its_promises_in_every_state(bounds: Bounds) -> None:
    outcome = check_safety(fold_protocol(Guards(), bounds))
    assert outcome["exhaustive"]
    assert outcome["reachable_states"] > 1_000
    assert all(item["holds"] for item in outcome["properties"].values())


@pytest.mark.parametrize(
    ("guard", "bounds", "broken"),
    [
        ("dedups", APPENDS, ONCE),
        ("one_outstanding", APPENDS, ONCE),
        ("checks_version", APPENDS, WINNER),
        ("checks_cover", HISTORY, EQUAL),
        ("asks_peers", CUTS, SERVED),
        ("keeps_later", CUTS, SERVED),
    ],
)
def test_fold_without_a_guard_is_refuted(
    guard: str, bounds: Bounds, broken: str
) -> None:
    protocol = fold_protocol(Guards(**{guard: False}), bounds)
    outcome = check_safety(protocol, max_states=MUTANT_STATES_MAX)
    failed = {
        name
        for name, item in outcome["properties"].items()
        if item["holds"] is False
    }
    assert failed == {broken}


def test_every_guard_has_a_mutant() -> None:
    marks = test_fold_without_a_guard_is_refuted.pytestmark  # type: ignore[attr-defined]
    guards = {guard for guard, *_ in marks[0].args[1]}
    assert guards == set(Guards._fields)
