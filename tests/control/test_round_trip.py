from __future__ import annotations

from magnoliapitch.control.round_trip import MAX_TIMEOUT_MS
from magnoliapitch.control.round_trip import MIN_TIMEOUT_MS
from magnoliapitch.control.round_trip import RoundTripEstimator


def test_timeout_follows_slow_round_trips() -> None:
    estimator = RoundTripEstimator()
    for duration_ms in (350.0, 450.0) * 50:
        estimator.record_answered(duration_ms)
    assert 500 < estimator.timeout_ms() <= 800


def test_timeout_of_fast_round_trips_is_the_shortest_one() -> None:
    estimator = RoundTripEstimator()
    for _ in range(100):
        estimator.record_answered(3.0)
    assert estimator.timeout_ms() == MIN_TIMEOUT_MS


def test_a_silent_zone_of_three_does_not_lengthen_the_timeout() -> None:
    estimator = RoundTripEstimator()
    for _ in range(200):
        estimator.record_answered(3.0)
        estimator.record_answered(3.0)
        estimator.record_unanswered()
    assert estimator.timeout_ms() == MIN_TIMEOUT_MS


def test_timeout_doubles_while_most_calls_stay_unanswered() -> None:
    estimator = RoundTripEstimator()
    timeouts_ms = {estimator.timeout_ms()}
    for _ in range(200):
        estimator.record_unanswered()
        timeouts_ms.add(estimator.timeout_ms())
    assert sorted(timeouts_ms) == [150, 300, 600, 1_200]
    assert estimator.timeout_ms() <= MAX_TIMEOUT_MS
    for _ in range(100):
        estimator.record_answered(3.0)
    assert estimator.timeout_ms() == MIN_TIMEOUT_MS
