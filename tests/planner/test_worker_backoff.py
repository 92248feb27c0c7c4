from __future__ import annotations

from magnoliapitch.planner.worker_backoff import MAX_BACKOFF_MS
from magnoliapitch.planner.worker_backoff import WorkerBackoff


def test_a_single_failure_is_the_task_s_own() -> None:
    trust = WorkerBackoff()
    trust.record_failed("w", 0)
    assert not trust.is_avoided("w", 0)


def test_failures_in_a_row_are_avoided_ever_longer() -> None:
    trust = WorkerBackoff()
    pauses = [trust.record_failed("w", 0) for _ in range(8)]
    assert pauses == sorted(pauses)
    assert pauses[-1] == MAX_BACKOFF_MS
    assert trust.is_avoided("w", MAX_BACKOFF_MS - 1)
    assert not trust.is_avoided("w", MAX_BACKOFF_MS)


def test_a_run_that_is_done_clears_the_worker() -> None:
    trust = WorkerBackoff()
    for _ in range(4):
        trust.record_failed("w", 0)
    trust.record_done("w")
    assert not trust.is_avoided("w", 0)
    assert trust.record_failed("w", 0) == 0
