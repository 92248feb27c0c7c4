"""Durations learned from the work of queues and the speeds of workers."""

from __future__ import annotations

import math

from typing import TYPE_CHECKING

from magnoliapitch.planner.duration.measurement import finished_task
from magnoliapitch.planner.duration.queue_work import QueueWork
from magnoliapitch.planner.duration.speed_table import SpeedTable
from magnoliapitch.planner.duration.speed_table import kind_of
from magnoliapitch.planner.duration.speed_table import log_speed_of_class
from magnoliapitch.planner.duration.spread import LogDuration
from magnoliapitch.planner.duration.spread import exp_ms
from magnoliapitch.planner.duration.spread import log_ms


if TYPE_CHECKING:
    from collections.abc import Mapping

    from magnoliapitch.planner.duration.measurement import FinishedTask
    from magnoliapitch.planner.duration.step_work import StepWork
    from magnoliapitch.planner.tracked import TrackedRun
    from magnoliapitch.planner.tracked import TrackedStep
    from magnoliapitch.planner.tracked import TrackedWorker


REFRESH_INTERVAL_MS = 1_000
# Queues whose figures are kept; those of the least weight are dropped first.
MAX_QUEUES = 2_000
# Deviations that a task may take longer than expected and still be in time.
IN_TIME_DEVIATIONS = 1.0
# Progress below this is too little to tell the speed of a run.
MIN_TELLING_PERCENT = 5.0


