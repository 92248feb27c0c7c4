"""Starts between the storing of a batch's progress and that of its states."""

from __future__ import annotations

from magnoliapitch.ledger.state_table import JobState
from magnoliapitch.resource import Resources
from magnoliapitch.workload.job import JobSpec
from magnoliapitch.workload.job import StepSpec
from magnoliapitch.workload.job import TaskKey
from magnoliapitch.workload.progress import JobOutcome
from tests.control.simulation import Simulation
from tests.control.simulation import queue
from tests.control.simulation import workers


# An append on a store that answers 43 times as slowly as usual.
SLOW_APPEND_MS = 470
TASK = TaskKey("a", 0, 0, 0)


def _slow_simulation() -> Simulation:
    simulation = Simulation([queue("q")], workers(3))
    simulation.run(1_000)
    simulation.state_commit_ms = SLOW_APPEND_MS
    step = StepSpec(1, Resources(1_000, 1_000))
    simulation.submit(JobSpec("a", "q", "text", (step,)))
    return simulation


def test_a_start_does_not_wait_for_the_states_on_a_slow_store() -> None:
    simulation = _slow_simulation()
    simulation.run(SLOW_APPEND_MS - 100)
    assert simulation.starts[TASK] == 1


# The former leader ordered the start, but could not store the states.
def test_a_leader_that_is_replaced_before_the_states_repeats_no_start() -> (
    None
):
    simulation = _slow_simulation()
    simulation.run_until(lambda: simulation.starts[TASK] == 1)
    simulation.take_over()
    simulation.state_commit_ms = 0
    simulation.run(5_000)
    assert simulation.starts[TASK] == 1
    assert simulation.finished["a"].outcome is JobState.COMPLETED
    assert simulation.violations == []


def test_a_job_is_not_shown_as_completed_before_its_states_are_stored() -> (
    None
):
    simulation = _slow_simulation()
    simulation.run_until(lambda: "a" in simulation.controller.state.jobs_by_id)
    job = simulation.controller.state.jobs_by_id["a"]
    simulation.run_until(lambda: job.outcome is not JobOutcome.OPEN)
    assert "a" not in simulation.finished
    simulation.run(3 * SLOW_APPEND_MS)
    assert simulation.finished["a"].outcome is JobState.COMPLETED
