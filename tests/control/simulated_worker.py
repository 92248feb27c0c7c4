"""A worker in virtual time, as strict as the published protocol."""

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
from magnoliapitch.workload.run import EndKind
from magnoliapitch.workload.run import EndedRun
from magnoliapitch.workload.run import RunningTask
from magnoliapitch.workload.run import StartOrder
from magnoliapitch.workload.run import StopOrder
from magnoliapitch.workload.run import WorkerReport


if TYPE_CHECKING:
    from collections.abc import Callable

    from magnoliapitch.workload.job import StepSpec
    from magnoliapitch.workload.job import TaskKey
    from magnoliapitch.workload.worker import WorkerInfo
    from tests.control.simulation import Simulation


class _Run:
    def __init__(self, order: StartOrder, step: StepSpec, now_ms: int) -> None:
        self.order = order
        self.step = step
        self.started_ms = now_ms
        self.begun_ms: int | None = None
        self.duration_ms = 0.0


class SimulatedWorker:
    """Runs tasks under a lease; its clock is the scene's."""

    def __init__(self, info: WorkerInfo, scene: Simulation) -> None:
        self.info = info
        self.is_gone = False
        self.running: dict[TaskKey, _Run] = {}
        self.ended: list[EndedRun] = []
        self.waiters: set[Callable[[], None]] = set()
        self._scene = scene
        self._token = 0
        self._deadline_ms = 0
        self._number = 0
        self._highest_by_task: dict[TaskKey, int] = {}

    def hold(
        self, token: int, deadline_ms: int | None, acknowledged: int
    ) -> None:
        """Extend the lease and forget acknowledged ends."""
        self._token = max(self._token, token)
        if deadline_ms is not None and token >= self._token:
            self._extend(deadline_ms)
        self.ended = [end for end in self.ended if end.sequence > acknowledged]

    def report(self) -> WorkerReport:
        """Return what runs and has ended."""
        return WorkerReport(
            self._scene.now_ms,
            tuple(
                RunningTask(key, run.order.run, "", self._percent(run))
                for key, run in self.running.items()
            ),
            tuple(self.ended),
        )

    def start(self, order: StartOrder) -> Result[int, Failure]:
        """Carry out an order to start."""
        now_ms = self._scene.now_ms
        if order.token < self._token:
            return Err(not_run(FailureCode.FENCED, "token"))
        self._token = order.token
        if order.deadline_ms <= now_ms:
            return Err(not_run(FailureCode.EXPIRED, "late"))
        self._extend(order.deadline_ms)
        known = self.running.get(order.task)
        if known is not None and known.order.run == order.run:
            return Ok(now_ms)
        if order.run <= self._highest_by_task.get(order.task, 0):
            return Err(not_run(FailureCode.STALE, "old"))
        if order.ticket and now_ms > int(order.ticket.split()[-1]):
            self._scene.expired_tickets += 1
            return Err(not_run(FailureCode.TICKET, "ticket"))
        self._begin(order)
        return Ok(now_ms)

    def stop(self, order: StopOrder) -> Result[int, Failure]:
        """Carry out an order to stop."""
        if order.token < self._token:
            return Err(not_run(FailureCode.FENCED, "token"))
        self._token = order.token
        highest = self._highest_by_task.get(order.task, 0)
        self._highest_by_task[order.task] = max(highest, order.run)
        run = self.running.get(order.task)
        if run is not None and run.order.run == order.run:
            self._scene.at(100, lambda: self.end(run, EndKind.STOPPED))
        return Ok(self._scene.now_ms)

    def end(self, run: _Run, kind: EndKind) -> None:
        """End a run if it still goes on, and its gang with it."""
        key = run.order.task
        if self.running.get(key) is not run:
            return
        del self.running[key]
        self._number += 1
        self._highest_by_task[key] = max(
            run.order.run, self._highest_by_task.get(key, 0)
        )
        self.ended.append(EndedRun(self._number, key, run.order.run, kind))
        for waiter in list(self.waiters):
            waiter()
        if run.step.is_gang:
            other = kind if kind is EndKind.DONE else EndKind.MEMBER_ENDED
            for worker, member in self._members(run):
                worker.end(member, other)

    def used(self) -> Resources:
        """Return the room that is taken."""
        used = NO_RESOURCES
        for run in self.running.values():
            used = used.plus(run.step.resources)
        return used

    def _begin(self, order: StartOrder) -> None:
        spec = self._scene.specs[order.task.job_id]
        step = spec.steps[order.task.step]
        run = _Run(order, step, self._scene.now_ms)
        self.running[order.task] = run
        self._scene.starts[order.task] += 1
        self._scene.check()
        members = [(self, run), *self._members(run)]
        if step.is_gang and len(members) < step.task_count:
            return
        for worker, member in members if step.is_gang else [(self, run)]:
            worker.work(member)

    def work(self, run: _Run) -> None:
        """Let a run work until it ends."""
        scene, key = self._scene, run.order.task
        run.begun_ms = scene.now_ms
        run.duration_ms = scene.true_ms(key)
        fails = scene.fails(key, self.info.worker_id)
        kind = EndKind.FAILED if fails else EndKind.DONE
        delay_ms = 200 if fails else run.duration_ms
        scene.at(delay_ms, lambda: self.end(run, kind))

    def _members(self, run: _Run) -> list[tuple[SimulatedWorker, _Run]]:
        return [
            (worker, member)
            for worker in self._scene.workers.values()
            for key, member in list(worker.running.items())
            if key.step_key == run.order.task.step_key
            and key != run.order.task
            and member.order.run == run.order.run
        ]

    def _extend(self, deadline_ms: int) -> None:
        self._deadline_ms = max(self._deadline_ms, deadline_ms)
        self._scene.at(
            self._deadline_ms - self._scene.now_ms, self._check_lease
        )

    def _check_lease(self) -> None:
        if self._scene.now_ms < self._deadline_ms:
            return
        for run in list(self.running.values()):
            self.end(run, EndKind.LEASE_EXPIRED)

    def _percent(self, run: _Run) -> float:
        if run.begun_ms is None or not run.duration_ms:
            return 0.0
        share = (self._scene.now_ms - run.begun_ms) / run.duration_ms
        return min(99.0, 100.0 * share)
