from __future__ import annotations

import pytest

from minicheck import check_safety

from magnoliapitch.spec.ticket import Mutant
from magnoliapitch.spec.ticket import ticket_protocol


AT_MOST_ONE_RUN = "at most one run"
NO_RUN_AFTER_NOT_RUN = "no run after not_run"


@pytest.mark.parametrize(
    ("is_key", "reachable_states"), [(False, 54), (True, 13_904)]
)
def test_invariants_hold_in_every_state(
    is_key: bool, reachable_states: int
) -> None:
    result = check_safety(ticket_protocol(is_key=is_key))
    assert result["exhaustive"]
    assert result["reachable_states"] == reachable_states
    assert all(item["holds"] for item in result["properties"].values())


@pytest.mark.parametrize(
    ("mutant", "is_key", "violated"),
    [
        (Mutant.NO_HOLDER_CHECK, False, AT_MOST_ONE_RUN),
        (Mutant.NO_HOLDER_CHECK, True, AT_MOST_ONE_RUN),
        (Mutant.DISPATCH_FORGOTTEN, False, AT_MOST_ONE_RUN),
        (Mutant.DISPATCH_FORGOTTEN, True, AT_MOST_ONE_RUN),
        (Mutant.DISPATCH_BEFORE_APPLYING, True, AT_MOST_ONE_RUN),
        (Mutant.DISPATCH_ON_APPLYING, True, NO_RUN_AFTER_NOT_RUN),
        (Mutant.RUN_WHEN_HOLDER_GONE, False, AT_MOST_ONE_RUN),
        (Mutant.RUN_WHEN_HOLDER_GONE, True, AT_MOST_ONE_RUN),
    ],
)
def test_mutant_violates_an_invariant(
    mutant: Mutant, is_key: bool, violated: str
) -> None:
    protocol = ticket_protocol(is_key=is_key, mutant=mutant)
    result = check_safety(protocol)
    assert result["properties"][violated]["holds"] is False
    assert result["properties"][violated]["counterexample"]
