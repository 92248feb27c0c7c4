"""Steps and runs as the scheduler tracks them."""

from __future__ import annotations

import sys

from typing import TYPE_CHECKING

from magnoliapitch.collector import collections_paused
from magnoliapitch.planner.duration.step_work import StepWork
from magnoliapitch.planner.tracked_task import TrackedTask
from magnoliapitch.workload.job import StepKey
from magnoliapitch.workload.run import EndKind


if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Sequence

    from magnoliapitch.planner.ranking import Rank
    from magnoliapitch.planner.tracked_job import TrackedJob
    from magnoliapitch.planner.tracked_worker import TrackedWorker
    from magnoliapitch.workload.job import StepSpec
    from magnoliapitch.workload.run import Permit


# Stands for a missing ticket: empty text, and expired since time 0.
NO_TICKET = ("", 0)


class TrackedRun:
    """A run that was ordered and whose end is not known.

    :ivar number: number of the run among the runs of its task.
    :ivar resources: capacity that the run reserves on its worker.
    :ivar order_sent_ms: when the start order was passed on to be sent; None
        before.
    :ivar is_order_settled: whether no copy of the start order can be under way
        any more.
    :ivar started_ms: when the worker first accepted or reported the run;
        None before.
    :ivar confirmed_ms: when it last did so; None before.
    :ivar is_restored: whether the run was read from the progress that a
        former leader stored; that leader may have ordered it or not.
    :ivar is_stopping: whether the run is marked for stopping.
    :ivar has_ended_with_worker: whether the incarnation that was ordered to
        start the run has ended. Only an order that is still under way could
        begin the run on the next one.
    :ivar stop_reason: reason for stopping the run; empty if it follows from
        the state of its job or worker.
    :ivar stop_sent_ms: when the newest stop order was sent; None before.
    :ivar stopped_ms: when the worker accepted a stop order; None before.
    :ivar resumed_percent: progress in the first report, 0 to 100; above 0 if
        the run resumed from a checkpoint.
    :ivar is_resumed: whether the run was ordered with a checkpoint.
    :ivar percent: progress in the newest report, 0 to 100.
    :ivar start_clock_ms: when the worker accepted the run at the first order,
        by its own clock; None if that is not known.
    :ivar end_clock_ms: when the run ended, by the worker's own clock; None if
        that is not known exactly enough.
    :ivar worker_rack: rack of the worker when the run was added.
    :ivar worker_zone: availability zone of the worker when the run was added.
    """

    __slots__ = (
        "confirmed_ms",
        "end_clock_ms",
        "has_ended_with_worker",
        "is_order_settled",
        "is_restored",
        "is_resumed",
        "is_stopping",
        "number",
        "order_sent_ms",
        "ordered_ms",
        "percent",
        "resources",
        "resumed_percent",
        "start_clock_ms",
        "started_ms",
        "stop_reason",
        "stop_sent_ms",
        "stopped_ms",
        "task",
        "worker_id",
        "worker_rack",
        "worker_zone",
    )

    def __init__(
        self, task: TrackedTask, number: int, worker_id: str, now_ms: int
    ) -> None:
        self.task = task
        self.number = number
        self.worker_id = worker_id
        self.resources = task.step.reservation
        self.ordered_ms = now_ms
        self.order_sent_ms: int | None = None
        self.is_order_settled = False
        self.started_ms: int | None = None
        self.confirmed_ms: int | None = None
        self.is_restored = False
        self.is_stopping = False
        self.has_ended_with_worker = False
        self.stop_reason = ""
        self.stop_sent_ms: int | None = None
        self.stopped_ms: int | None = None
        self.resumed_percent = 0.0
        self.is_resumed = task.checkpoint != ""
        self.percent = 0.0
        self.start_clock_ms: int | None = None
        self.end_clock_ms: int | None = None
        self.worker_rack = ""
        self.worker_zone = ""

    @property
    def may_have_been_ordered(self) -> bool:
        """Return whether the worker may have received a start order."""
        return self.is_restored or self.order_sent_ms is not None

    @property
    def last_active_ms(self) -> int:
        """Return when the run was last known to be active, or ordered.

        A run of a former leader counts as ordered when this one began.
        """
        if self.confirmed_ms is None:
            return self.ordered_ms
        return self.confirmed_ms

    def mark_for_stop(self, reason: str) -> None:
        """Record that the run must be stopped.

        Of a run that is being stopped a known reason is kept.
        """
        if reason or not self.is_stopping:
            self.stop_reason = reason
        self.is_stopping = True

    def move_to(self, worker: TrackedWorker) -> None:
        """Count as active on the next incarnation of the run's worker."""
        self.worker_id = worker.worker_id
        self.set_ended_with_worker(True)
        self.confirmed_ms = None
        self.stop_sent_ms = None
        self.stopped_ms = None
        self.task.note_change()
        worker.add(self)

    def set_ended_with_worker(self, has_ended: bool) -> None:
        """Set whether the run has ended with its worker's incarnation."""
        if has_ended != self.has_ended_with_worker:
            self.has_ended_with_worker = has_ended
            self.task.note_change()


