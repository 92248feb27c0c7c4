"""Simulated workers whose tasks contend for processors in simulated time.

When the tasks of a worker demand more processors than it has, each gets a
part in proportion to its demand. Memory is not divided in this way: if the
tasks use more than the worker has, the replay fails the attempt whose use
is furthest above its reservation.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

from magnoliapitch.resource import Resources


if TYPE_CHECKING:
    from magnoliapitch.decision.interface import WorkerShape


class AttemptSpec(NamedTuple):
    """Behaviour of one attempt when it is neither throttled nor contended.

    :param actual_usage: resources that the attempt uses at full speed.
    :param run_ms: run time at full speed that remains for the task.
    :param reserved: resources that the scheduler reserved for it.
    """

    attempt_id: str
    actual_usage: Resources
    run_ms: float
    reserved: Resources


class PredictedEnd(NamedTuple):
    """When an attempt will finish unless its processor rate changes.

    :param generation: generation of the attempt at the prediction; the
        prediction is obsolete when the attempt has another one.
    """

    at_ms: int
    attempt_id: str
    generation: int


class RunningAttempt:
    """An attempt that runs on a simulated worker.

    :ivar remaining_ms: run time left at full speed.
    :ivar delivered_millicore_ms: processor time received so far; the unit is
        one thousandth of a core for one millisecond.
    :ivar peak_delivered_millicore_ms: the part of it that falls within the
        peak interval.
    :ivar rate_millicores: processor rate since ``updated_ms``.
    :ivar cpu_limit_millis: upper bound of the rate; throttling lowers it.
    :ivar generation: number of changes of the rate; predicted ends of an
        earlier generation are obsolete.
    """

    __slots__ = (
        "cpu_limit_millis",
        "delivered_millicore_ms",
        "generation",
        "peak_delivered_millicore_ms",
        "rate_millicores",
        "remaining_ms",
        "reserved",
        "spec",
        "updated_ms",
    )

    def __init__(self, spec: AttemptSpec, now_ms: int) -> None:
        self.spec = spec
        self.reserved = spec.reserved
        self.remaining_ms = spec.run_ms
        self.delivered_millicore_ms = 0.0
        self.peak_delivered_millicore_ms = 0.0
        self.rate_millicores = 0.0
        self.cpu_limit_millis = spec.actual_usage.cpu_millis
        self.generation = 0
        self.updated_ms = now_ms

    def cpu_demand_millis(self) -> int:
        """Return the processors it can use, in thousandths of a core."""
        return min(self.spec.actual_usage.cpu_millis, self.cpu_limit_millis)

    def current_usage(self) -> Resources:
        """Return the resources that the attempt uses now."""
        return self.spec.actual_usage._replace(
            cpu_millis=int(self.rate_millicores)
        )


class SimulatedWorker:
    """A worker that runs attempts in simulated time.

    :param peak_interval_ms: start and end of the peak interval, whose
        processor time is counted separately.
    """

    def __init__(
        self, shape: WorkerShape, peak_interval_ms: tuple[int, int]
    ) -> None:
        self.shape = shape
        self.attempts_by_id: dict[str, RunningAttempt] = {}
        self._peak_interval_ms = peak_interval_ms
        self._is_contended = False

    def start(self, spec: AttemptSpec, now_ms: int) -> list[PredictedEnd]:
        """Start an attempt; return the predicted ends that change."""
        self._advance_progress(now_ms)
        self.attempts_by_id[spec.attempt_id] = RunningAttempt(spec, now_ms)
        return self._reschedule_ends(now_ms, spec.attempt_id)

    def end(self, attempt_id: str, now_ms: int) -> list[PredictedEnd]:
        """Remove an attempt; return the predicted ends that change."""
        self._advance_progress(now_ms)
        self.attempts_by_id.pop(attempt_id, None)
        return self._reschedule_ends(now_ms, "")

    def throttle(
        self, attempt_id: str, cpu_millis: int, now_ms: int
    ) -> list[PredictedEnd]:
        """Limit the processor rate of an attempt.

        :param cpu_millis: new limit, in thousandths of a core.
        :return: the predicted ends that change.
        """
        self._advance_progress(now_ms)
        self.attempts_by_id[attempt_id].cpu_limit_millis = max(1, cpu_millis)
        self._is_contended = True
        return self._reschedule_ends(now_ms, attempt_id)

    def memory_overrun_victim(self) -> str:
        """Return the attempt to fail for lack of memory, "" for none."""
        used_mb = sum(
            attempt.spec.actual_usage.memory_mb
            for attempt in self.attempts_by_id.values()
        )
        if used_mb <= self.shape.capacity.memory_mb:
            return ""
        return max(
            self.attempts_by_id,
            key=lambda attempt_id: _memory_above_reservation_mb(
                self.attempts_by_id[attempt_id]
            ),
        )

    def used_cpu_millis(self) -> float:
        """Return the processors in use, in thousandths of a core."""
        return sum(
            attempt.rate_millicores for attempt in self.attempts_by_id.values()
        )

    def _advance_progress(self, now_ms: int) -> None:
        for attempt in self.attempts_by_id.values():
            elapsed_ms = now_ms - attempt.updated_ms
            if elapsed_ms <= 0:
                continue
            attempt.remaining_ms -= (
                elapsed_ms
                * attempt.rate_millicores
                / _unthrottled_cpu_millis(attempt)
            )
            attempt.delivered_millicore_ms += (
                elapsed_ms * attempt.rate_millicores
            )
            counted_from_ms = max(
                attempt.updated_ms, self._peak_interval_ms[0]
            )
            overlap_ms = max(
                0, min(now_ms, self._peak_interval_ms[1]) - counted_from_ms
            )
            attempt.peak_delivered_millicore_ms += (
                overlap_ms * attempt.rate_millicores
            )
            attempt.updated_ms = now_ms

    def _reschedule_ends(
        self, now_ms: int, changed_attempt_id: str
    ) -> list[PredictedEnd]:
        total_demand_millis = sum(
            attempt.cpu_demand_millis()
            for attempt in self.attempts_by_id.values()
        )
        capacity_millis = self.shape.capacity.cpu_millis
        granted_share = (
            min(1.0, capacity_millis / total_demand_millis)
            if total_demand_millis
            else 1.0
        )
        was_contended = self._is_contended
        self._is_contended = granted_share < 1.0
        predicted_ends = []
        for attempt_id, attempt in self.attempts_by_id.items():
            is_steady = not (was_contended or self._is_contended)
            if is_steady and attempt_id != changed_attempt_id:
                continue
            attempt.rate_millicores = (
                attempt.cpu_demand_millis() * granted_share
            )
            attempt.generation += 1
            duration_ms = (
                max(0.0, attempt.remaining_ms)
                * _unthrottled_cpu_millis(attempt)
                / attempt.rate_millicores
            )
            at_ms = now_ms + int(duration_ms) + 1
            predicted_ends.append(
                PredictedEnd(at_ms, attempt_id, attempt.generation)
            )
        return predicted_ends


def _unthrottled_cpu_millis(attempt: RunningAttempt) -> int:
    return max(1, attempt.spec.actual_usage.cpu_millis)


def _memory_above_reservation_mb(attempt: RunningAttempt) -> int:
    return attempt.spec.actual_usage.memory_mb - attempt.reserved.memory_mb
