"""Tasks that last lose their worker while all others are full."""

from __future__ import annotations

import pytest

from magnoliapitch.planner.options import PlanningOptions
from magnoliapitch.resource import Resources
from magnoliapitch.workload.configuration import PermitTiming
from magnoliapitch.workload.job import JobSpec
from magnoliapitch.workload.job import StepSpec
from magnoliapitch.workload.job import TaskKey
from tests.control.delegation.simulated_agents import DelegatedEffects
from tests.control.missing_runs import MissingRuns
from tests.control.simulated_effects import SimulatedEffects
from tests.control.simulation import Simulation
from tests.control.simulation import queue
from tests.control.simulation import workers


SIZE = Resources(2_000, 4_000)
TASK = TaskKey("service", 0, 0, 0)
PERMIT_TIMING = PermitTiming(600, 0, 2_500)
# Longer than the lease of the lost worker and the way to the next run.
SETTLE_MS = 14_000


class FullFleet:
    """A service, and work that fills all workers for a minute.

    :param duration_ms: duration of each task of that work.
    """

    def __init__(
        self,
        effects_type: type[SimulatedEffects],
        queue_name: str,
        duration_ms: float,
    ) -> None:
        self.simulation = simulation = Simulation(
            [
                queue("urgent", 0),
                queue("services", 1, PERMIT_TIMING),
                queue("batches", 2),
            ],
            workers(3, SIZE.times(4)),
            effects_type=effects_type,
            options=PlanningOptions(preemption=True),
        )
        simulation.permitted_share = 1.0
        simulation.fails_waiting_renewals = True
        simulation.actual_duration_ms = lambda task: (
            1e9 if task == TASK else duration_ms + 37 * task.position
        )
        service = StepSpec(1, SIZE.times(2), is_long_running=True)
        simulation.submit(JobSpec("service", "services", "text", (service,)))
        simulation.run_until(lambda: simulation.starts[TASK] > 0)
        self.missing = MissingRuns(simulation)
        count = int(12 * 60_000 // duration_ms)
        step = StepSpec(count, SIZE, int(duration_ms))
        simulation.submit(JobSpec("work", queue_name, "text", (step,)))
        simulation.run(2_000)

    def lose_worker(self) -> None:
        for worker in self.simulation.workers.values():
            if TASK in worker.running:
                worker.running.clear()
                worker.is_gone = True
                self.simulation.unreachable_worker_ids.add(
                    worker.info.worker_id
                )


# Incident LOST: the task never started again, since nothing made room.
@pytest.mark.parametrize("effects_type", [SimulatedEffects, DelegatedEffects])
@pytest.mark.parametrize(
    ("queue_name", "duration_ms"), [("batches", 60_000.0), ("urgent", 900.0)]
)
def test_a_lost_service_runs_again_in_time_although_all_workers_are_full(
    effects_type: type[SimulatedEffects], queue_name: str, duration_ms: float
) -> None:
    fleet = FullFleet(effects_type, queue_name, duration_ms)
    fleet.lose_worker()
    fleet.simulation.run(SETTLE_MS)
    assert fleet.simulation.starts[TASK] > 1
    assert fleet.simulation.violations == []
    fleet.missing.check()
