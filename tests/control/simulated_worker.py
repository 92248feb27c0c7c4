"""A worker in virtual time that follows the published protocol strictly."""

from __future__ import annotations

from typing import TYPE_CHECKING

from result import Err
from result import Ok
from result import Result

from magnoliapitch.resource import NO_RESOURCES
from magnoliapitch.resource import Resources
from magnoliapitch.verdict import Failure
from magnoliapitch.verdict import FailureCode
from magnoliapitch.verdict import not_run
from magnoliapitch.workload.run import ActiveRun
from magnoliapitch.workload.run import EndedRun
from magnoliapitch.workload.run import EndKind
from magnoliapitch.workload.run import StartOrder
from magnoliapitch.workload.run import StopOrder
from magnoliapitch.workload.run import WorkerReport


if TYPE_CHECKING:
    from collections.abc import Callable

    from magnoliapitch.workload.job import StepSpec
    from magnoliapitch.workload.job import TaskKey
    from magnoliapitch.workload.worker import WorkerInfo
    from tests.control.attempt_history import FailedRun
    from tests.control.simulation import Simulation


# The longest stop that the protocol allows; the run executes until its end.
STOP_DURATION_MS = 400
# A longer lease is shortened.
MAX_LEASE_MS = 6_000
# The platform removes the entry of a worker after this time of silence.
UNLISTED_AFTER_MS = 4_500
# Starts that do not fit are allowed for this long after a worker has shrunk.
SHRUNK_CAPACITY_GRACE_MS = 4_500
# Progress between two checkpoints of a task that saves its progress.
CHECKPOINT_INTERVAL_MS = 250
# A worker that has said that it leaves may be sent starts for this long.
DRAIN_NOTICE_MS = 2_000
# Tasks of a cancelled job may be started for this long.
CANCEL_NOTICE_MS = 3_000


class _Run:
    def __init__(self, order: StartOrder, step: StepSpec, now_ms: int) -> None:
        self.order = order
        self.step = step
        self.started_ms = now_ms
        self.working_since_ms: int | None = None
        self.duration_ms = 0.0
        self.resumed_ms = 0.0

    def progress_ms(self, now_ms: int) -> float:
        """Return how much of the work is done."""
        if self.working_since_ms is None:
            return 0.0
        return self.resumed_ms + now_ms - self.working_since_ms

    def checkpoint(self, now_ms: int) -> str:
        """Return the newest checkpoint, which is the saved progress in ms."""
        if not self.step.saves_progress or self.working_since_ms is None:
            return self.order.checkpoint
        intervals = self.progress_ms(now_ms) // CHECKPOINT_INTERVAL_MS
        return str(int(intervals) * CHECKPOINT_INTERVAL_MS)


