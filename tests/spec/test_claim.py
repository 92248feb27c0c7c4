from __future__ import annotations

import minicheck
import pytest

from magnoliapitch.spec.claim import claim_protocol
from magnoliapitch.spec.claim_state import Bounds
from magnoliapitch.spec.claim_state import Guards
from magnoliapitch.spec.claim_state import Start


ALL = Guards()
STATES_MAX = 60_000
CAPACITY = Bounds(horizons=(4,))
SHORT = Bounds(horizons=(2,))
LONG = Bounds(horizons=(5,))
RESTART = Bounds(horizons=(2,), restarts=1)
SAME_TASK = Bounds(horizons=(2, 2), ttl=1, messages=1, same_task=True)
LATE = Bounds(horizons=(4, 3), same_task=True, start=Start.LATE)
BUSY = LATE._replace(start=Start.BUSY)


def holds(guards: Guards, bounds: Bounds, states: int) -> bool | None:
    protocol = claim_protocol(guards, bounds)
    properties = minicheck.check_safety(protocol, states)["properties"]
    found = [item["holds"] for item in properties.values()]
    if False in found:
        return False
    return None if None in found else True


@pytest.mark.parametrize(
    ("guards", "bounds"),
    [
        (ALL, CAPACITY),
        (ALL, RESTART),
        (ALL, SAME_TASK),
        (ALL, LATE),
        (ALL, BUSY),
    ],
    ids=("capacity", "restart", "same-task", "late", "busy"),
)
def test_claim_holds_in_every_state(guards: Guards, bounds: Bounds) -> None:
    assert holds(guards, bounds, STATES_MAX) is True


@pytest.mark.parametrize(
    ("guards", "bounds", "states"),
    [
        (ALL._replace(yields=False), LONG, STATES_MAX),
        (ALL._replace(waits=False), LONG, 10_000),
        (ALL._replace(absolute_expiry=False), SHORT, STATES_MAX),
        (
            ALL._replace(within_claim=False, confirms=False),
            CAPACITY,
            STATES_MAX,
        ),
        (ALL._replace(names_boot=False), RESTART, 70_000),
        (
            ALL._replace(confirms=False),
            LATE._replace(horizons=(3, 3), messages=1),
            5_000,
        ),
        (ALL._replace(waits_for_end=False), SAME_TASK, 20_000),
        (ALL._replace(settles_all=False), BUSY, 5_000),
    ],
    ids=(
        "no-epoch-check",
        "no-wait",
        "expiry-from-receipt",
        "beyond-claim",
        "no-boot",
        "no-log-check",
        "no-wait-for-end",
        "not-all-workers",
    ),
)
def test_claim_finds_the_missing_guard(
    guards: Guards, bounds: Bounds, states: int
) -> None:
    assert holds(guards, bounds, states) is False
