"""Fake workers: tasks run in injected time and contend for processors.

Processors are shared in proportion when tasks want more than a worker has.
Memory is not shared: an overrun ends the task that is furthest above its
reservation.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

from magnoliapitch.resource import Resources


if TYPE_CHECKING:
    from magnoliapitch.decision.interface import WorkerShape


class RunSpec(NamedTuple):
    """What one attempt does when nothing holds it back.

    :param run_ms: run time that is left.
    """

    task_id: str
    usage: Resources
    run_ms: float
    reserved: Resources


class PlannedEnd(NamedTuple):
    """When an attempt ends unless its worker's load changes."""

    at_ms: int
    task_id: str
    generation: int


class FakeTask:
    """A running attempt.

    :ivar left_ms: run time left at full speed.
    :ivar delivered: processor use so far, in milliseconds of a
        thousandth of a core.
    :ivar peak_delivered: the part of it within the peak.
    """

    __slots__ = (
        "cpu_limit",
        "delivered",
        "generation",
        "left_ms",
        "peak_delivered",
        "rate",
        "reserved",
        "spec",
        "updated_ms",
    )

    def __init__(self, spec: RunSpec, now_ms: int) -> None:
        self.spec = spec
        self.reserved = spec.reserved
        self.left_ms = spec.run_ms
        self.delivered = 0.0
        self.peak_delivered = 0.0
        self.rate = 0.0
        self.cpu_limit = spec.usage.cpu_millis
        self.generation = 0
        self.updated_ms = now_ms

    def wanted(self) -> int:
        """Return the processors it would use, in thousandths."""
        return min(self.spec.usage.cpu_millis, self.cpu_limit)

    def usage(self) -> Resources:
        """Return what it uses now."""
        return self.spec.usage._replace(cpu_millis=int(self.rate))


class FakeWorker:
    """One worker.

    :param peak_ms: interval in which delivered work is counted apart.
    """

    def __init__(self, shape: WorkerShape, peak_ms: tuple[int, int]) -> None:
        self.shape = shape
        self.tasks_by_id: dict[str, FakeTask] = {}
        self._peak_ms = peak_ms
        self._is_contended = False

    def start(self, spec: RunSpec, now_ms: int) -> list[PlannedEnd]:
        """Start an attempt; return the ends that follow from it."""
        self._settle(now_ms)
        self.tasks_by_id[spec.task_id] = FakeTask(spec, now_ms)
        return self._plan(now_ms, spec.task_id)

    def end(self, task_id: str, now_ms: int) -> list[PlannedEnd]:
        """End an attempt; return the ends that follow from it."""
        self._settle(now_ms)
        self.tasks_by_id.pop(task_id, None)
        return self._plan(now_ms, "")

    def throttle(
        self, task_id: str, cpu_millis: int, now_ms: int
    ) -> list[PlannedEnd]:
        """Bound the processor use of an attempt."""
        self._settle(now_ms)
        self.tasks_by_id[task_id].cpu_limit = max(1, cpu_millis)
        self._is_contended = True
        return self._plan(now_ms, task_id)

    def overrun(self) -> str:
        """Return the attempt that a lack of memory ends, or ''."""
        used_mb = sum(
            task.spec.usage.memory_mb for task in self.tasks_by_id.values()
        )
        if used_mb <= self.shape.capacity.memory_mb:
            return ""
        return max(
            self.tasks_by_id,
            key=lambda task_id: _excess_mb(self.tasks_by_id[task_id]),
        )

    def used_cpu_millis(self) -> float:
        """Return the processors in use, in thousandths."""
        return sum(task.rate for task in self.tasks_by_id.values())

    def _settle(self, now_ms: int) -> None:
        for task in self.tasks_by_id.values():
            elapsed_ms = now_ms - task.updated_ms
            if elapsed_ms <= 0:
                continue
            task.left_ms -= elapsed_ms * task.rate / _demand(task)
            task.delivered += elapsed_ms * task.rate
            begin_ms = max(task.updated_ms, self._peak_ms[0])
            overlap_ms = max(0, min(now_ms, self._peak_ms[1]) - begin_ms)
            task.peak_delivered += overlap_ms * task.rate
            task.updated_ms = now_ms

    def _plan(self, now_ms: int, changed: str) -> list[PlannedEnd]:
        wanted = sum(task.wanted() for task in self.tasks_by_id.values())
        capacity = self.shape.capacity.cpu_millis
        share = min(1.0, capacity / wanted) if wanted else 1.0
        was_contended = self._is_contended
        self._is_contended = share < 1.0
        ends = []
        for task_id, task in self.tasks_by_id.items():
            is_steady = not (was_contended or self._is_contended)
            if is_steady and task_id != changed:
                continue
            task.rate = task.wanted() * share
            task.generation += 1
            duration_ms = max(0.0, task.left_ms) * _demand(task) / task.rate
            at_ms = now_ms + int(duration_ms) + 1
            ends.append(PlannedEnd(at_ms, task_id, task.generation))
        return ends


def _demand(task: FakeTask) -> int:
    return max(1, task.spec.usage.cpu_millis)


def _excess_mb(task: FakeTask) -> int:
    return task.spec.usage.memory_mb - task.reserved.memory_mb
