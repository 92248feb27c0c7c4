from __future__ import annotations

from magnoliapitch.planner.worker_backoff import LONGEST_PAUSE_MS
from magnoliapitch.planner.worker_backoff import Trust


def test_a_single_failure_is_the_task_s_own() -> None:
    trust = Trust()
    trust.note_failed("w", 0)
    assert not trust.is_avoided("w", 0)


def test_failures_in_a_row_are_avoided_ever_longer() -> None:
    trust = Trust()
    pauses = [trust.note_failed("w", 0) for _ in range(8)]
    assert pauses == sorted(pauses)
    assert pauses[-1] == LONGEST_PAUSE_MS
    assert trust.is_avoided("w", LONGEST_PAUSE_MS - 1)
    assert not trust.is_avoided("w", LONGEST_PAUSE_MS)


def test_a_run_that_is_done_clears_the_worker() -> None:
    trust = Trust()
    for _ in range(4):
        trust.note_failed("w", 0)
    trust.note_done("w")
    assert not trust.is_avoided("w", 0)
    assert trust.note_failed("w", 0) == 0
