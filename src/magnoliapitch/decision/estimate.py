"""Learns how far declared sizes and run times are off, per entry."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hdrh.histogram import HdrHistogram

from magnoliapitch.resource import Resources


if TYPE_CHECKING:
    from magnoliapitch.policy.options import PolicyWeights


PER_MILLE = 1_000
MAX_RATIO = 100 * PER_MILLE
SIGNIFICANT_DIGITS = 2
MIN_SAMPLES = 8
RUN_PERCENTILE = 75.0
SHORTEST_PERCENTILE = 1.0
BOUND_RATIOS = (100, 4_000)


class LearnedRatio:
    """Percentiles of a measured value as a share of the declared one.

    Percentiles are computed again only after the number of samples has
    grown by an eighth, since computing one is dear.
    """

    def __init__(self, percentile: float) -> None:
        self.samples = 0
        self.value = PER_MILLE
        self.lowest = 0
        self._percentile = percentile
        self._next_update = MIN_SAMPLES
        self._histogram = HdrHistogram(1, MAX_RATIO, SIGNIFICANT_DIGITS)

    def record(self, measured: int, declared: int) -> bool:
        """Count a sample; return whether the value was computed again."""
        if declared <= 0 or measured <= 0:
            return False
        ratio = min(max(measured * PER_MILLE // declared, 1), MAX_RATIO)
        self._histogram.record_value(ratio)
        self.samples += 1
        if self.samples < self._next_update:
            return False
        self._next_update = self.samples + max(1, self.samples // 8)
        at = self._histogram.get_value_at_percentile
        low, high = BOUND_RATIOS
        self.value = min(max(int(at(self._percentile)), low), high)
        self.lowest = int(at(SHORTEST_PERCENTILE))
        return True

    def apply(self, declared: int) -> int:
        """Return the corrected value."""
        return declared * self.value // PER_MILLE


class EntryEstimate:
    """What is learned about one catalogue entry.

    :ivar version: increases whenever a corrected value changes.
    """

    def __init__(self, weights: PolicyWeights) -> None:
        self.version = 0
        self._cpu = LearnedRatio(weights.cpu_percentile)
        self._memory = LearnedRatio(weights.memory_percentile)
        self._run = LearnedRatio(RUN_PERCENTILE)

    def size(self, declared: Resources) -> Resources:
        """Return what to reserve for a declared size."""
        return Resources(
            max(1, self._cpu.apply(declared.cpu_millis)),
            max(1, self._memory.apply(declared.memory_mb)),
            declared.accelerators,
        )

    def run_ms(self, declared_ms: int) -> int:
        """Return the expected run time."""
        return max(1, self._run.apply(declared_ms))

    def shortest_ms(self, declared_ms: int) -> int:
        """Return the shortest run time known, 0 if none is."""
        return declared_ms * self._run.lowest // PER_MILLE

    def record_usage(self, peak: Resources, declared: Resources) -> None:
        """Learn from the use that was reported of a task."""
        cpu = self._cpu.record(peak.cpu_millis, declared.cpu_millis)
        memory = self._memory.record(peak.memory_mb, declared.memory_mb)
        self.version += cpu or memory

    def record_run(self, run_ms: int, declared_ms: int) -> None:
        """Learn from the run time of a finished task."""
        self.version += self._run.record(run_ms, declared_ms)


class Estimates:
    """Estimates of all entries.

    :param learns: whether samples are taken in at all.
    """

    def __init__(self, weights: PolicyWeights, learns: bool) -> None:
        self._weights = weights
        self._learns = learns
        self._by_entry: dict[str, EntryEstimate] = {}

    def of(self, entry: str) -> EntryEstimate:
        """Return the estimate of an entry."""
        found = self._by_entry.get(entry)
        if found is None:
            found = EntryEstimate(self._weights)
            self._by_entry[entry] = found
        return found

    def record_usage(
        self, entry: str, peak: Resources, declared: Resources
    ) -> None:
        """Learn from the use that was reported of a task."""
        if self._learns:
            self.of(entry).record_usage(peak, declared)

    def record_run(self, entry: str, run_ms: int, declared_ms: int) -> None:
        """Learn from the run time of a finished task."""
        if self._learns:
            self.of(entry).record_run(run_ms, declared_ms)