class SimulatedWorker:
    """Runs tasks under a lease, by a clock that begins with it.

    :ivar born_ms: when its process was started.
    :ivar is_down: whether it has crashed; it then answers no calls.
    :ivar is_replaced: whether another incarnation answers at its address.
    :ivar is_overcommitted: whether its capacity has shrunk below what its runs
        use.
    """

    def __init__(self, info: WorkerInfo, simulation: Simulation) -> None:
        self.info = info
        self.is_gone = False
        self.is_down = False
        self.is_replaced = False
        self.is_overcommitted = False
        self.running: dict[TaskKey, _Run] = {}
        self.ended: list[EndedRun] = []
        self.end_listeners: dict[Callable[[], None], None] = {}
        self._simulation = simulation
        self._token = 0
        self._deadline_ms = 0
        self._last_end_sequence = 0
        self._highest_run_by_task: dict[TaskKey, int] = {}
        self.crashed_ms = 0
        self.born_ms = 0
        self._done_ms_by_sequence: dict[int, int] = {}
        self._failed_by_sequence: dict[int, FailedRun] = {}
        self._resized_ms = 0
        self._leaving_since_ms: int | None = None

    def leave(self) -> None:
        """Say that it leaves; what runs goes on."""
        self.info = self.info._replace(is_draining=True)
        self._leaving_since_ms = self._simulation.now_ms

    def stay(self) -> None:
        """Take back that it leaves."""
        self.info = self.info._replace(is_draining=False)
        self._leaving_since_ms = None

    def resize(self, capacity: Resources) -> None:
        """Shrink or grow; what runs goes on."""
        self.info = self.info._replace(capacity=capacity)
        self._resized_ms = self._simulation.now_ms
        self.is_overcommitted = not self.used().fits(capacity)

    def check_capacity(self) -> bool:
        """Return whether no start has brought the worker over its capacity.

        Runs from before it shrank may use more.
        """
        if self.used().fits(self.info.capacity):
            self.is_overcommitted = False
        return self.is_overcommitted or self.used().fits(self.info.capacity)

    @property
    def clock_ms(self) -> int:
        """Return the worker's own clock."""
        return self._simulation.now_ms - self.born_ms

    def restart(self) -> None:
        """Begin the next incarnation under the same id.

        It holds and knows nothing of before.
        """
        self.is_down = False
        self.born_ms = self._simulation.now_ms
        self.ended = []
        self._token = 0
        self._deadline_ms = 0
        self._last_end_sequence = 0
        self._highest_run_by_task = {}
        self._done_ms_by_sequence = {}
        self._failed_by_sequence = {}

    @property
    def is_listed(self) -> bool:
        """Return whether the platform lists the worker."""
        silent_ms = self._simulation.now_ms - self.crashed_ms
        return not self.is_gone and (
            not self.is_down or silent_ms < UNLISTED_AFTER_MS
        )

    def crash(self, culprit: TaskKey | None = None) -> None:
        """End with all runs; another incarnation follows after a while.

        :param culprit: task that caused the crash, if one did.
        """
        if self.is_down:
            return
        self.is_down = True
        self.crashed_ms = self._simulation.now_ms
        self._simulation.history.record_crash(list(self.running), culprit)
        runs, self.running = list(self.running.values()), {}
        for run in runs:
            if run.step.is_gang:
                for worker, member in self._members(run):
                    worker.end(member, EndKind.MEMBER_ENDED)
        self._simulation.schedule(
            self._simulation.restart_delay_ms,
            lambda: self._simulation.restart_worker(self),
        )

    def renew_lease(
        self, token: int, deadline_ms: int | None, acknowledged_sequence: int
    ) -> bool:
        """Extend the lease and drop the ended runs that are acknowledged.

        :return: whether no higher token was seen; otherwise it does nothing.
        """
        if token < self._token:
            return False
        self._token = token
        if deadline_ms is not None:
            self._extend(deadline_ms)
        for end in self.ended:
            if end.sequence <= acknowledged_sequence:
                self._forget(end)
        self.ended = [
            end for end in self.ended if end.sequence > acknowledged_sequence
        ]
        return True

    def _forget(self, end: EndedRun) -> None:
        done_ms = self._done_ms_by_sequence.pop(end.sequence, None)
        if done_ms is not None:
            self._simulation.history.record_acknowledged_done(
                end.task, done_ms
            )
        failed = self._failed_by_sequence.pop(end.sequence, None)
        if failed is not None:
            self._simulation.history.attempts.record_acknowledged(failed)

    def report(self) -> WorkerReport:
        """Return the report of active runs and of the oldest ended ones."""
        page = tuple(self.ended[: self._simulation.ends_per_report])
        return WorkerReport(
            self.clock_ms,
            tuple(
                ActiveRun(
                    key,
                    run.order.run,
                    run.checkpoint(self._simulation.now_ms),
                    self._percent(run),
                )
                for key, run in self.running.items()
            ),
            page,
            len(page) < self._simulation.ends_per_report,
        )

    def start(
        self, order: StartOrder, *, is_late: bool = False
    ) -> Result[int, Failure]:
        """Carry out a start order, in time or late."""
        if order.token < self._token:
            return Err(not_run(FailureCode.FENCED, "a higher token was seen"))
        self._token = order.token
        if order.deadline_ms <= self.clock_ms:
            return Err(not_run(FailureCode.EXPIRED, "the deadline has passed"))
        self._extend(order.deadline_ms)
        known = self.running.get(order.task)
        if known is not None and known.order.run == order.run:
            return Ok(self.clock_ms)
        if order.run <= self._highest_run_by_task.get(order.task, 0):
            return Err(not_run(FailureCode.STALE, "the run is stale"))
        if order.ticket and not self._is_valid(order.ticket):
            self._simulation.expired_ticket_count += 1
            return Err(not_run(FailureCode.TICKET, "the ticket has expired"))
        self._begin(order, is_late=is_late)
        return Ok(self.clock_ms)

    def _is_valid(self, ticket: str) -> bool:
        _, from_ms, _, until_ms = ticket.split()
        now_ms = self._simulation.now_ms
        return now_ms <= int(until_ms) and int(from_ms) >= self.born_ms

    def stop(self, order: StopOrder) -> Result[int, Failure]:
        """Carry out a stop order."""
        if order.token < self._token:
            return Err(not_run(FailureCode.FENCED, "a higher token was seen"))
        self._token = order.token
        self._simulation.stop_orders[order.task] += 1
        highest = self._highest_run_by_task.get(order.task, 0)
        self._highest_run_by_task[order.task] = max(highest, order.run)
        run = self.running.get(order.task)
        if run is not None and run.order.run == order.run:
            self._simulation.schedule(
                STOP_DURATION_MS, lambda: self.end(run, EndKind.STOPPED)
            )
        return Ok(self.clock_ms)

    def end(self, run: _Run, kind: EndKind) -> None:
        """End a run if it is still active, with the members of its gang."""
        key = run.order.task
        if self.running.get(key) is not run:
            return
        del self.running[key]
        self._last_end_sequence += 1
        if kind is EndKind.FAILED:
            self._simulation.failures_of[key] += 1
            self._failed_by_sequence[self._last_end_sequence] = (
                self._simulation.history.attempts.record_failed(
                    key, run.order.run
                )
            )
        self._highest_run_by_task[key] = max(
            run.order.run, self._highest_run_by_task.get(key, 0)
        )
        if kind is EndKind.DONE:
            self._done_ms_by_sequence[self._last_end_sequence] = (
                self._simulation.now_ms
            )
        self.ended.append(
            EndedRun(
                self._last_end_sequence,
                key,
                run.order.run,
                kind,
                run.checkpoint(self._simulation.now_ms),
            )
        )
        for notify in list(self.end_listeners):
            notify()
        if run.step.is_gang:
            member_kind = (
                kind if kind is EndKind.DONE else EndKind.MEMBER_ENDED
            )
            for worker, member in self._members(run):
                worker.end_after_member(member, member_kind)

    def end_after_member(self, run: _Run, kind: EndKind) -> None:
        """End a member of a gang after another one, or let it fail itself."""
        delay_ms = None
        if kind is EndKind.MEMBER_ENDED:
            delay_ms = self._simulation.member_failure_delay_ms(run.order.task)
        if delay_ms is None:
            self.end(run, kind)
            return
        self._simulation.schedule(
            delay_ms, lambda: self.end(run, EndKind.FAILED)
        )

    def used(self) -> Resources:
        """Return the capacity that active runs use."""
        used = NO_RESOURCES
        for run in self.running.values():
            used = used.plus(run.step.reservation)
        return used

    def _begin(self, order: StartOrder, *, is_late: bool) -> None:
        spec = self._simulation.specs[order.task.job_id]
        step = spec.steps[order.task.step]
        run = _Run(order, step, self._simulation.now_ms)
        self.running[order.task] = run
        self._check_start(order)
        history = self._simulation.history
        history.record_start(order.task)
        history.attempts.record_start(order.task, order.run, is_late=is_late)
        self._simulation.check()
        self._crash_if_deadly(order.task)
        if self.is_down:
            return
        members = [(self, run), *self._members(run)]
        if step.is_gang and len(members) < step.task_count:
            return
        for worker, member in members if step.is_gang else [(self, run)]:
            worker.work(member)

    def _check_start(self, order: StartOrder) -> None:
        simulation = self._simulation
        since_ms = self._leaving_since_ms
        if since_ms is not None and (
            simulation.now_ms - since_ms > DRAIN_NOTICE_MS
        ):
            simulation.violations.append(
                f"{order.task} was started on {self.info.worker_id}, which "
                f"had said {simulation.now_ms - since_ms} ms ago that it "
                "leaves"
            )
        cancelled_ms = simulation.cancelled_ms_by_job.get(order.task.job_id)
        if cancelled_ms is not None and (
            simulation.now_ms - cancelled_ms > CANCEL_NOTICE_MS
        ):
            simulation.violations.append(
                f"{order.task} was started, although its job was cancelled "
                f"{simulation.now_ms - cancelled_ms} ms ago"
            )
        if self.used().fits(self.info.capacity):
            return
        resized_ms = simulation.now_ms - self._resized_ms
        if self.is_overcommitted and resized_ms > SHRUNK_CAPACITY_GRACE_MS:
            simulation.violations.append(
                f"{order.task} was started on {self.info.worker_id}, "
                f"which had shrunk {resized_ms} ms before"
            )
        elif resized_ms <= SHRUNK_CAPACITY_GRACE_MS:
            self.is_overcommitted = True

    def _crash_if_deadly(self, task: TaskKey) -> None:
        simulation = self._simulation
        if not simulation.crashes_worker(task):
            return
        if simulation.crash_delay_ms:
            simulation.schedule(
                simulation.crash_delay_ms,
                lambda: self._crash_if_running(task),
            )
        else:
            self.crash(task)

    def _crash_if_running(self, task: TaskKey) -> None:
        if task in self.running:
            self.crash(task)

    def work(self, run: _Run) -> None:
        """Let a run work and schedule its end."""
        simulation, key = self._simulation, run.order.task
        run.working_since_ms = simulation.now_ms
        run.duration_ms = simulation.actual_duration_ms(key) / self._speed(run)
        run.resumed_ms = float(run.order.checkpoint or 0)
        run_fails = simulation.run_fails(key, self.info.worker_id)
        kind = EndKind.FAILED if run_fails else EndKind.DONE
        delay_ms = (
            simulation.failure_delay_ms(key)
            if run_fails
            else run.duration_ms - run.resumed_ms
        )
        simulation.schedule(delay_ms, lambda: self.end(run, kind))

    def _speed(self, run: _Run) -> float:
        """Return the speed of a run; a gang is as fast as its slowest."""
        workers = [self]
        if run.step.is_gang:
            workers += [worker for worker, _ in self._members(run)]
        return min(
            self._simulation.speed_of(worker.info.worker_id)
            for worker in workers
        )

    def _members(self, run: _Run) -> list[tuple[SimulatedWorker, _Run]]:
        return [
            (worker, member)
            for worker in self._simulation.workers.values()
            for key, member in list(worker.running.items())
            if key.step_key == run.order.task.step_key
            and key != run.order.task
            and member.order.run == run.order.run
        ]

    def _extend(self, deadline_ms: int) -> None:
        longest_ms = self.clock_ms + MAX_LEASE_MS
        self._deadline_ms = max(
            self._deadline_ms, min(deadline_ms, longest_ms)
        )
        self._simulation.schedule(
            self._deadline_ms - self.clock_ms, self._check_lease
        )

    def _check_lease(self) -> None:
        if self.clock_ms < self._deadline_ms:
            return
        # Nobody can have relied on ends that were not acknowledged in time.
        self._done_ms_by_sequence.clear()
        for failed in self._failed_by_sequence.values():
            failed.has_lapsed = True
        for run in list(self.running.values()):
            self.end(run, EndKind.LEASE_EXPIRED)

    def _percent(self, run: _Run) -> float:
        if run.working_since_ms is None or not run.duration_ms:
            return 0.0
        share = run.progress_ms(self._simulation.now_ms) / run.duration_ms
        return min(99.0, 100.0 * share)
