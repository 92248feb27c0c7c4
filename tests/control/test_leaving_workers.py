from __future__ import annotations

from magnoliapitch.resource import Resources
from magnoliapitch.workload.job import JobSpec
from magnoliapitch.workload.job import StepSpec
from tests.control.simulation import Simulation
from tests.control.simulation import queue
from tests.control.simulation import workers


SIZE = Resources(2_000, 4_000)


def make_simulation(worker_count: int = 1) -> Simulation:
    simulation = Simulation([queue("q")], workers(worker_count, SIZE.times(4)))
    simulation.run(1_000)
    return simulation


def submit(simulation: Simulation, name: str, task_count: int = 4) -> None:
    step = StepSpec(task_count, SIZE)
    simulation.submit(JobSpec(name, "q", "text", (step,)))


# Incident DRAIN: the list could not be read, and the last one stayed in use.
def test_no_start_rests_on_a_list_that_could_not_be_read_for_long() -> None:
    simulation = make_simulation()
    simulation.list_is_unavailable = True
    simulation.workers["w000"].leave()
    for number in range(20):
        submit(simulation, f"j{number}", 1)
        simulation.run(300)
    assert simulation.violations == []


def test_held_starts_are_ordered_once_the_list_is_read_again() -> None:
    simulation = make_simulation(2)
    simulation.list_is_unavailable = True
    leaving = simulation.workers["w000"]
    leaving.leave()
    simulation.run(3_000)
    submit(simulation, "job")
    simulation.run(3_000)
    assert not leaving.running
    simulation.list_is_unavailable = False
    simulation.run(5_000)
    assert set(simulation.finished) == {"job"}
    assert simulation.violations == []
