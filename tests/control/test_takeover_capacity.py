from __future__ import annotations

from magnoliapitch.ledger.state_table import JobState
from magnoliapitch.resource import Resources
from magnoliapitch.workload.job import JobSpec
from magnoliapitch.workload.job import StepSpec
from tests.control.simulation import Simulation
from tests.control.simulation import queue
from tests.control.simulation import workers


SIZE = Resources(2_000, 4_000)
CAPACITY = SIZE.times(4)
LONG_MS = 60_000.0


def make_simulation(count: int = 1) -> Simulation:
    simulation = Simulation([queue("q")], workers(count, CAPACITY))
    simulation.actual_duration_ms = lambda _: LONG_MS
    return simulation


def submit(simulation: Simulation, name: str, tasks: int) -> None:
    simulation.submit(JobSpec(name, "q", "text", (StepSpec(tasks, SIZE),)))


# Incident limit-69dc: the new leader placed tasks in the capacity of runs of a
# job that had ended before it led, and a worker was over its capacity.
def test_runs_of_an_ended_job_keep_their_capacity_under_a_new_leader() -> None:
    simulation = make_simulation()
    submit(simulation, "cancelled", 4)
    simulation.run(1_000)
    simulation.unreachable_worker_ids = {"w000"}
    simulation.cancel("cancelled")
    submit(simulation, "waiting", 4)
    simulation.run(200)
    assert simulation.finished["cancelled"].outcome is JobState.CANCELLED
    simulation.take_over()
    simulation.unreachable_worker_ids = set()
    simulation.run(3_000)
    assert simulation.violations == []
    worker = simulation.workers["w000"]
    assert {key.job_id for key in worker.running} == {"waiting"}
