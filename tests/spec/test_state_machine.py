from __future__ import annotations

import pytest

from minicheck import check_safety

from magnoliapitch.spec.state_machine import state_machine_protocol
from magnoliapitch.spec.state_machine_world import Bounds
from magnoliapitch.spec.state_machine_world import Guards


EQUAL_STATES = "equal offsets, equal states"
COUNTED_ONCE = "each batch counts once"
REPLACED_ONCE = "one change replaces a version"
NEVER_REVERTS = "what is served never goes back"
APPENDS_ONLY = Bounds(
    max_records=3,
    max_batches=2,
    max_restarts=0,
    max_snapshots=0,
    max_log_outages=0,
)
SNAPSHOTS_ONLY = Bounds(
    max_records=4,
    max_batches=0,
    max_restarts=1,
    max_snapshots=1,
    max_log_outages=0,
)
OUTAGES_ONLY = Bounds(
    max_records=2,
    max_batches=0,
    max_restarts=1,
    max_snapshots=0,
    max_log_outages=1,
)
MAX_STATES_WITHOUT_GUARD = 20_000


@pytest.mark.parametrize(
    "bounds",
    [
        APPENDS_ONLY,
        SNAPSHOTS_ONLY,
        OUTAGES_ONLY,
        Bounds(
            max_records=2,
            max_batches=1,
            max_restarts=1,
            max_snapshots=1,
            max_log_outages=1,
        ),
    ],
)
def test_invariants_hold_in_every_state(bounds: Bounds) -> None:
    outcome = check_safety(state_machine_protocol(Guards(), bounds))
    assert outcome["exhaustive"]
    assert outcome["reachable_states"] > 1_000
    assert all(item["holds"] for item in outcome["properties"].values())


@pytest.mark.parametrize(
    ("guard", "bounds", "violated"),
    [
        ("skips_duplicates", APPENDS_ONLY, COUNTED_ONCE),
        ("sends_one_batch_at_a_time", APPENDS_ONLY, COUNTED_ONCE),
        ("checks_version", APPENDS_ONLY, REPLACED_ONCE),
        ("checks_snapshot_coverage", SNAPSHOTS_ONLY, EQUAL_STATES),
        ("waits_for_peer_offset", OUTAGES_ONLY, NEVER_REVERTS),
        ("keeps_newer_state", OUTAGES_ONLY, NEVER_REVERTS),
    ],
)
def test_missing_guard_violates_one_invariant(
    guard: str, bounds: Bounds, violated: str
) -> None:
    protocol = state_machine_protocol(Guards(**{guard: False}), bounds)
    outcome = check_safety(protocol, max_states=MAX_STATES_WITHOUT_GUARD)
    failed = {
        name
        for name, item in outcome["properties"].items()
        if item["holds"] is False
    }
    assert failed == {violated}


def test_every_guard_is_switched_off_once() -> None:
    marks = test_missing_guard_violates_one_invariant.pytestmark  # type: ignore[attr-defined]
    guards = {guard for guard, *_ in marks[0].args[1]}
    assert guards == set(Guards._fields)
