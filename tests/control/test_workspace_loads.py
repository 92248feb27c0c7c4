"""Loads of several workspaces that share too little capacity."""

from __future__ import annotations

import random

from collections import defaultdict
from typing import TYPE_CHECKING

from magnoliapitch.resource import Resources
from magnoliapitch.workload.configuration import PermitTiming
from magnoliapitch.workload.configuration import Workspace
from magnoliapitch.workload.job import JobSpec
from magnoliapitch.workload.job import StepSpec
from tests.control.simulation import queue
from tests.control.simulation import workers
from tests.control.workspace_simulation import WorkspaceSimulation


if TYPE_CHECKING:
    from collections.abc import Sequence

    from magnoliapitch.workload.job import TaskKey


CAPACITY = Resources(16_000, 64_000)
WORKER_COUNT = 6
NAMES = ("a", "b", "c", "d")
TASK_MS = 800.0
TASK = Resources(2_500, 4_000)
# At its usual load, with at most one job a tick, each workspace stays below
# its share of 24 cores; together they use two thirds of the 96.
JOBS_PER_S_OF_EACH = 8.0
TICK_MS = 100
# Objective of the urgent queue, 0.25 s and 1.5 times the path, less the path.
MAX_START_DELAY_MS = 650


class WorkspaceLoad:
    """Urgent jobs of workspaces that share the queues.

    :ivar rate_factor_by_workspace: factor of the usual rate.
    """

    def __init__(self, workspaces: Sequence[Workspace]) -> None:
        self.simulation = WorkspaceSimulation(
            [queue("urgent"), queue("batch", 2)],
            workers(WORKER_COUNT, CAPACITY),
            workspaces,
        )
        self.simulation.actual_duration_ms = lambda _: TASK_MS
        self.rate_factor_by_workspace = dict.fromkeys(NAMES, 1.0)
        self.start_delays_ms: defaultdict[str, list[int]] = defaultdict(list)
        self._choice = random.Random(11)
        self._submitted_ms: dict[str, int] = {}
        self._record_start = self.simulation.history.record_start
        self.simulation.history.record_start = (  # type: ignore[method-assign]
            self._record
        )
        self.simulation.run(1_000)

    def run(self, duration_ms: int) -> None:
        for _ in range(duration_ms // TICK_MS):
            for name, factor in self.rate_factor_by_workspace.items():
                mean = factor * JOBS_PER_S_OF_EACH * TICK_MS / 1_000
                count = int(mean) + (self._choice.random() < mean % 1)
                for _ in range(count):
                    self.submit(name, StepSpec(1, TASK))
            self.simulation.run(TICK_MS)

    def submit(
        self, workspace: str, step: StepSpec, queue_name: str = "urgent"
    ) -> None:
        job_id = f"j{len(self._submitted_ms)}"
        self._submitted_ms[job_id] = self.simulation.now_ms
        self.simulation.submit(
            JobSpec(job_id, queue_name, "", (step,), workspace=workspace)
        )

    def _record(self, task: TaskKey) -> None:
        self._record_start(task)
        delay_ms = self.simulation.now_ms - self._submitted_ms[task.job_id]
        workspace = self.simulation.specs[task.job_id].workspace
        self.start_delays_ms[workspace].append(delay_ms)


def test_a_burst_of_one_workspace_leaves_the_others_their_waiting_time() -> (
    None
):
    """7.5 times the usual load of one for 6.5 s, beside three steady ones."""
    load = WorkspaceLoad([Workspace(name) for name in NAMES])
    load.run(5_000)
    load.rate_factor_by_workspace["a"] = 7.5
    load.run(6_500)
    load.rate_factor_by_workspace["a"] = 1.0
    load.run(4_000)
    for name in NAMES[1:]:
        assert max(load.start_delays_ms[name]) <= MAX_START_DELAY_MS
    assert max(load.start_delays_ms["a"]) > MAX_START_DELAY_MS
    assert load.simulation.violations == []


def test_a_burst_uses_what_the_others_leave() -> None:
    """Three idle workspaces keep nothing from the one with work."""
    load = WorkspaceLoad([Workspace(name) for name in NAMES])
    load.submit("a", StepSpec(400, TASK))
    load.simulation.run(400)
    used = load.simulation.used("a").cpu_millis
    assert used == WORKER_COUNT * (16_000 // 2_500) * 2_500


def test_a_wide_step_runs_in_waves_below_its_quota() -> None:
    quota = Resources(25_000)
    load = WorkspaceLoad([Workspace("a", quota=quota), Workspace("b")])
    load.submit("a", StepSpec(60, TASK), "batch")
    simulation = load.simulation
    for _ in range(60):
        simulation.run(TICK_MS)
        assert simulation.used("a").cpu_millis <= quota.cpu_millis
    simulation.run(3_000)
    assert set(simulation.finished) == {"j0"}
    assert simulation.violations == []


def test_a_workspace_at_its_quota_holds_no_permit_call() -> None:
    """Its waiting steps would keep the advisor from the other's."""
    load = WorkspaceLoad(
        [Workspace("a", quota=Resources(5_000)), Workspace("b")]
    )
    simulation = load.simulation
    simulation.actual_duration_ms = lambda _: 30_000.0
    urgent = simulation.configuration.queues_by_name["urgent"]
    timing = PermitTiming(400, 1, 2_500)
    simulation.configuration = simulation.configuration._replace(
        queues_by_name={"urgent": urgent._replace(permit_timing=timing)}
    )
    simulation.controller.handle_configuration_changed()
    for _ in range(40):
        load.submit("a", StepSpec(2, TASK))
    simulation.run(4_000)
    simulation.advisor_call_count = 0
    simulation.run(10_000)
    assert simulation.advisor_call_count == 0
    load.submit("b", StepSpec(2, TASK))
    simulation.run(1_000)
    assert len(load.start_delays_ms["b"]) == 2


def test_a_lowered_quota_lets_runs_end_and_starts_none() -> None:
    load = WorkspaceLoad(
        [Workspace("a", quota=Resources(50_000)), Workspace("b")]
    )
    simulation = load.simulation
    load.submit("a", StepSpec(60, TASK))
    simulation.run(300)
    assert simulation.used("a") == TASK.times(20)
    simulation.store_workspaces(
        [Workspace("a", quota=Resources(10_000)), Workspace("b")], 0
    )
    simulation.run(300)
    assert simulation.used("a") == TASK.times(20)
    assert not simulation.stop_orders
    simulation.run(600)
    assert simulation.used("a") == TASK.times(4)


# A start that was planned under the former quota waited for a slow commit.
def test_a_quota_lowered_during_a_commit_drops_planned_starts() -> None:
    load = WorkspaceLoad(
        [Workspace("a", quota=Resources(50_000)), Workspace("b")]
    )
    simulation = load.simulation
    simulation.store_is_unavailable = True
    load.submit("a", StepSpec(60, TASK))
    simulation.run(200)
    simulation.store_workspaces(
        [Workspace("a", quota=Resources(10_000)), Workspace("b")], 0
    )
    simulation.store_is_unavailable = False
    simulation.run(300)
    assert simulation.used("a") == TASK.times(5)
