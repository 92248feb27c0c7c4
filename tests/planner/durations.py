"""Finished tasks of made-up queues, for the tests of learned durations."""

from __future__ import annotations

import random

from typing import TYPE_CHECKING
from typing import NamedTuple

from magnoliapitch.planner.duration import LearnedDurations
from magnoliapitch.planner.duration.measurement import FinishedTask
from magnoliapitch.planner.duration.step_work import StepWork


if TYPE_CHECKING:
    from collections.abc import Iterator


TASK_INTERVAL_MS = 20


class QueueLoad(NamedTuple):
    """Tasks of one queue.

    :param estimate_error: deviation of the logarithm of the estimates.
    :param step_spread: deviation of the logarithm of the work of steps.
    :param task_spread: the same of the tasks of one step.
    :param tail_share: share of the tasks that take 7 times as long.
    :param declared_share: median of the estimates, as a share of the work.
    """

    name: str = "q"
    work_ms: float = 540.0
    task_count: int = 3
    estimate_error: float = 0.2
    step_spread: float = 0.5
    task_spread: float = 0.2
    tail_share: float = 0.0
    declared_share: float = 1.0


class Site:
    """Workers of given speeds that end tasks, one every 20 ms."""

    def __init__(self, speed_by_worker: dict[str, float]) -> None:
        self.speed_by_worker = speed_by_worker
        self.learned = LearnedDurations()
        self.now_ms = 0
        self.random = random.Random(1)
        self.kind_by_worker = dict.fromkeys(speed_by_worker, "a")
        self.refresh()

    def refresh(self) -> None:
        """Pass the list of workers on."""
        self.learned.set_workers(self.kind_by_worker, self.now_ms)

    def run(self, load: QueueLoad, step_count: int) -> None:
        """Let the tasks of steps end on random workers."""
        for number in range(step_count):
            self.run_step(load)
            if number % 10 == 9:
                self.refresh()
        self.refresh()

    def run_step(self, load: QueueLoad) -> tuple[float, float, StepWork]:
        """Let the tasks of one step end.

        :return: its work in ms, its declared estimate, its finished tasks.
        """
        work_ms = load.work_ms * self._factor(load.step_spread)
        declared_ms = work_ms * load.declared_share
        estimate_ms = declared_ms * self._factor(load.estimate_error)
        step_work = StepWork()
        ends = sorted(self._ends(load, work_ms))
        for number, (duration_ms, worker) in enumerate(ends, 1):
            self.add(
                load,
                estimate_ms,
                step_work,
                (worker,),
                duration_ms,
                number == load.task_count,
            )
        return work_ms, estimate_ms, step_work

    def _ends(
        self, load: QueueLoad, work_ms: float
    ) -> Iterator[tuple[float, str]]:
        """Yield durations and workers of tasks that start together."""
        for _ in range(load.task_count):
            worker = self.random.choice(list(self.speed_by_worker))
            is_tail = self.random.random() < load.tail_share
            work_of_task_ms = work_ms * self._factor(load.task_spread)
            duration_ms = work_of_task_ms * (7 if is_tail else 1)
            yield duration_ms / self.speed_by_worker[worker], worker

    def add(
        self,
        load: QueueLoad,
        estimate_ms: float,
        step_work: StepWork,
        workers: tuple[str, ...],
        duration_ms: float,
        is_last: bool = True,
    ) -> None:
        """Let one task end; a gang has several workers."""
        self.now_ms += TASK_INTERVAL_MS
        is_gang = len(workers) > 1
        self.learned.add(
            FinishedTask(
                load.name,
                estimate_ms,
                1.0 if is_gang else 1.0 / load.task_count,
                step_work,
                workers,
                duration_ms,
                not is_gang,
                is_last,
            ),
            self.now_ms,
        )

    def log_speed(self, worker: str) -> float:
        """Return the logarithm of a learned speed."""
        return self.learned.speeds.estimate(worker).log_speed

    def _factor(self, spread: float) -> float:
        return self.random.lognormvariate(0, spread)


def uneven_speeds(count: int = 30) -> dict[str, float]:
    """Return workers of which a third is fast and the others are slow."""
    return {
        f"w{number}": 1.7 if number % 3 == 0 else 0.7
        for number in range(count)
    }


__all__ = ["QueueLoad", "Site", "uneven_speeds"]
