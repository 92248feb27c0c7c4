from __future__ import annotations

from magnoliapitch.planner.worker_backoff import MAX_BACKOFF_MS
from magnoliapitch.planner.worker_backoff import WorkerBackoff


def test_a_single_failure_does_not_avoid_the_worker() -> None:
    backoff = WorkerBackoff()
    backoff.record_failed("w", 0)
    assert not backoff.is_avoided("w", 0)


def test_consecutive_failures_avoid_the_worker_ever_longer() -> None:
    backoff = WorkerBackoff()
    pauses_ms = [backoff.record_failed("w", 0) for _ in range(8)]
    assert pauses_ms == sorted(pauses_ms)
    assert pauses_ms[-1] == MAX_BACKOFF_MS
    assert backoff.is_avoided("w", MAX_BACKOFF_MS - 1)
    assert not backoff.is_avoided("w", MAX_BACKOFF_MS)


def test_a_run_that_is_done_resets_the_worker() -> None:
    backoff = WorkerBackoff()
    for _ in range(4):
        backoff.record_failed("w", 0)
    backoff.record_done("w")
    assert not backoff.is_avoided("w", 0)
    assert backoff.record_failed("w", 0) == 0
