"""Bounds of the waits of new jobs, queue by queue."""

from __future__ import annotations

from collections import defaultdict
from math import ceil
from typing import TYPE_CHECKING
from typing import NamedTuple

from magnoliapitch.admission import QueueLoad
from magnoliapitch.admission import SizedWait
from magnoliapitch.planner.tracked import TrackedStep
from magnoliapitch.planner.wait_bound import InTimeWork
from magnoliapitch.planner.wait_bound import Work
from magnoliapitch.planner.wait_bound import starting_in_time
from magnoliapitch.planner.wait_bound import total_work
from magnoliapitch.planner.wait_bound import wait_bound_ms
from magnoliapitch.resource import Resources


if TYPE_CHECKING:
    from collections.abc import Iterable

    from magnoliapitch.planner.planner import Planner
    from magnoliapitch.planner.tracked import TrackedRun
    from magnoliapitch.workload.configuration import Queue


# Work is counted with this part of its expected duration, since expectations
# are noisy.
CERTAIN_DURATION_SHARE = 0.5
# Remaining durations of runs are rounded down to this interval.
RUN_INTERVAL_MS = 50
# Starts within this time show that a queue passes the work that ranks first.
PASSING_WINDOW_MS = 2_000
# What passes may do so twice as fast from now on.
PASSING_RATE_MARGIN = 2.0
# Parts of the tasks, by size, for which bounds are computed.
SIZE_QUANTILES = (0.25, 0.5, 0.75, 1.0)


class WaitingStep(NamedTuple):
    """A step that certainly waits for capacity.

    :param size: capacity that a gap must have for one of its tasks.
    :param slack_ms: time until its latest start; None if it was missed.
    """

    step: TrackedStep
    size: Resources
    work: Work
    slack_ms: float | None
    is_in_excess: bool