class LearnedDurations:
    """Durations as work divided by speed, in logarithms.

    :ivar work_by_queue: learned work by name of the queue.
    :ivar speeds: learned speeds of the workers.
    """

    def __init__(self) -> None:
        self.work_by_queue: dict[str, QueueWork] = {}
        self.speeds = SpeedTable()
        self._refreshed_ms: int | None = None

    def expected_ms(self, step: TrackedStep) -> float:
        """Return the nominal duration of one task of a step, in ms."""
        return self.work(step).median_ms()

    def expected_ms_on(self, step: TrackedStep, worker_id: str) -> float:
        """Return the expected duration of one task on a worker, in ms."""
        return self._distribution(step, worker_id).median_ms()

    def remaining_ms(self, run: TrackedRun, now_ms: int) -> float:
        """Return the expected time until an active run ends, in ms.

        Reported progress tells it better than the elapsed time. A resumed run
        has done part of its work before.
        """
        started_ms = (
            run.ordered_ms if run.started_ms is None else run.started_ms
        )
        elapsed_ms = max(0, now_ms - started_ms)
        distribution = self._distribution(run.task.step, run.worker_id)
        if run.percent < MIN_TELLING_PERCENT:
            return distribution.remaining_ms(elapsed_ms)
        remaining_share = max(0.0, 100 - run.percent) / 100
        since_report_ms = max(0, now_ms - (run.confirmed_ms or now_ms))
        if run.is_resumed or run.is_restored:
            total_ms = distribution.median_ms()
        else:
            total_ms = (elapsed_ms - since_report_ms) * 100 / run.percent
        return max(0.0, remaining_share * total_ms - since_report_ms)

    def late_quantile_ms(
        self, step: TrackedStep, worker_id: str, quantile: float
    ) -> float:
        """Return a duration that a share of the tasks does not exceed.

        :param quantile: that share, between 0 and 1.
        """
        return self._distribution(step, worker_id).quantile_ms(quantile)

    def probable_ms(self, step: TrackedStep, available_ms: float) -> float:
        """Return the expected duration where the step will probably run.

        That is on the slowest workers on which it is in time, or else on the
        fastest.
        """
        log_work, margin = self.in_time_terms(step)
        for number in self.speeds.classes:
            log_duration = log_work - log_speed_of_class(number)
            if exp_ms(log_duration + margin) <= available_ms:
                break
        return exp_ms(log_duration)

    def in_time_terms(self, step: TrackedStep) -> tuple[float, float]:
        """Return the logarithm of a step's work, and of its margin.

        The margin is only for the tasks of the step. The error of its whole
        work changes its objective too, which is a multiple of its duration.
        """
        variance = self._task_variance(step)
        return self.work(step).mean, IN_TIME_DEVIATIONS * math.sqrt(variance)

    def work(self, step: TrackedStep) -> LogDuration:
        """Return the mean work of the tasks of a step."""
        queue_work = self._queue_work(step.job.queue.name)
        return step.finished_work.corrected(
            queue_work.expected(float(step.spec.estimate_ms)),
            queue_work.figures.task_variance,
        )

    def record_done(self, run: TrackedRun, now_ms: int) -> None:
        """Learn from a run that was done and is not removed yet."""
        task = finished_task(run)
        if task is not None:
            self.add(task, now_ms)

    def add(self, task: FinishedTask, now_ms: int) -> None:
        """Learn from the measured duration of a task."""
        queue_work = self._queue_work(task.queue)
        self.work_by_queue[task.queue] = queue_work
        task_variance = queue_work.figures.task_variance
        expected = task.step_work.corrected(
            queue_work.expected(task.declared_ms), task_variance
        )
        log_duration = log_ms(task.duration_ms)
        log_speed = min(
            self.speeds.estimate(worker_id).log_speed
            for worker_id in task.worker_ids
        )
        if task.tells_speed:
            self.speeds.add_sample(
                task.worker_ids[0],
                expected.mean - log_duration,
                expected.variance + task_variance,
                now_ms,
            )
        log_work = log_duration + log_speed
        queue_work.add(task.declared_ms, log_work, task.share)
        self._add_to_step(task.step_work, queue_work, log_work)

    def expected_of(
        self, queue: str, declared_ms: float, step_work: StepWork
    ) -> LogDuration:
        """Return the mean work of a step's tasks.

        :param declared_ms: declared estimate; 0 if there is none.
        """
        queue_work = self._queue_work(queue)
        return step_work.corrected(
            queue_work.expected(declared_ms), queue_work.figures.task_variance
        )

    def refresh(
        self, workers_by_id: Mapping[str, TrackedWorker], now_ms: int
    ) -> None:
        """Add new workers, drop those that are gone, at most once a second."""
        if (
            self._refreshed_ms is not None
            and now_ms - self._refreshed_ms < REFRESH_INTERVAL_MS
        ):
            return
        self._refreshed_ms = now_ms
        kind_by_id = {
            worker_id: kind_of(worker.info.labels, worker.info.rack)
            for worker_id, worker in workers_by_id.items()
            if worker.info is not None
        }
        self.set_workers(kind_by_id, now_ms)

    def set_workers(self, kind_by_id: Mapping[str, str], now_ms: int) -> None:
        """Set the listed workers, and express all for their mean speed.

        :param kind_by_id: kind of each worker, from its labels.
        """
        self.speeds.set_workers(kind_by_id, now_ms)
        shift = self.speeds.normalise()
        for queue_work in self.work_by_queue.values():
            queue_work.shift(-shift)
        self.speeds.classify()

    def _queue_work(self, queue: str) -> QueueWork:
        queue_work = self.work_by_queue.get(queue)
        if queue_work is None:
            queue_work = self.work_by_queue[queue] = QueueWork()
            self._drop_excess_queues()
        return queue_work

    def _drop_excess_queues(self) -> None:
        if len(self.work_by_queue) <= MAX_QUEUES:
            return
        least = min(
            self.work_by_queue,
            key=lambda name: self.work_by_queue[name].figures.weight,
        )
        del self.work_by_queue[least]

    def _add_to_step(
        self, step_work: StepWork, queue_work: QueueWork, log_work: float
    ) -> None:
        squared = step_work.add(log_work)
        if squared is not None:
            queue_work.add_task_deviation(squared)

    def _task_variance(self, step: TrackedStep) -> float:
        return self._queue_work(step.job.queue.name).figures.task_variance

    def _distribution(self, step: TrackedStep, worker_id: str) -> LogDuration:
        work = self.work(step)
        log_speed, variance = self.speeds.estimate(worker_id)
        return LogDuration(
            work.mean - log_speed,
            work.variance + variance + self._task_variance(step),
        )


__all__ = ["LearnedDurations"]
