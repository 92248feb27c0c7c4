from __future__ import annotations

import pytest

from magnoliapitch.resource import Resources
from magnoliapitch.workload.job import JobSpec
from magnoliapitch.workload.job import StepSpec
from tests.control.delegation.simulated_agents import DelegatedEffects
from tests.control.simulated_effects import SimulatedEffects
from tests.control.simulation import Simulation
from tests.control.simulation import queue
from tests.control.simulation import workers
from tests.control.test_capacity_under_faults import FaultyRun


SIZE = Resources(2_000, 4_000)
EFFECTS_TYPES = (SimulatedEffects, DelegatedEffects)


def make_simulation() -> Simulation:
    simulation = Simulation([queue("q")], workers(1, SIZE.times(4)))
    simulation.actual_duration_ms = lambda _: 3_000.0
    return simulation


def submit(simulation: Simulation, name: str, task_count: int) -> None:
    step = StepSpec(task_count, SIZE)
    simulation.submit(JobSpec(name, "q", "text", (step,)))


def test_a_worker_that_has_shrunk_gets_only_what_fits_beside_its_runs() -> (
    None
):
    simulation = make_simulation()
    submit(simulation, "first", 4)
    simulation.run(1_000)
    worker = simulation.workers["w000"]
    worker.resize(SIZE.times(2))
    simulation.run(600)
    submit(simulation, "second", 4)
    for _ in range(200):
        simulation.run(50)
        names = {key.job_id for key in worker.running}
        assert names != {"first", "second"}
        assert len(worker.running) <= (4 if "first" in names else 2)
    assert set(simulation.finished) == {"first", "second"}


# Rule LIMIT: capacity shrank while starts waited for the store.
def test_starts_that_waited_for_the_store_fit_a_worker_that_has_shrunk() -> (
    None
):
    simulation = make_simulation()
    simulation.run(1_000)
    simulation.store_is_unavailable = True
    submit(simulation, "job", 4)
    simulation.run(200)
    simulation.workers["w000"].resize(SIZE.times(2))
    simulation.run(1_200)
    simulation.store_is_unavailable = False
    simulation.run(500)
    assert len(simulation.workers["w000"].running) == 2
    simulation.run(10_000)
    assert set(simulation.finished) == {"job"}


class ShrinkingRun(FaultyRun):
    """A faulty run in which workers shrink and grow."""

    def _cause_faults(self) -> None:
        super()._cause_faults()
        if not self._happens(0.15):
            return
        worker_id = self._random.choice(self._live_worker_ids())
        worker = self.simulation.workers[worker_id]
        capacity = worker.info.capacity
        share = self._random.choice((0.5, 0.6, 0.8))
        worker.resize(
            Resources(
                int(capacity.cpu_millis * share),
                int(capacity.memory_mb * share),
            )
        )
        self.simulation.schedule(
            self._random.randrange(2_000, 12_000),
            lambda: worker.resize(capacity),
        )


@pytest.mark.parametrize("effects_type", EFFECTS_TYPES)
@pytest.mark.parametrize("seed", range(6))
def test_no_start_exceeds_a_shrunk_capacity_under_faults(
    seed: int, effects_type: type[SimulatedEffects]
) -> None:
    run = ShrinkingRun(seed, effects_type)
    run.play()
    assert run.simulation.violations == []
    assert set(run.simulation.finished) == set(run.job_ids)
