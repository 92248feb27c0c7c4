"""Registry of the benchmarks that measure slopes."""

from __future__ import annotations

import gc
import time
import tracemalloc

from collections.abc import Callable
from typing import NamedTuple

from magnoliapitch.bench.slope import Point
from magnoliapitch.bench.slope import Slope


BuildItems = Callable[[int], object]
PrepareCall = Callable[[int], Callable[[], object]]
MeasureCost = Callable[[int], float]

PROCESSOR_UNIT = "processor us"
REPETITIONS = 5
MICROSECONDS_PER_SECOND = 1e6


class _SlopeBenchmark(NamedTuple):
    """Measurement of a cost at several sizes.

    :param unit: unit of the cost.
    :param sizes: numbers of items to measure.
    :param measure: returns the cost of a number of items.
    """

    unit: str
    sizes: tuple[int, ...]
    measure: MeasureCost


_benchmarks_by_name: dict[str, _SlopeBenchmark] = {}


def memory_slope(
    name: str, sizes: tuple[int, ...]
) -> Callable[[BuildItems], BuildItems]:
    """Register a function that builds ``size`` items, to measure memory.

    The cost is the memory that the returned object takes, in bytes.

    :param name: name of the slope.
    :param sizes: numbers of items to measure.
    """

    def register(build: BuildItems) -> BuildItems:
        def measure(size: int) -> float:
            gc.collect()
            tracemalloc.start()
            items = build(size)
            gc.collect()
            used_bytes, _ = tracemalloc.get_traced_memory()
            tracemalloc.stop()
            del items
            return float(used_bytes)

        direct_slope(name, "bytes", sizes)(measure)
        return build

    return register


def processor_slope(
    name: str, sizes: tuple[int, ...]
) -> Callable[[PrepareCall], PrepareCall]:
    """Register a function that prepares a call on ``size`` items.

    The cost is the processor time that the call takes in its thread, in
    microseconds; the smallest of several repetitions counts.

    :param name: name of the slope.
    :param sizes: numbers of items to measure.
    """

    def register(prepare: PrepareCall) -> PrepareCall:
        def measure(size: int) -> float:
            return min(
                _processor_us(prepare(size)) for _ in range(REPETITIONS)
            )

        direct_slope(name, PROCESSOR_UNIT, sizes)(measure)
        return prepare

    return register


def direct_slope(
    name: str, unit: str, sizes: tuple[int, ...]
) -> Callable[[MeasureCost], MeasureCost]:
    """Register a function that returns the cost of ``size`` items.

    :param name: name of the slope.
    :param unit: unit of the cost.
    :param sizes: numbers of items to measure.
    """

    def register(measure: MeasureCost) -> MeasureCost:
        _benchmarks_by_name[name] = _SlopeBenchmark(unit, sizes, measure)
        return measure

    return register


def size_slope(
    name: str, sizes: tuple[int, ...]
) -> Callable[[MeasureCost], MeasureCost]:
    """Register a function that returns the bytes of ``size`` items.

    :param name: name of the slope.
    :param sizes: numbers of items to measure.
    """
    return direct_slope(name, "bytes on the wire", sizes)


def measure_slopes() -> tuple[Slope, ...]:
    """Run all registered benchmarks in the order of their names."""
    return tuple(
        Slope.from_points(
            name,
            benchmark.unit,
            tuple(
                Point(size, benchmark.measure(size))
                for size in benchmark.sizes
            ),
        )
        for name, benchmark in sorted(_benchmarks_by_name.items())
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
