from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from magnoliapitch.resource import Resources
from magnoliapitch.workload.job import JobSpec
from magnoliapitch.workload.job import StepSpec
from magnoliapitch.workload.run import StartOrder
from tests.control.delegation.simulated_agents import DelegatedEffects
from tests.control.simulated_effects import SimulatedEffects
from tests.control.simulation import Simulation
from tests.control.simulation import queue
from tests.control.simulation import workers
from tests.control.test_capacity_under_faults import FaultyRun


if TYPE_CHECKING:
    from magnoliapitch.workload.run import StopOrder


SIZE = Resources(2_000, 4_000)
EFFECTS_TYPES = (SimulatedEffects, DelegatedEffects)


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


# Incident DRAIN: an order was decided before the worker said that it leaves,
# and was carried out seconds later, since its deadline was that of a lease.
def test_an_order_that_took_long_is_not_begun_on_a_worker_that_leaves() -> (
    None
):
    simulation = make_simulation()
    simulation.order_late_ms = lambda order: (
        3_000 if isinstance(order, StartOrder) else 60_000
    )
    submit(simulation, "job")
    simulation.run(100)
    simulation.workers["w000"].leave()
    simulation.run(4_000)
    assert simulation.violations == []


# The cause of incident DRAIN elsewhere: cancellations could not be read.
def test_no_start_rests_on_jobs_that_could_not_be_read_for_long() -> None:
    simulation = make_simulation()
    for number in range(20):
        submit(simulation, f"j{number}")
    simulation.run(100)
    simulation.jobs_are_unavailable = True
    for number in range(20):
        simulation.cancel(f"j{number}")
    simulation.run(6_000)
    assert simulation.violations == []
    simulation.jobs_are_unavailable = False
    submit(simulation, "later")
    simulation.run(6_000)
    assert "later" in simulation.finished


class LeavingRun(FaultyRun):
    """A faulty run in which workers leave and the list cannot be read."""

    def _cause_faults(self) -> None:
        super()._cause_faults()
        simulation = self.simulation
        if not simulation.list_is_unavailable and self._happens(0.1):
            simulation.list_is_unavailable = True
            simulation.schedule(
                self._random.randrange(500, 9_000), self._list_again
            )
        if not simulation.jobs_are_unavailable and self._happens(0.05):
            simulation.jobs_are_unavailable = True
            simulation.schedule(
                self._random.randrange(500, 7_000), self._jobs_again
            )
        if self._happens(0.1):
            worker_id = self._random.choice(self._live_worker_ids())
            worker = simulation.workers[worker_id]
            worker.leave()
            simulation.schedule(
                self._random.randrange(3_000, 9_000), worker.stay
            )

    def _jobs_again(self) -> None:
        self.simulation.jobs_are_unavailable = False

    def _list_again(self) -> None:
        self.simulation.list_is_unavailable = False

    def _order_late_ms(self, order: StartOrder | StopOrder) -> int:
        if not self._happens(0.1):
            return super()._order_late_ms(order)
        return self._random.randrange(200, 8_000)


@pytest.mark.parametrize("effects_type", EFFECTS_TYPES)
@pytest.mark.parametrize("seed", range(6))
def test_no_start_follows_a_workers_notice_for_long_under_faults(
    seed: int, effects_type: type[SimulatedEffects]
) -> None:
    run = LeavingRun(seed, effects_type)
    run.play()
    assert run.simulation.violations == []
    assert set(run.simulation.finished) == set(run.job_ids)
