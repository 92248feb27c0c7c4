from __future__ import annotations

import math

from magnoliapitch.bench.decisions.scale import measure_decision_cost
from magnoliapitch.decision.placement import MAX_EXAMINED_WORKERS
from magnoliapitch.decision.placement import MAX_FALLBACK_WORKERS


STARTS = 800


def test_work_per_start_grows_at_most_with_the_logarithm_of_workers() -> None:
    few = measure_decision_cost(24, 1_000, starts=STARTS)
    many = measure_decision_cost(1_200, 1_000, starts=STARTS)
    growth = math.log(1_200) / math.log(24)
    assert 0 < many.examined_per_start <= growth * few.examined_per_start
    assert (
        many.examined_per_start <= MAX_EXAMINED_WORKERS + MAX_FALLBACK_WORKERS
    )


def test_work_per_start_does_not_grow_with_the_queue() -> None:
    short = measure_decision_cost(24, 1_000, starts=STARTS)
    long = measure_decision_cost(24, 50_000, starts=STARTS)
    assert 0 < long.examined_per_start <= 2 * short.examined_per_start
