from __future__ import annotations

import pytest

from magnoliapitch.control.round_pacing import MAX_PLANNING_SHARE
from magnoliapitch.control.round_pacing import ROUND_INTERVAL_MS
from magnoliapitch.control.round_pacing import round_pause_ms


def test_short_rounds_follow_each_other_at_the_interval() -> None:
    assert round_pause_ms(loop_ms=3, round_ms=2) == ROUND_INTERVAL_MS - 3


# Incident SHORT: rounds that took longer than their interval followed each
# other without a pause, so that orders and answers waited for the processor.
@pytest.mark.parametrize("round_ms", [6, 10, 40, 200])
def test_planning_takes_a_bounded_share_of_the_time(round_ms: int) -> None:
    pause_ms = round_pause_ms(round_ms + 1, round_ms)
    assert round_ms <= MAX_PLANNING_SHARE * (round_ms + pause_ms)


def test_time_spent_on_events_is_no_reason_for_a_pause() -> None:
    assert round_pause_ms(loop_ms=300, round_ms=2) == 2
