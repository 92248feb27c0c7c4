from __future__ import annotations

from magnoliapitch.bench.decisions.scale import decision_cost


STARTS = 800


def test_work_per_start_does_not_grow_with_workers() -> None:
    few = decision_cost(24, 1_000, starts=STARTS)
    many = decision_cost(1_200, 1_000, starts=STARTS)
    assert 0 < many.probes_per_start <= 2 * few.probes_per_start


def test_work_per_start_does_not_grow_with_the_queue() -> None:
    short = decision_cost(24, 1_000, starts=STARTS)
    long = decision_cost(24, 50_000, starts=STARTS)
    assert 0 < long.probes_per_start <= 2 * short.probes_per_start