class TrackedStep:
    """A step of one occurrence of a job.

    :ivar reservation: capacity that one task reserves on a worker.
    :ivar latest_start_ms: latest start with which the job can still
        complete within its objective; None before it is computed.
    :ivar objective_ms: time within which the job should complete.
    :ivar latest_end_ms: latest end of the step with which it still can; None
        before it is computed.
    :ivar first_number: number of its first task among those of the job.
    :ivar made_tasks: its tasks if they were needed so far, otherwise none.
    :ivar finished_work: work of the tasks that were measured.
    :ivar rank: rank that holds until ``rank_until_ms``; None before it is
        computed, and for a long-running step.
    :ivar rank_computed_ms: when ``latest_start_ms`` and ``objective_ms``
        were computed.
    :ivar ready_ms: when the step became ready to start, its dependencies
        done and its occurrence due; None before.
    :ivar permitted_worker_ids: workers that the advisor has permitted.
    :ivar asked_worker_ids: workers that the advisor has answered about.
    :ivar failed_worker_ids: workers on which a run failed since the last
        run that was done.
    :ivar failures: number of failed runs of all its tasks; the members of a
        gang fail together, as one run.
    :ivar failed_runs: of a gang, numbers of the newest ones among these.
    :ivar unfinished_count: number of tasks that are not done; those of a
        long-running step never are.
    :ivar waiting_count: number of tasks that are waiting to be started.
    :ivar start_limit: most tasks that the quota and share of the step's
        workspace let start in this planning round.
    :ivar is_beyond_share: whether the newest round placed the step last,
        since it would bring its workspace above its fair share.
    :ivar is_held: whether the step was left out of a round since its last
        start, because none of its tasks passed its workspace's quota.
    :ivar tickets_by_worker: ticket and end of its validity in ms, by
        worker id.
    :ivar newest_ticket_until_ms: end of the validity of the newest tickets; 0
        if there are none.
    :ivar in_flight_worker_ids: workers in the advisor call that is under
        way; empty if there is none.
    """

    __slots__ = (
        "asked_worker_ids",
        "failed_runs",
        "failed_worker_ids",
        "failures",
        "finished_work",
        "first_number",
        "in_flight_worker_ids",
        "is_beyond_share",
        "is_held",
        "job",
        "key",
        "latest_end_ms",
        "latest_start_ms",
        "made_tasks",
        "newest_ticket_until_ms",
        "objective_ms",
        "permitted_worker_ids",
        "rank",
        "rank_computed_ms",
        "rank_until_ms",
        "ready_ms",
        "reservation",
        "spec",
        "start_limit",
        "tickets_by_worker",
        "unfinished_count",
        "waiting_count",
    )

    def __init__(
        self,
        job: TrackedJob,
        occurrence: int,
        number: int,
        first_number: int,
    ) -> None:
        self.job = job
        self.key = StepKey(job.spec.job_id, occurrence, number)
        self.spec: StepSpec = job.spec.steps[number]
        self.reservation = self.spec.reservation
        self.made_tasks: Sequence[TrackedTask] = ()
        self.first_number = first_number
        self.unfinished_count = self.spec.task_count
        self.waiting_count = self.spec.task_count
        self.ready_ms: int | None = None
        self.start_limit = sys.maxsize
        self.is_held = False
        self.is_beyond_share = False
        self.permitted_worker_ids: set[str] = set()
        self.asked_worker_ids: set[str] = set()
        self.tickets_by_worker: dict[str, tuple[str, int]] = {}
        self.newest_ticket_until_ms = 0
        self.in_flight_worker_ids: frozenset[str] = frozenset()
        self.failed_worker_ids: set[str] = set()
        self.failures = 0
        self.failed_runs: set[int] = set()
        self.finished_work = StepWork()
        self.latest_start_ms: float | None = None
        self.latest_end_ms: float | None = None
        self.objective_ms = 0.0
        self.rank_computed_ms = 0
        self.rank: Rank | None = None
        self.rank_until_ms = 0

    @property
    def tasks(self) -> Sequence[TrackedTask]:
        """Return all tasks, which are made when they are first needed.

        A step that waits for others uses no memory for them.
        """
        if not self.made_tasks:
            with collections_paused():
                self.made_tasks = [
                    TrackedTask(self, position)
                    for position in range(self.spec.task_count)
                ]
        return self.made_tasks

    @property
    def has_call_in_flight(self) -> bool:
        """Return whether an advisor call for the step is under way."""
        return bool(self.in_flight_worker_ids)

    @property
    def startable_count(self) -> int:
        """Return how many of the waiting tasks may start in this round."""
        return min(self.waiting_count, self.start_limit)

    @property
    def is_done(self) -> bool:
        """Return whether every task is done."""
        return self.unfinished_count == 0

    @property
    def has_failed(self) -> bool:
        """Return whether a task, or the gang, cannot be done any more."""
        if self.spec.is_long_running or self.is_done:
            return False
        attempts = self.job.queue.attempts
        if self.spec.is_gang:
            return self.failures >= attempts and not self._may_end_done()
        return any(
            task.failures >= attempts and task.has_failed
            for task in self.made_tasks
        )

    def _may_end_done(self) -> bool:
        """Return whether a run of the gang goes on that has not failed."""
        return any(
            not run.is_stopping and run.number not in self.failed_runs
            for run in self.all_active_runs()
        )

    def is_completed_by(self, kind: EndKind) -> bool:
        """Return whether a run that ends so completes its task.

        Tasks of long-running steps start again however they end.
        """
        return kind is EndKind.DONE and not self.spec.is_long_running

    def startable_tasks(self) -> list[TrackedTask]:
        """Return the tasks that are waiting to be started."""
        return [task for task in self.tasks if task.is_waiting]

    def has_interrupted_task(self) -> bool:
        """Return whether a task that was started before has to start again."""
        return any(task.runs for task in self.startable_tasks())

    def down_since_ms(self) -> int:
        """Return since when an interrupted task has had no run."""
        return min(
            task.last_active_ms for task in self.startable_tasks() if task.runs
        )

    def ticket(self, worker_id: str) -> tuple[str, int]:
        """Return the ticket for a worker and the end of its validity in ms."""
        return self.tickets_by_worker.get(worker_id, NO_TICKET)

    def has_valid_ticket(self, now_ms: int) -> bool:
        """Return whether the step has a ticket that has not expired."""
        return any(
            valid_until_ms >= now_ms
            for _, valid_until_ms in self.tickets_by_worker.values()
        )

    def record_permits(
        self,
        asked_worker_ids: Iterable[str],
        permits: Iterable[Permit],
        valid_until_ms: int,
    ) -> None:
        """Record the answer to the advisor call that was under way."""
        self.in_flight_worker_ids = frozenset()
        self.asked_worker_ids.update(asked_worker_ids)
        for permit in permits:
            self.newest_ticket_until_ms = valid_until_ms
            self.permitted_worker_ids.add(permit.worker_id)
            self.tickets_by_worker[permit.worker_id] = (
                permit.ticket,
                valid_until_ms,
            )

    def all_active_runs(self) -> list[TrackedRun]:
        """Return the active runs of all tasks."""
        return [run for task in self.made_tasks for run in task.active_runs]
