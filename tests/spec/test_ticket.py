from __future__ import annotations

import pytest

from minicheck import check_safety

from magnoliapitch.spec.ticket import Mutant
from magnoliapitch.spec.ticket import ticket_protocol


ONE_RUN = "at most one run"
TOLD = "no run after not_run"


@pytest.mark.parametrize(("is_key", "states"), [(False, 54), (True, 13_904)])
def test_ticket_protocol_keeps_its_promises(is_key: bool, states: int) -> None:
    result = check_safety(ticket_protocol(is_key=is_key))
    assert result["exhaustive"]
    assert result["reachable_states"] == states
    assert all(item["holds"] for item in result["properties"].values())


@pytest.mark.parametrize(
    ("mutant", "is_key", "broken"),
    [
        (Mutant.NO_HOLDER_CHECK, False, ONE_RUN),
        (Mutant.NO_HOLDER_CHECK, True, ONE_RUN),
        (Mutant.USED_FORGOTTEN, False, ONE_RUN),
        (Mutant.USED_FORGOTTEN, True, ONE_RUN),
        (Mutant.DISPATCH_BEFORE_FOLD, True, ONE_RUN),
        (Mutant.DISPATCH_ON_FOLD, True, TOLD),
        (Mutant.RUN_WHEN_HOLDER_GONE, False, ONE_RUN),
        (Mutant.RUN_WHEN_HOLDER_GONE, True, ONE_RUN),
    ],
)
def test_ticket_protocol_without_a_guard_is_refuted(
    mutant: Mutant, is_key: bool, broken: str
) -> None:
    protocol = ticket_protocol(is_key=is_key, mutant=mutant)
    result = check_safety(protocol)
    assert result["properties"][broken]["holds"] is False
    assert result["properties"][broken]["counterexample"]
