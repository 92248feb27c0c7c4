"""Registry of measured slopes."""

from __future__ import annotations

import gc
import time
import tracemalloc

from collections.abc import Callable
from typing import NamedTuple

from magnoliapitch.bench.slope import Point
from magnoliapitch.bench.slope import Slope


Build = Callable[[int], object]
Prepare = Callable[[int], Callable[[], object]]
Measure = Callable[[int], float]

PROCESSOR_UNIT = "processor us"
RUNS = 5
MICROSECONDS_PER_SECOND = 1e6


class _Bench(NamedTuple):
    unit: str
    sizes: tuple[int, ...]
    measure: Measure


_benches_by_name: dict[str, _Bench] = {}


def memory_slope(
    name: str, sizes: tuple[int, ...]
) -> Callable[[Build], Build]:
    """Register a function that builds ``size`` things to weigh in bytes."""

    def register(build: Build) -> Build:
        def measure(size: int) -> float:
            gc.collect()
            tracemalloc.start()
            held = build(size)
            gc.collect()
            used, _ = tracemalloc.get_traced_memory()
            tracemalloc.stop()
            del held
            return float(used)

        direct_slope(name, "bytes", sizes)(measure)
        return build

    return register


def processor_slope(
    name: str, sizes: tuple[int, ...]
) -> Callable[[Prepare], Prepare]:
    """Register a function that prepares work on ``size`` things.

    The prepared call is timed in processor microseconds of its thread;
    the smallest of several runs counts.
    """

    def register(prepare: Prepare) -> Prepare:
        def measure(size: int) -> float:
            return min(_processor_us(prepare(size)) for _ in range(RUNS))

        direct_slope(name, PROCESSOR_UNIT, sizes)(measure)
        return prepare

    return register


def direct_slope(
    name: str, unit: str, sizes: tuple[int, ...]
) -> Callable[[Measure], Measure]:
    """Register a function that returns the cost of ``size`` things."""

    def register(measure: Measure) -> Measure:
        _benches_by_name[name] = _Bench(unit, sizes, measure)
        return measure

    return register


def size_slope(
    name: str, sizes: tuple[int, ...]
) -> Callable[[Measure], Measure]:
    """Register a function that returns the bytes of ``size`` things."""
    return direct_slope(name, "bytes on the wire", sizes)


def measure_slopes() -> tuple[Slope, ...]:
    """Run every registered measurement in the order of its name."""
    return tuple(
        Slope.from_points(
            name,
            bench.unit,
            tuple(Point(size, bench.measure(size)) for size in bench.sizes),
        )
        for name, bench in sorted(_benches_by_name.items())
    )


def _processor_us(call: Callable[[], object]) -> float:
    gc.collect()
    gc.disable()
    try:
        started_s = time.thread_time()
        call()
        return (time.thread_time() - started_s) * MICROSECONDS_PER_SECOND
    finally:
        gc.enable()
