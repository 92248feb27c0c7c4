"""Figures collected while a trace is replayed."""

from __future__ import annotations

import time

from typing import TYPE_CHECKING
from typing import NamedTuple

from hdrh.histogram import HdrHistogram

from magnoliapitch.catalogue.entry import WorkClass


if TYPE_CHECKING:
    from magnoliapitch.bench.decisions.replayed_job import ReplayedTask
    from magnoliapitch.resource import Resources


MAX_WAIT_MS = 7 * 86_400_000
MAX_DECISION_NS = 60_000_000_000
HISTOGRAM_SIGNIFICANT_DIGITS = 3


class WaitSummary(NamedTuple):
    """Waiting times of one work class, in milliseconds of simulated time.

    A task waits from the arrival of its job to its first start.

    :param started: number of tasks that started.
    :param never: number of tasks that had not started when the replay ended.
    :param gap_ms: longest time in which tasks of the class waited without
        one of them starting or being cancelled.
    """

    started: int
    never: int
    p50_ms: int
    p99_ms: int
    max_ms: int
    gap_ms: int


class Sample(NamedTuple):
    """Processors of all workers at one moment, in thousandths of a core.

    :param at_ms: simulated time.
    """

    at_ms: int
    reserved_millis: int
    used_millis: int
    capacity_millis: int


class CostSummary(NamedTuple):
    """Real time that the scheduler spent.

    :param decisions: number of calls of ``decide``.
    :param p50_us: median wall time of such a call.
    :param p99_us: 99th percentile of the wall time of such a call.
    :param cpu_us_per_start: processor time of all calls of the scheduler,
        divided by the number of starts.
    """

    decisions: int
    p50_us: float
    p99_us: float
    cpu_us_per_start: float


class ClassWaits:
    """Counts the tasks of one work class that wait for their first start."""

    def __init__(self) -> None:
        self.waiting = 0
        self.never = 0
        self._gap_began_ms = 0
        self._longest_gap_ms = 0
        self._histogram = HdrHistogram(
            1, MAX_WAIT_MS, HISTOGRAM_SIGNIFICANT_DIGITS
        )

    def record_arrival(self, now_ms: int) -> None:
        """Count a task that begins to wait for its first start."""
        if self.waiting == 0:
            self._gap_began_ms = now_ms
        self.waiting += 1

    def record_first_start(self, wait_ms: int, now_ms: int) -> None:
        """Record the waiting time of a task that starts for the first time."""
        self._histogram.record_value(max(1, wait_ms))
        self.stop_waiting(now_ms)

    def stop_waiting(self, now_ms: int) -> None:
        """Count a task that no longer waits, started or cancelled."""
        self._longest_gap_ms = max(
            self._longest_gap_ms, now_ms - self._gap_began_ms
        )
        self._gap_began_ms = now_ms
        self.waiting -= 1

    def summarize(self, now_ms: int) -> WaitSummary:
        """Return the waiting times; the replay ends at ``now_ms``."""
        if self.waiting:
            self._longest_gap_ms = max(
                self._longest_gap_ms, now_ms - self._gap_began_ms
            )
        percentile = self._histogram.get_value_at_percentile
        return WaitSummary(
            int(self._histogram.get_total_count()),
            self.waiting,
            int(percentile(50)),
            int(percentile(99)),
            int(self._histogram.get_max_value()),
            self._longest_gap_ms,
        )


