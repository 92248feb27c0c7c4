"""Measures of one run."""

from __future__ import annotations

import time

from typing import TYPE_CHECKING
from typing import NamedTuple

from hdrh.histogram import HdrHistogram

from magnoliapitch.catalogue.entry import WorkClass


if TYPE_CHECKING:
    from magnoliapitch.bench.decisions.replayed_job import TaskRun
    from magnoliapitch.resource import Resources


MAX_WAIT_MS = 7 * 86_400_000
MAX_DECISION_NS = 60_000_000_000
SIGNIFICANT_DIGITS = 3


class WaitSummary(NamedTuple):
    """Waits of one class, in milliseconds of injected time.

    :param never: tasks that had not started when the run ended.
    :param gap_ms: longest time in which the class waited and none started.
    """

    started: int
    never: int
    p50_ms: int
    p99_ms: int
    max_ms: int
    gap_ms: int


class Sample(NamedTuple):
    """State of the workers at one moment, in thousandths of a core."""

    at_ms: int
    reserved_millis: int
    used_millis: int
    capacity_millis: int


class CostSummary(NamedTuple):
    """Cost of deciding, in wall and processor time."""

    decisions: int
    p50_us: float
    p99_us: float
    cpu_us_per_start: float


class ClassWaits:
    """Waiting tasks of one class."""

    def __init__(self) -> None:
        self.waiting = 0
        self.never = 0
        self._since_ms = 0
        self._gap_ms = 0
        self._histogram = HdrHistogram(1, MAX_WAIT_MS, SIGNIFICANT_DIGITS)

    def arrive(self, now_ms: int) -> None:
        """Count a task that waits for its first start."""
        if self.waiting == 0:
            self._since_ms = now_ms
        self.waiting += 1

    def start(self, wait_ms: int, now_ms: int) -> None:
        """Count a first start."""
        self._histogram.record_value(max(1, wait_ms))
        self.leave(now_ms)

    def leave(self, now_ms: int) -> None:
        """Count a task that no longer waits."""
        self._gap_ms = max(self._gap_ms, now_ms - self._since_ms)
        self._since_ms = now_ms
        self.waiting -= 1

    def close(self, now_ms: int) -> WaitSummary:
        """Return the summary at the end of the run."""
        if self.waiting:
            self._gap_ms = max(self._gap_ms, now_ms - self._since_ms)
        at = self._histogram.get_value_at_percentile
        return WaitSummary(
            int(self._histogram.get_total_count()),
            self.waiting,
            int(at(50)),
            int(at(99)),
            int(self._histogram.get_max_value()),
            self._gap_ms,
        )


class Recorder:
    """Collects the measures of one run.

    :ivar samples: processors reserved and used over time.
    :ivar peak_bulk: bulk work done within the peak that was not lost.
    :ivar peak_by_owner: work of all classes done within the peak.
    :ivar lost_work: work that failed, was stopped or lost.
    """

    def __init__(self) -> None:
        self.samples: list[Sample] = []
        self.peak_bulk = 0.0
        self.peak_by_owner: dict[str, float] = {}
        self.lost_work = 0.0
        self.evictions_by_action: dict[str, int] = {}
        self.overruns = 0
        self.failures = 0
        self.starts = 0
        self._waits_by_class = {item: ClassWaits() for item in WorkClass}
        self._decision_ns = HdrHistogram(
            1, MAX_DECISION_NS, SIGNIFICANT_DIGITS
        )
        self._decisions = 0
        self._cpu_ns = 0

    def arrive(self, run: TaskRun, now_ms: int) -> None:
        """Count a task that waits for its first start."""
        self._waits_by_class[run.job.entry.work_class].arrive(now_ms)

    def start(self, run: TaskRun, now_ms: int) -> None:
        """Count a start."""
        self.starts += 1
        if run.started_ms >= 0:
            return
        run.started_ms = now_ms
        waits = self._waits_by_class[run.job.entry.work_class]
        waits.start(now_ms - run.job.arrives_ms, now_ms)

    def leave(self, run: TaskRun, now_ms: int) -> None:
        """Count a task that is cancelled before its first start."""
        self._waits_by_class[run.job.entry.work_class].leave(now_ms)

    def work(self, run: TaskRun, in_peak: float) -> None:
        """Count the work of an attempt that was of use."""
        if run.job.is_bulk:
            self.peak_bulk += in_peak
        owner = run.job.entry.owner
        earlier = self.peak_by_owner.get(owner, 0.0)
        self.peak_by_owner[owner] = earlier + in_peak

    def evict(self, action: str) -> None:
        """Count an eviction."""
        count = self.evictions_by_action.get(action, 0)
        self.evictions_by_action[action] = count + 1

    def sample(
        self, now_ms: int, reserved: Resources, used: float, capacity: int
    ) -> None:
        """Record the state of the workers."""
        self.samples.append(
            Sample(now_ms, reserved.cpu_millis, int(used), capacity)
        )

    def spend(self, cpu_ns: int) -> None:
        """Count processor time of the policy."""
        self._cpu_ns += cpu_ns

    def decide(self, duration_ns: int) -> None:
        """Count one decision."""
        self._decisions += 1
        self._decision_ns.record_value(max(1, duration_ns))

    def waits(self, now_ms: int) -> dict[str, WaitSummary]:
        """Return the waits by class."""
        return {
            str(work_class): waits.close(now_ms)
            for work_class, waits in self._waits_by_class.items()
        }

    def cost(self) -> CostSummary:
        """Return the cost of deciding."""
        at = self._decision_ns.get_value_at_percentile
        return CostSummary(
            self._decisions,
            at(50) / 1_000,
            at(99) / 1_000,
            self._cpu_ns / 1_000 / max(1, self.starts),
        )


class CpuMeter:
    """Measures the processor time of a block.

    :param recorder: where the time is counted.
    """

    def __init__(self, recorder: Recorder) -> None:
        self._recorder = recorder
        self._began_ns = 0

    def __enter__(self) -> None:
        self._began_ns = time.process_time_ns()

    def __exit__(self, *error: object) -> None:
        self._recorder.spend(time.process_time_ns() - self._began_ns)