class QueueBounds:
    """Bounds of the queues of one service.

    :param waiting: steps that certainly wait for capacity.
    :param runs: active runs.
    :param usable_worker_ids: workers that take new runs.
    :param cpu_millis: capacity of all workers, with what may come back.
    """

    def __init__(
        self,
        waiting: list[WaitingStep],
        runs: list[TrackedRun],
        usable_worker_ids: frozenset[str],
        cpu_millis: int,
        planner: Planner,
        now_ms: int,
    ) -> None:
        self._waiting = waiting
        self._usable_worker_ids = usable_worker_ids
        self._cpu_millis = cpu_millis
        self._planner = planner
        self._now_ms = now_ms
        # Capacity of the runs by priority and remaining intervals.
        self._run_cpu_millis: defaultdict[tuple[int, int], int] = defaultdict(
            int
        )
        self._started_work_by_queue: defaultdict[str, float] = defaultdict(
            float
        )
        self._sizes_by_priority: dict[int, list[Resources]] = {}
        self._path_ms_by_queue = _path_ms_by_queue(waiting)
        expected_ms_by_step: dict[int, float] = {}
        for run in runs:
            self._add_run(run, expected_ms_by_step)

    def loads_by_name(self, queues: dict[str, Queue]) -> dict[str, QueueLoad]:
        """Return the load of each queue whose jobs may have to wait."""
        loads: dict[str, QueueLoad] = {}
        for name, queue in queues.items():
            path_ms = self._path_ms_by_queue.get(name)
            if path_ms is None:
                continue
            waits = self._waits(queue, "")
            by_workspace = {
                workspace: self._waits(queue, workspace)
                for workspace in self._workspaces_in_excess(name)
            }
            if waits or any(by_workspace.values()):
                loads[name] = QueueLoad(waits, int(path_ms), by_workspace)
        return loads

    def _waits(self, queue: Queue, workspace: str) -> tuple[SizedWait, ...]:
        waits = [
            SizedWait(size, self._wait_ms(queue, workspace, size))
            for size in self._sizes(queue.priority)
        ]
        return tuple(wait for wait in waits if wait.wait_ms)

    def _sizes(self, priority: int) -> list[Resources]:
        """Return sizes below which parts of the more urgent tasks are."""
        sizes = self._sizes_by_priority.get(priority)
        if sizes is None:
            reservations = [
                item.size
                for item in self._waiting
                if item.step.job.queue.priority < priority
            ]
            sizes = _quantiles(reservations) if reservations else []
            self._sizes_by_priority[priority] = sizes
        return sizes

    def _workspaces_in_excess(self, queue_name: str) -> set[str]:
        return {
            item.step.job.spec.workspace
            for item in self._waiting
            if item.is_in_excess
            and item.step.job.queue.name == queue_name
            and item.step.job.spec.workspace
        }

    def _wait_ms(self, queue: Queue, workspace: str, size: Resources) -> int:
        """Return the bound for a new job.

        :param workspace: workspace above its share that the job belongs to;
            empty for a job within the share of its workspace.
        :param size: what a task of the job needs at least; wherever it fits,
            the work that counts fits too.
        """
        ahead = self._run_work(queue.priority)
        same: list[InTimeWork] = []
        uncovered = set(self._usable_worker_ids)
        own_work = 0.0
        for item in self._waiting:
            step = item.step
            is_ahead = not item.is_in_excess or (
                workspace != "" and step.job.spec.workspace == workspace
            )
            if not is_ahead or not item.size.fits(size):
                continue
            if step.job.queue.priority < queue.priority:
                ahead.append(item.work)
                if step.job.queue.permit_timing is None:
                    uncovered.clear()
                elif uncovered:
                    uncovered -= step.permitted_worker_ids
            elif (
                step.job.queue.priority == queue.priority
                and item.slack_ms is not None
                and item.slack_ms <= queue.target_ms
            ):
                same.append(InTimeWork(item.slack_ms, item.work))
                if step.job.queue.name == queue.name:
                    own_work += total_work([item.work])
        if uncovered:
            # A worker that no more urgent step may use is free for others.
            return 0
        earlier_ms = wait_bound_ms(ahead, self._cpu_millis)
        ahead += starting_in_time(same, earlier_ms, self._cpu_millis)
        bound_ms = wait_bound_ms(ahead, self._cpu_millis)
        return int(min(bound_ms, self._passing_ms(queue.name, own_work)))

    def _passing_ms(self, queue_name: str, own_work: float) -> float:
        """Return the wait if the queue goes on passing what ranks first.

        Small tasks start in gaps that others cannot use.
        """
        started_work = self._started_work_by_queue[queue_name]
        if not started_work:
            return float("inf")
        rate = PASSING_RATE_MARGIN * started_work / PASSING_WINDOW_MS
        return own_work / rate

    def _run_work(self, priority: int) -> list[Work]:
        """Return the runs that a new job cannot preempt."""
        return [
            Work(count * RUN_INTERVAL_MS, cpu_millis)
            for (run_priority, count), cpu_millis in (
                self._run_cpu_millis.items()
            )
            if run_priority <= priority or not self._planner.options.preemption
        ]

    def _add_run(
        self, run: TrackedRun, expected_ms_by_step: dict[int, float]
    ) -> None:
        step = run.task.step
        expected_ms = expected_ms_by_step.get(id(step))
        if expected_ms is None:
            estimator = self._planner.duration_estimator
            expected_ms = estimator.expected_ms(step)
            expected_ms_by_step[id(step)] = expected_ms
        elapsed_ms = self._now_ms - run.ordered_ms
        cpu_millis = run.resources.cpu_millis
        if elapsed_ms <= PASSING_WINDOW_MS:
            self._started_work_by_queue[step.job.queue.name] += (
                expected_ms * cpu_millis
            )
        remaining_ms = CERTAIN_DURATION_SHARE * expected_ms - elapsed_ms
        count = int(remaining_ms / RUN_INTERVAL_MS)
        if count > 0:
            key = (step.job.queue.priority, count)
            self._run_cpu_millis[key] += cpu_millis


def _quantiles(amounts: list[Resources]) -> list[Resources]:
    """Return different quantiles of amounts, resource by resource."""
    columns = [sorted(column) for column in zip(*amounts, strict=True)]
    found = [
        Resources(
            *(column[ceil(part * len(column)) - 1] for column in columns)
        )
        for part in SIZE_QUANTILES
    ]
    return list(dict.fromkeys(found))


def _path_ms_by_queue(waiting: Iterable[WaitingStep]) -> dict[str, float]:
    """Return the mean of the expected paths by queue.

    They follow from the objectives that the ranking has computed.
    """
    paths_ms: defaultdict[str, list[float]] = defaultdict(list)
    for item in waiting:
        queue = item.step.job.queue
        excess_ms = item.step.objective_ms - queue.target_ms
        if queue.stretch > 0:
            paths_ms[queue.name].append(max(0.0, excess_ms / queue.stretch))
    return {
        name: sum(values) / len(values) for name, values in paths_ms.items()
    }


__all__ = ["CERTAIN_DURATION_SHARE", "QueueBounds", "WaitingStep"]
