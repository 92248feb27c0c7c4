"""Accepted jobs whose queue the newest configuration does not define."""

from __future__ import annotations

import pytest

from magnoliapitch.ledger.state_table import JobState
from magnoliapitch.resource import Resources
from magnoliapitch.workload.configuration import QueueSnapshot
from magnoliapitch.workload.job import JobSpec
from magnoliapitch.workload.job import StepSpec
from magnoliapitch.workload.job import TaskKey
from magnoliapitch.workload.run import EndKind
from tests.control.simulation import Simulation
from tests.control.simulation import queue
from tests.control.simulation import workers


STEPS = (
    StepSpec(4, Resources(2_000, 4_000)),
    StepSpec(2, Resources(2_000, 4_000), depends_on=(0,)),
)
SNAPSHOT = QueueSnapshot.from_queue(queue("q"))
OF_OLDER_RELEASE = None


def make_simulation() -> Simulation:
    simulation = Simulation([queue("q")], workers(3))
    simulation.actual_duration_ms = lambda _: 2_000.0
    return simulation


def submit(
    simulation: Simulation, accepting_queue: QueueSnapshot | None = SNAPSHOT
) -> None:
    simulation.submit(
        JobSpec("a", "q", "text", STEPS, accepting_queue=accepting_queue)
    )


def set_queues(simulation: Simulation, *names: str) -> None:
    simulation.configuration = simulation.configuration._replace(
        queues_by_name={name: queue(name) for name in names}
    )
    simulation.controller.handle_configuration_changed()


def assert_each_task_ran_once(simulation: Simulation) -> None:
    assert simulation.finished["a"].outcome is JobState.COMPLETED
    assert set(simulation.starts.values()) == {1}
    assert len(simulation.starts) == 6
    assert simulation.violations == []


# An instance accepted a job on a queue that the leader had already dropped;
# the job never ran, and other instances said that there was no such job.
def test_a_job_runs_whose_queue_was_removed_before_the_leader_read_it() -> (
    None
):
    simulation = make_simulation()
    set_queues(simulation, "other")
    submit(simulation)
    simulation.run(500)
    published = simulation.states.get("a")
    assert published is not None
    assert published.state is JobState.RUNNING
    simulation.run(6_000)
    assert_each_task_ran_once(simulation)


# A new leader did not load the job of a removed queue and acknowledged the
# ends of its tasks, which ran again once the queue was defined again.
@pytest.mark.parametrize("accepting_queue", [SNAPSHOT, OF_OLDER_RELEASE])
def test_ends_are_kept_over_a_change_of_leader_while_the_queue_is_away(
    accepting_queue: QueueSnapshot | None,
) -> None:
    simulation = make_simulation()
    submit(simulation, accepting_queue)
    simulation.run(1_000)
    set_queues(simulation, "other")
    simulation.take_over()
    simulation.run(3_000)
    done = simulation.controller.state.task(TaskKey("a", 0, 0, 0))
    assert done is not None
    assert done.is_done
    is_known = accepting_queue is not OF_OLDER_RELEASE
    assert len(simulation.starts) == (6 if is_known else 4)
    set_queues(simulation, "q")
    simulation.run(6_000)
    assert_each_task_ran_once(simulation)


# While its queue was not known, a task could have failed more often than the
# queue allows once it is defined again.
def test_a_queue_that_is_back_fails_jobs_without_attempts_left() -> None:
    simulation = make_simulation()
    simulation.actual_duration_ms = lambda _: 60_000.0
    submit(simulation, OF_OLDER_RELEASE)
    simulation.run(900)
    set_queues(simulation)
    simulation.take_over()
    simulation.run(500)
    for worker in simulation.workers.values():
        for run in list(worker.running.values()):
            worker.end(run, EndKind.FAILED)
    simulation.run(500)
    assert simulation.finished == {}
    simulation.configuration = simulation.configuration._replace(
        queues_by_name={"q": queue("q")._replace(attempts=1)}
    )
    simulation.controller.handle_configuration_changed()
    simulation.run(500)
    assert simulation.finished["a"].outcome is JobState.FAILED
    assert set(simulation.starts.values()) == {1}


# Incident LOST: a configuration with fewer attempts, or without the number of
# attempts, closed every job of the queue that had failed that often before.
@pytest.mark.parametrize("is_taken_over", [False, True])
def test_a_job_keeps_the_attempts_that_it_was_accepted_with(
    *, is_taken_over: bool
) -> None:
    accepting = queue("q")._replace(attempts=3)
    simulation = Simulation([accepting], workers(3))
    simulation.actual_duration_ms = lambda _: 2_000.0
    submit(simulation, QueueSnapshot.from_queue(accepting))
    simulation.run(900)
    for attempts in (1, 2):
        simulation.configuration = simulation.configuration._replace(
            queues_by_name={"q": accepting._replace(attempts=attempts)}
        )
        simulation.controller.handle_configuration_changed()
        job = simulation.controller.state.jobs_by_id["a"]
        assert job.queue.attempts == 3
        if is_taken_over:
            simulation.take_over()
            simulation.run(500)
        for worker in simulation.workers.values():
            for run in list(worker.running.values()):
                worker.end(run, EndKind.FAILED)
        simulation.run(900)
    assert max(simulation.failures_of.values()) == 2
    simulation.run(8_000)
    assert simulation.finished["a"].outcome is JobState.COMPLETED
    assert simulation.violations == []
