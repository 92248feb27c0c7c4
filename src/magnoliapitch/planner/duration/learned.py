"""Durations learned from the work of queues and the speeds of workers."""

from __future__ import annotations

import math

from collections import defaultdict
from functools import lru_cache
from statistics import NormalDist
from statistics import fmean
from typing import TYPE_CHECKING

from magnoliapitch.planner.duration.measurement import finished_task
from magnoliapitch.planner.duration.queue_work import MAX_DEVIATIONS
from magnoliapitch.planner.duration.queue_work import QueueWork
from magnoliapitch.planner.duration.speed_table import SpeedTable
from magnoliapitch.planner.duration.speed_table import kind_of
from magnoliapitch.planner.duration.speed_table import log_speed_of_class
from magnoliapitch.planner.duration.spread import LogDuration
from magnoliapitch.planner.duration.spread import exp_ms
from magnoliapitch.planner.duration.spread import log_ms
from magnoliapitch.planner.duration.step_work import MeasuredTask
from magnoliapitch.planner.duration.step_work import StepWork
from magnoliapitch.planner.duration.step_work import limited


if TYPE_CHECKING:
    from collections.abc import Mapping

    from magnoliapitch.planner.duration.measurement import FinishedTask
    from magnoliapitch.planner.tracked import TrackedRun
    from magnoliapitch.planner.tracked import TrackedStep
    from magnoliapitch.planner.tracked_worker import TrackedWorker


REFRESH_INTERVAL_MS = 1_000
# Queues whose figures are kept; those of the least weight are dropped first.
MAX_QUEUES = 2_000
# Chance of being in time from which a step counts as in time.
IN_TIME_CHANCE = 0.98
# Deviations of the work of a step for which it must be in time.
WORK_DEVIATIONS = 1.0
# Weight of a new sample of the time from a plan to the start.
START_DELAY_WEIGHT = 0.02
FIRST_START_DELAY_MS = 40.0
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
        self._worker_count = 0
        self._start_delay_ms = FIRST_START_DELAY_MS

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
        number = min(
            self.slowest_in_time(step, available_ms), self.speeds.classes[-1]
        )
        return exp_ms(self.work(step).mean - log_speed_of_class(number))

    def slowest_in_time(self, step: TrackedStep, available_ms: float) -> int:
        """Return the slowest class of workers on which a step is in time.

        It must be for all its waiting tasks, with a margin for their spread,
        and whether its work is less or more than expected. The objective is
        a multiple of the work, so that it is less or more too.

        :param available_ms: time left until the step should have ended.
        :return: the class; one above the fastest if none is in time.
        """
        work = self.work(step)
        work_ms = work.median_ms()
        # The measured duration of a gang is that of its slowest task.
        margin = 0.0
        if not step.spec.is_gang:
            margin = _margin_deviations(step.waiting_count) * math.sqrt(
                self._task_variance(step)
            )
        deviation = WORK_DEVIATIONS * math.sqrt(work.variance)
        cases = [
            (
                log_work + margin,
                available_ms
                - 2 * self._start_delay_ms
                + step.job.queue.stretch * (exp_ms(log_work) - work_ms),
            )
            for log_work in (work.mean - deviation, work.mean + deviation)
        ]
        for number in self.speeds.classes:
            log_speed = log_speed_of_class(number)
            if all(exp_ms(late - log_speed) <= ms for late, ms in cases):
                return number
        return self.speeds.classes[-1] + 1

    def work(self, step: TrackedStep) -> LogDuration:
        """Return the mean work of the tasks of a step."""
        queue_work = self._queue_work(step.job.queue.name)
        return step.finished_work.corrected(
            queue_work.expected(float(step.spec.estimate_ms)),
            queue_work.figures.task_variance,
        )

    def record_done(self, run: TrackedRun, now_ms: int) -> None:
        """Learn from a run that was done and is not removed yet."""
        if run.started_ms is not None and not run.is_restored:
            self._start_delay_ms += START_DELAY_WEIGHT * (
                run.started_ms - run.ordered_ms - self._start_delay_ms
            )
        task = finished_task(run)
        if task is not None:
            self.add(task, now_ms)

    def add(self, task: FinishedTask, now_ms: int) -> None:
        """Learn from the measured duration of a task."""
        queue_work = self._queue_work(task.queue)
        self.work_by_queue[task.queue] = queue_work
        log_duration = log_ms(task.duration_ms)
        log_speed = min(
            self.speeds.estimate(worker_id).log_speed
            for worker_id in task.worker_ids
        )
        log_work = log_duration + log_speed
        queue_work.add(task.declared_ms, log_work, task.share)
        self._add_to_step(task.step_work, queue_work, log_work)
        if task.tells_speed:
            measured = MeasuredTask(task.worker_ids[0], log_duration)
            self._compare(
                queue_work,
                task.declared_ms,
                task.step_work.take_comparable(measured, is_last=task.is_last),
                now_ms,
            )

    def _compare(
        self,
        queue_work: QueueWork,
        declared_ms: float,
        tasks: list[MeasuredTask],
        now_ms: int,
    ) -> None:
        """Learn speeds from tasks of one step.

        The tasks of each worker are compared with those of the others.
        """
        if not tasks:
            return
        task_variance = queue_work.figures.task_variance
        expected = queue_work.expected_lately(declared_ms)
        log_works = limited(
            [
                task.log_duration
                + self.speeds.estimate(task.worker_id).log_speed
                for task in tasks
            ],
            MAX_DEVIATIONS * math.sqrt(task_variance),
        )
        works_by_worker: defaultdict[str, list[float]] = defaultdict(list)
        for task, log_work in zip(tasks, log_works, strict=True):
            works_by_worker[task.worker_id].append(log_work)
        total = sum(log_works)
        for worker_id, own in works_by_worker.items():
            other_count = len(log_works) - len(own)
            others = StepWork(
                other_count, (total - sum(own)) / max(1, other_count)
            )
            work = others.corrected(expected, task_variance)
            self.speeds.add_error(
                worker_id,
                work.mean - fmean(own),
                work.variance,
                task_variance / len(own),
                now_ms,
            )

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
        """Add new workers and drop those that are gone.

        It does so once a second, and when the number of workers changes, so
        that a new leader uses restored speeds at once.
        """
        if (
            self._refreshed_ms is not None
            and now_ms - self._refreshed_ms < REFRESH_INTERVAL_MS
            and len(workers_by_id) == self._worker_count
        ):
            return
        self._refreshed_ms = now_ms
        self._worker_count = len(workers_by_id)
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


@lru_cache(maxsize=256)
def _margin_deviations(task_count: int) -> float:
    """Return the margin with which all of a number of tasks are in time."""
    chance = IN_TIME_CHANCE ** (1 / max(1, task_count))
    return NormalDist().inv_cdf(chance)


__all__ = ["LearnedDurations"]
