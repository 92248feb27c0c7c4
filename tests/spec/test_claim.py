from __future__ import annotations

import minicheck
import pytest

from magnoliapitch.spec.claim import claim_protocol
from magnoliapitch.spec.claim_state import Bounds
from magnoliapitch.spec.claim_state import Guards
from magnoliapitch.spec.claim_state import InitialState


ALL_GUARDS = Guards()
MAX_STATES = 60_000
ONE_WORKER = Bounds(max_clock_ticks=(4,))
SHORT_CLOCK = Bounds(max_clock_ticks=(2,))
LONG_CLOCK = Bounds(max_clock_ticks=(5,))
ONE_RESTART = Bounds(max_clock_ticks=(2,), max_restarts=1)
SAME_TASK = Bounds(
    max_clock_ticks=(2, 2), ttl_ticks=1, max_messages=1, is_same_task=True
)
LATE = Bounds(
    max_clock_ticks=(4, 3), is_same_task=True, initial_state=InitialState.LATE
)
BUSY = LATE._replace(initial_state=InitialState.BUSY)


def all_properties_hold(
    guards: Guards, bounds: Bounds, max_states: int
) -> bool | None:
    protocol = claim_protocol(guards, bounds)
    properties = minicheck.check_safety(protocol, max_states)["properties"]
    results = [item["holds"] for item in properties.values()]
    if False in results:
        return False
    return None if None in results else True


@pytest.mark.parametrize(
    ("guards", "bounds"),
    [
        (ALL_GUARDS, ONE_WORKER),
        (ALL_GUARDS, ONE_RESTART),
        (ALL_GUARDS, SAME_TASK),
        (ALL_GUARDS, LATE),
        (ALL_GUARDS, BUSY),
    ],
    ids=("capacity", "restart", "same-task", "late", "busy"),
)
def test_properties_hold_in_every_state(
    guards: Guards, bounds: Bounds
) -> None:
    assert all_properties_hold(guards, bounds, MAX_STATES) is True


@pytest.mark.parametrize(
    ("guards", "bounds", "max_states"),
    [
        (
            ALL_GUARDS._replace(stops_on_higher_epoch=False),
            LONG_CLOCK,
            MAX_STATES,
        ),
        (ALL_GUARDS._replace(waits_after_claim=False), LONG_CLOCK, 10_000),
        (ALL_GUARDS._replace(absolute_expiry=False), SHORT_CLOCK, MAX_STATES),
        (
            ALL_GUARDS._replace(
                grants_end_with_claim=False, claims_after_log_read=False
            ),
            ONE_WORKER,
            MAX_STATES,
        ),
        (ALL_GUARDS._replace(checks_boot=False), ONE_RESTART, 70_000),
        (
            ALL_GUARDS._replace(claims_after_log_read=False),
            LATE._replace(max_clock_ticks=(3, 3), max_messages=1),
            5_000,
        ),
        (
            ALL_GUARDS._replace(waits_for_previous_attempt=False),
            SAME_TASK,
            20_000,
        ),
        (ALL_GUARDS._replace(settles_on_all_workers=False), BUSY, 5_000),
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
def test_missing_guard_violates_a_property(
    guards: Guards, bounds: Bounds, max_states: int
) -> None:
    assert all_properties_hold(guards, bounds, max_states) is False
