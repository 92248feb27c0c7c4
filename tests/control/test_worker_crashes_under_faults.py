"""Random schedules with deadly tasks, crashes, cuts and new leaders."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from magnoliapitch.ledger.state_table import JobState
from tests.control.delegation.simulated_agents import DelegatedEffects
from tests.control.simulated_effects import SimulatedEffects
from tests.control.simulation import Simulation
from tests.control.test_capacity_under_faults import FaultyRun


if TYPE_CHECKING:
    from magnoliapitch.workload.job import TaskKey


SEEDS = range(8)
EFFECTS_TYPES = (SimulatedEffects, DelegatedEffects)


class CrashingRun(FaultyRun):
    """A faulty run in which some tasks crash their workers.

    Workers crash by themselves too. They are back after half a second to six
    seconds; a crash may come before the start order is answered.
    """

    def __init__(
        self,
        seed: int,
        effects_type: type[SimulatedEffects] = SimulatedEffects,
        simulation_type: type[Simulation] = Simulation,
    ) -> None:
        super().__init__(seed, effects_type, simulation_type)
        self.deadly_job_ids: set[str] = set()
        self.simulation.crashes_worker = self._crashes_worker
        self.simulation.crash_delay_ms = self._random.choice((0, 5, 400))

    def _crashes_worker(self, task: TaskKey) -> bool:
        return task.job_id in self.deadly_job_ids and task.position == 0

    def _submit(self) -> None:
        if self._happens(0.04):
            self.deadly_job_ids.add(f"j{len(self.job_ids)}")
        super()._submit()

    def _cause_faults(self) -> None:
        super()._cause_faults()
        simulation = self.simulation
        simulation.restart_delay_ms = self._random.randrange(500, 6_000)
        if self._happens(0.03):
            worker_id = self._random.choice(self._live_worker_ids())
            simulation.workers[worker_id].crash()

    def wrongly_failed(self) -> set[str]:
        """Return failed jobs that neither failed runs nor crashes explain."""
        attempts = self.simulation.history.attempts
        return {
            job_id
            for job_id, finished in self.simulation.finished.items()
            if finished.outcome is JobState.FAILED
            and not attempts.explains_failure(job_id)
        }


# Incident BUDGET: with cuts, late orders, lost answers and new leaders, too.
@pytest.mark.parametrize("effects_type", EFFECTS_TYPES)
@pytest.mark.parametrize("seed", SEEDS)
def test_deadly_tasks_are_given_up_under_faults(
    seed: int, effects_type: type[SimulatedEffects]
) -> None:
    run = CrashingRun(seed, effects_type)
    run.play()
    assert run.simulation.violations == []
    assert run.wrongly_failed() == set()
    assert set(run.simulation.finished) == set(run.job_ids)
