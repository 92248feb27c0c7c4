from __future__ import annotations

import pytest

from magnoliapitch.bench.capacity.registry import memory_slope
from magnoliapitch.bench.slope import Point
from magnoliapitch.bench.slope import Slope


def test_slope_fits_a_line_and_its_largest_distance() -> None:
    points = tuple(Point(size, 7.0 + 3.0 * size) for size in (1, 2, 4, 8))
    exact = Slope.from_points("x", "bytes", points)
    assert exact.per_item == pytest.approx(3.0)
    assert exact.fixed == pytest.approx(7.0)
    assert exact.residual == pytest.approx(0.0, abs=1e-9)
    bent = Slope.from_points("x", "bytes", (*points[:3], Point(8, 62.0)))
    assert bent.residual > 0.05


def test_slope_refuses_fewer_than_four_sizes() -> None:
    points = (Point(1, 1.0), Point(1, 1.0), Point(2, 2.0), Point(3, 3.0))
    with pytest.raises(ValueError, match="four sizes"):
        Slope.from_points("x", "bytes", points)


def test_memory_slope_measures_the_memory_of_the_returned_object() -> None:
    name = "memory of a test buffer"
    memory_slope(name, (10, 20, 40, 80))(
        lambda size: [bytes(10_000) for _ in range(size)]
    )
    from magnoliapitch.bench.capacity import registry

    benchmark = registry._benchmarks_by_name.pop(name)
    slope = Slope.from_points(
        name,
        benchmark.unit,
        tuple(
            Point(size, benchmark.measure(size)) for size in benchmark.sizes
        ),
    )
    assert slope.per_item == pytest.approx(10_040, rel=0.02)
