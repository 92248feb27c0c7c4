"""Estimates of the real sizes and run times of tasks, by entry."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hdrh.histogram import HdrHistogram

from magnoliapitch.resource import Resources


if TYPE_CHECKING:
    from magnoliapitch.policy.options import PolicyWeights


PER_MILLE = 1_000
MAX_RATIO_PER_MILLE = 100 * PER_MILLE
HISTOGRAM_SIGNIFICANT_DIGITS = 2
MIN_SAMPLE_COUNT = 8
RUN_TIME_PERCENTILE = 75.0
SHORTEST_RUN_PERCENTILE = 1.0
CORRECTION_BOUNDS_PER_MILLE = (100, 4_000)


class LearnedRatio:
    """Percentile of the ratio of measured to declared values.

    A percentile is expensive to compute, so it is updated only once the
    number of samples has grown by an eighth.

    :param percentile: percentile of the ratio to use, 0 to 100.
    :ivar ratio_per_mille: this percentile, within the correction bounds.
    :ivar lowest_per_mille: first percentile; 0 until there are enough
        samples.
    """

    def __init__(self, percentile: float) -> None:
        self.sample_count = 0
        self.ratio_per_mille = PER_MILLE
        self.lowest_per_mille = 0
        self._percentile = percentile
        self._next_update = MIN_SAMPLE_COUNT
        self._histogram = HdrHistogram(
            1, MAX_RATIO_PER_MILLE, HISTOGRAM_SIGNIFICANT_DIGITS
        )

    def record(self, measured: int, declared: int) -> bool:
        """Add a sample; return whether the percentiles were updated."""
        if declared <= 0 or measured <= 0:
            return False
        ratio = min(
            max(measured * PER_MILLE // declared, 1), MAX_RATIO_PER_MILLE
        )
        self._histogram.record_value(ratio)
        self.sample_count += 1
        if self.sample_count < self._next_update:
            return False
        self._next_update = self.sample_count + max(1, self.sample_count // 8)
        percentile_value = self._histogram.get_value_at_percentile
        low, high = CORRECTION_BOUNDS_PER_MILLE
        self.ratio_per_mille = min(
            max(int(percentile_value(self._percentile)), low), high
        )
        self.lowest_per_mille = int(percentile_value(SHORTEST_RUN_PERCENTILE))
        return True

    def correct(self, declared: int) -> int:
        """Return a declared value, corrected by the ratio."""
        return declared * self.ratio_per_mille // PER_MILLE


class EntryEstimate:
    """Estimates for the tasks of one catalogue entry.

    :ivar version: counter that grows with each update of an estimate.
    """

    def __init__(self, weights: PolicyWeights) -> None:
        self.version = 0
        self._cpu = LearnedRatio(weights.cpu_percentile)
        self._memory = LearnedRatio(weights.memory_percentile)
        self._run = LearnedRatio(RUN_TIME_PERCENTILE)

    def size(self, declared: Resources) -> Resources:
        """Return the resources to reserve for a declared size."""
        return Resources(
            max(1, self._cpu.correct(declared.cpu_millis)),
            max(1, self._memory.correct(declared.memory_mb)),
            declared.accelerators,
        )

    def run_ms(self, declared_ms: int) -> int:
        """Return the expected run time in milliseconds."""
        return max(1, self._run.correct(declared_ms))

    def shortest_ms(self, declared_ms: int) -> int:
        """Return the shortest likely run time in ms, 0 if it is unknown."""
        return declared_ms * self._run.lowest_per_mille // PER_MILLE

    def record_usage(self, peak_usage: Resources, declared: Resources) -> None:
        """Record the peak usage of a task."""
        cpu = self._cpu.record(peak_usage.cpu_millis, declared.cpu_millis)
        memory = self._memory.record(peak_usage.memory_mb, declared.memory_mb)
        self.version += cpu or memory

    def record_run(self, run_ms: int, declared_ms: int) -> None:
        """Record the run time of a finished task."""
        self.version += self._run.record(run_ms, declared_ms)


class Estimates:
    """Estimates of all catalogue entries.

    :param is_enabled: whether samples are recorded at all.
    """

    def __init__(self, weights: PolicyWeights, is_enabled: bool) -> None:
        self._weights = weights
        self._is_enabled = is_enabled
        self._by_entry: dict[str, EntryEstimate] = {}

    def for_entry(self, entry: str) -> EntryEstimate:
        """Return the estimate of an entry; create it if there is none."""
        found = self._by_entry.get(entry)
        if found is None:
            found = EntryEstimate(self._weights)
            self._by_entry[entry] = found
        return found

    def record_usage(
        self, entry: str, peak_usage: Resources, declared: Resources
    ) -> None:
        """Record the peak usage of a task."""
        if self._is_enabled:
            self.for_entry(entry).record_usage(peak_usage, declared)

    def record_run(self, entry: str, run_ms: int, declared_ms: int) -> None:
        """Record the run time of a finished task."""
        if self._is_enabled:
            self.for_entry(entry).record_run(run_ms, declared_ms)
