"""Random schedules with services whose tasks end again and again."""

from __future__ import annotations

import pytest

from magnoliapitch.ledger.state_table import JobState
from magnoliapitch.planner.duration.moving_average import DEFAULT_DURATION_MS
from magnoliapitch.resource import Resources
from magnoliapitch.workload.job import JobSpec
from magnoliapitch.workload.job import StepSpec
from magnoliapitch.workload.job import TaskKey
from tests.control.delegation.simulated_agents import DelegatedEffects
from tests.control.simulated_effects import SimulatedEffects
from tests.control.simulation import Simulation
from tests.control.simulation import queue
from tests.control.simulation import workers
from tests.control.test_capacity_under_faults import FaultyRun


SEEDS = range(4)
EFFECTS_TYPES = (SimulatedEffects, DelegatedEffects)
SERVICE_TASKS = 3
# Longest time without a run of a task while nothing disturbs it.
MAX_DOWN_MS = 3_000
CALM_MS = 15_000


class ServiceRun(FaultyRun):
    """A faulty run beside two services, of which one is a gang.

    Their runs end as done after a moment or half a minute, or as failed.
    """

    def __init__(
        self, seed: int, effects_type: type[SimulatedEffects]
    ) -> None:
        super().__init__(seed, effects_type)
        self.tasks: list[TaskKey] = []
        durations = self._duration_ms_by_task
        self.simulation.actual_duration_ms = lambda task: (
            self._random.choice((200.0, 3_000.0, 30_000.0))
            if task in self.tasks
            else durations[task]
        )
        for name, is_gang in (("service", False), ("gang", True)):
            step = StepSpec(
                SERVICE_TASKS,
                Resources(1_000, 1_000),
                is_gang=is_gang,
                is_long_running=True,
            )
            self.simulation.submit(JobSpec(name, "q", "text", (step,)))
            self.tasks += [
                TaskKey(name, 0, 0, position)
                for position in range(SERVICE_TASKS)
            ]

    def longest_down_ms(self) -> int:
        """Return the longest time in which a task had no run."""
        simulation = self.simulation
        last_ms = dict.fromkeys(self.tasks, simulation.now_ms)
        longest_ms = 0
        for _ in range(CALM_MS // 20):
            simulation.run(20)
            for worker in simulation.workers.values():
                for task in last_ms.keys() & worker.running.keys():
                    last_ms[task] = simulation.now_ms
            down_ms = simulation.now_ms - min(last_ms.values())
            longest_ms = max(longest_ms, down_ms)
        return longest_ms


# A task of a service that ended as done was never started again.
@pytest.mark.parametrize("effects_type", EFFECTS_TYPES)
@pytest.mark.parametrize("seed", SEEDS)
def test_services_run_until_they_are_cancelled(
    seed: int, effects_type: type[SimulatedEffects]
) -> None:
    run = ServiceRun(seed, effects_type)
    run.play()
    simulation = run.simulation
    assert simulation.violations == []
    assert set(simulation.finished) == set(run.job_ids)
    assert run.longest_down_ms() <= MAX_DOWN_MS
    for name in ("service", "gang"):
        simulation.cancel(name)
    simulation.run(5_000)
    assert not any(worker.running for worker in simulation.workers.values())
    outcomes = {
        simulation.finished[name].outcome for name in ("service", "gang")
    }
    assert outcomes == {JobState.CANCELLED}
    assert simulation.violations == []


# The time that a service ran was averaged with the durations of its queue.
def test_the_end_of_a_service_is_not_learned_as_a_duration() -> None:
    simulation = Simulation([queue("q")], workers(1))
    simulation.actual_duration_ms = lambda _: 30_000.0
    step = StepSpec(1, Resources(1_000, 1_000), is_long_running=True)
    simulation.submit(JobSpec("a", "q", "text", (step,)))
    simulation.run_until(lambda: simulation.starts[TaskKey("a", 0, 0, 0)] > 1)
    controller = simulation.controller
    [tracked] = controller.state.jobs_by_id["a"].all_steps()
    expected_ms = controller.planner.duration_estimator.expected_ms(tracked)
    assert expected_ms == DEFAULT_DURATION_MS
