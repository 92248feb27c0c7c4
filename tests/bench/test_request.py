from __future__ import annotations

from magnoliapitch.bench.request import measure_paths


def test_bench_compares_the_paths_of_a_request() -> None:
    figures = measure_paths(20, 2)
    assert [item.path for item in figures] == ["direct", "owner", "peer"]
    assert all(item.requests == 20 for item in figures)
    assert figures[0].ratio == 1
    assert figures[0].added_p50_ms == 0