class Recorder:
    """Collects the figures of one replay.

    Work is processor time; its unit is one thousandth of a core for one
    millisecond.

    :ivar samples: processors reserved and used over time.
    :ivar peak_bulk_millicore_ms: work of batch and gang jobs within the
        peak interval, without that of attempts that failed or were stopped
        or lost.
    :ivar peak_millicore_ms_by_owner: the same for jobs of all classes.
    :ivar lost_millicore_ms: work of attempts that failed or were stopped or
        lost, within the peak interval or not.
    :ivar memory_overruns: how often a worker ran out of memory.
    :ivar failures: number of failed attempts.
    """

    def __init__(self) -> None:
        self.samples: list[Sample] = []
        self.peak_bulk_millicore_ms = 0.0
        self.peak_millicore_ms_by_owner: dict[str, float] = {}
        self.lost_millicore_ms = 0.0
        self.evictions_by_action: dict[str, int] = {}
        self.memory_overruns = 0
        self.failures = 0
        self.starts = 0
        self._waits_by_class = {item: ClassWaits() for item in WorkClass}
        self._decision_ns = HdrHistogram(
            1, MAX_DECISION_NS, HISTOGRAM_SIGNIFICANT_DIGITS
        )
        self._decision_count = 0
        self._scheduler_cpu_ns = 0

    def record_arrival(self, task: ReplayedTask, now_ms: int) -> None:
        """Count a task that begins to wait for its first start."""
        self._waits_by_class[task.traced_job.entry.work_class].record_arrival(
            now_ms
        )

    def record_start(self, task: ReplayedTask, now_ms: int) -> None:
        """Count a start and, if it is the task's first, its waiting time."""
        self.starts += 1
        if task.started_ms >= 0:
            return
        task.started_ms = now_ms
        waits = self._waits_by_class[task.traced_job.entry.work_class]
        waits.record_first_start(now_ms - task.traced_job.arrives_ms, now_ms)

    def record_cancellation(self, task: ReplayedTask, now_ms: int) -> None:
        """Count a task that is cancelled before its first start."""
        self._waits_by_class[task.traced_job.entry.work_class].stop_waiting(
            now_ms
        )

    def record_useful_work(
        self, task: ReplayedTask, peak_millicore_ms: float
    ) -> None:
        """Add the work of an attempt whose result was kept.

        :param peak_millicore_ms: its work within the peak interval.
        """
        if task.traced_job.is_bulk:
            self.peak_bulk_millicore_ms += peak_millicore_ms
        owner = task.traced_job.entry.owner
        earlier_millicore_ms = self.peak_millicore_ms_by_owner.get(owner, 0.0)
        self.peak_millicore_ms_by_owner[owner] = (
            earlier_millicore_ms + peak_millicore_ms
        )

    def record_eviction(self, action: str) -> None:
        """Count an eviction."""
        count = self.evictions_by_action.get(action, 0)
        self.evictions_by_action[action] = count + 1

    def record_sample(
        self, now_ms: int, reserved: Resources, used: float, capacity: int
    ) -> None:
        """Record the processors reserved, used and present."""
        self.samples.append(
            Sample(now_ms, reserved.cpu_millis, int(used), capacity)
        )

    def record_cpu_time(self, cpu_ns: int) -> None:
        """Add processor time that the scheduler used."""
        self._scheduler_cpu_ns += cpu_ns

    def record_decision(self, duration_ns: int) -> None:
        """Record the wall time of one decision."""
        self._decision_count += 1
        self._decision_ns.record_value(max(1, duration_ns))

    def wait_summaries(self, now_ms: int) -> dict[str, WaitSummary]:
        """Return the waiting times by work class."""
        return {
            str(work_class): waits.summarize(now_ms)
            for work_class, waits in self._waits_by_class.items()
        }

    def cost_summary(self) -> CostSummary:
        """Return the real time that the scheduler spent."""
        percentile = self._decision_ns.get_value_at_percentile
        return CostSummary(
            self._decision_count,
            percentile(50) / 1_000,
            percentile(99) / 1_000,
            self._scheduler_cpu_ns / 1_000 / max(1, self.starts),
        )


class CpuMeter:
    """Context manager that records the processor time of its block.

    :param recorder: recorder to which the time is added.
    """

    def __init__(self, recorder: Recorder) -> None:
        self._recorder = recorder
        self._started_ns = 0

    def __enter__(self) -> None:
        self._started_ns = time.process_time_ns()

    def __exit__(self, *error: object) -> None:
        self._recorder.record_cpu_time(
            time.process_time_ns() - self._started_ns
        )
