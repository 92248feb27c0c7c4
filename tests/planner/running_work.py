"""A scheduler state with running work, for the tests of what stops it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from magnoliapitch.planner import Planner
from magnoliapitch.planner import PlanningOptions
from magnoliapitch.planner import SchedulerState
from magnoliapitch.resource import Resources
from magnoliapitch.workload.configuration import PermitTiming
from magnoliapitch.workload.configuration import Queue
from magnoliapitch.workload.job import JobSpec
from magnoliapitch.workload.job import StepSpec
from magnoliapitch.workload.job import TaskKey
from magnoliapitch.workload.run import ActiveRun
from magnoliapitch.workload.run import EndedRun
from magnoliapitch.workload.run import EndKind
from magnoliapitch.workload.worker import WorkerInfo


if TYPE_CHECKING:
    from magnoliapitch.planner.plan import Plan
    from magnoliapitch.planner.tracked import TrackedRun
    from magnoliapitch.planner.tracked_job import TrackedJob


CAPACITY = Resources(8_000, 32_000)
URGENT = 0
PLANS = 1
BATCH = 2


class RunningWork:
    """A state and a planner with preemption on, under a virtual clock."""

    def __init__(self, worker_count: int = 2, *, preemption: bool = True):
        self.state = SchedulerState()
        self.planner = Planner(PlanningOptions(preemption=preemption))
        self.now_ms = 0
        self._end_sequence = 0
        for number in range(worker_count):
            self.list_worker(f"w{number}")

    def list_worker(
        self,
        worker_id: str,
        drain_remaining_ms: int | None = None,
        labels: frozenset[str] = frozenset(),
    ) -> None:
        info = WorkerInfo(worker_id, "app", f"{worker_id}:1", "z", "r0")
        self.state.update_worker(
            info._replace(
                labels=labels,
                capacity=CAPACITY,
                is_draining=drain_remaining_ms is not None,
                drain_remaining_ms=drain_remaining_ms or 0,
            )
        ).is_usable = True

    def add_job(
        self,
        name: str,
        step: StepSpec,
        priority: int = BATCH,
        permit_timing: PermitTiming | None = None,
        attempts: int = 1,
    ) -> TrackedJob:
        queue = Queue(
            f"q{priority}",
            "h",
            "/",
            "app",
            priority,
            attempts,
            1.5,
            250.0,
            permit_timing=permit_timing,
        )
        spec = JobSpec(name, queue.name, "", (step,))
        return self.state.add_job(spec, queue, self.now_ms)

    def plan(self, max_starts: int = 1_000) -> Plan:
        """Plan a round and begin the planned starts at once."""
        plan = self.planner.plan(
            self.state, self.now_ms, self.now_ms, max_starts=max_starts
        )
        for start in plan.starts:
            run = self.state.add_ordered_run(
                start.task, start.run, start.worker_id, self.now_ms
            )
            run.order_sent_ms = self.now_ms
            run.is_order_settled = True
            self.state.confirm_run(run, self.now_ms)
        return plan

    def advance(self, duration_ms: int) -> list[Plan]:
        """Plan a round every 20 ms for a while."""
        plans = []
        for _ in range(duration_ms // 20):
            self.now_ms += 20
            plans.append(self.plan())
        return plans

    def end(
        self, run: TrackedRun, kind: EndKind, checkpoint: str = ""
    ) -> None:
        """Let a worker list the end of a run."""
        self._end_sequence += 1
        key = run.task.key
        end = EndedRun(self._end_sequence, key, run.number, kind, checkpoint)
        self.state.record_end(run.worker_id, end, self.now_ms)

    def report_checkpoint(self, run: TrackedRun, checkpoint: str) -> None:
        reported = ActiveRun(run.task.key, run.number, checkpoint, 1.0)
        self.state.record_running(run, reported, self.now_ms)

    def runs(self, job_id: str) -> list[TrackedRun]:
        return [
            run
            for step in self.state.jobs_by_id[job_id].all_steps()
            for run in step.all_active_runs()
        ]

    def stopping(self) -> dict[TaskKey, str]:
        """Return the reasons of the planned stops, by task."""
        plan = self.planner.plan(
            self.state, self.now_ms, self.now_ms, max_starts=0
        )
        return {stop.task: stop.reason for stop in plan.stops}
