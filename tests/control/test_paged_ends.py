"""Workers that list only a part of their ended runs at a time."""

from __future__ import annotations

import pytest

from magnoliapitch.ledger.state_table import JobState
from magnoliapitch.resource import Resources
from magnoliapitch.workload.job import JobSpec
from magnoliapitch.workload.job import StepSpec
from tests.control.delegation.simulated_agents import DelegatedEffects
from tests.control.simulated_effects import SimulatedEffects
from tests.control.simulation import Simulation
from tests.control.simulation import queue
from tests.control.simulation import workers


SIZE = Resources(10, 10)


# A new leader took the runs that the first page of ends did not list for runs
# that had never begun, and started their tasks again.
@pytest.mark.parametrize(
    ("effects_type", "task_count", "ends_per_report"),
    [
        (SimulatedEffects, 40, 10),
        (DelegatedEffects, 40, 10),
        (DelegatedEffects, 1_200, 500),
    ],
)
def test_no_task_runs_again_while_a_new_leader_reads_pages_of_ends(
    effects_type: type[SimulatedEffects],
    task_count: int,
    ends_per_report: int,
) -> None:
    simulation = Simulation(
        [queue("q")], workers(1), effects_type=effects_type
    )
    simulation.ends_per_report = ends_per_report
    simulation.actual_duration_ms = lambda _: 3_000.0
    step = StepSpec(task_count, SIZE)
    simulation.submit(JobSpec("a", "q", "text", (step,)))
    (worker,) = simulation.workers.values()
    simulation.run_until(lambda: len(worker.running) == task_count)
    simulation.store_is_unavailable = True
    simulation.run_until(lambda: not worker.running)
    assert len(worker.ended) > 2 * ends_per_report
    simulation.store_is_unavailable = False
    simulation.take_over()
    simulation.run_until(lambda: simulation.finished)
    assert simulation.finished["a"].outcome is JobState.COMPLETED
    assert set(simulation.starts.values()) == {1}
    assert simulation.violations == []
