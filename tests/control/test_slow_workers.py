"""Workers that are only silent or slow for a while, and lost answers."""

from __future__ import annotations

import pytest

from magnoliapitch.resource import Resources
from magnoliapitch.workload.job import JobSpec
from magnoliapitch.workload.job import StepSpec
from magnoliapitch.workload.job import TaskKey
from tests.control.simulation import Simulation
from tests.control.simulation import queue
from tests.control.simulation import workers


TASK = TaskKey("a", 0, 0, 0)
STEP = StepSpec(1, Resources(2_000, 4_000))


def simulation_of_one_task(duration_ms: float) -> Simulation:
    simulation = Simulation([queue("q")], workers(2))
    simulation.actual_duration_ms = lambda _: duration_ms
    simulation.submit(JobSpec("a", "q", "text", (STEP,)))
    return simulation


# The start is carried out but its answer is lost. The leader stops the run
# although the worker reports it as running meanwhile, and starts the task
# again.
def test_a_run_that_is_reported_after_a_lost_answer_goes_on() -> None:
    simulation = simulation_of_one_task(5_000.0)
    simulation.start_answer_lost = lambda _: True
    simulation.run(8_000)
    assert simulation.starts[TASK] == 1
    assert simulation.stop_orders[TASK] == 0
    assert "a" in simulation.finished


# The worker is cut off while it carries out the order, for less than a lease.
@pytest.mark.parametrize("silent_ms", [500, 1_500, 3_000, 4_500])
def test_the_work_of_a_silent_worker_is_not_started_again(
    silent_ms: int,
) -> None:
    simulation = simulation_of_one_task(9_000.0)
    simulation.start_answer_lost = lambda _: True
    simulation.run_until(lambda: simulation.starts[TASK], step_ms=1)
    simulation.unreachable_worker_ids = set(simulation.workers)
    simulation.run(silent_ms)
    simulation.unreachable_worker_ids = set()
    simulation.run(12_000)
    assert simulation.starts[TASK] == 1
    assert "a" in simulation.finished
    assert simulation.violations == []


# All answers to the order are lost and the run ends before it was reported.
def test_a_run_that_is_done_after_a_lost_answer_is_not_run_again() -> None:
    simulation = simulation_of_one_task(300.0)
    simulation.start_answer_lost = lambda _: True
    simulation.run(4_000)
    assert simulation.starts[TASK] == 1
    assert "a" in simulation.finished


# A run that is cancelled meanwhile is stopped, whatever the worker reports.
def test_a_cancelled_run_is_stopped_after_a_lost_answer() -> None:
    simulation = simulation_of_one_task(60_000.0)
    simulation.start_answer_lost = lambda _: True
    simulation.run_until(lambda: simulation.starts[TASK], step_ms=1)
    simulation.run(750)
    simulation.cancel("a")
    simulation.run(3_000)
    assert not any(worker.running for worker in simulation.workers.values())
