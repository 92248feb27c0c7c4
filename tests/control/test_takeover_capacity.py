from __future__ import annotations

from collections import Counter

import pytest

from magnoliapitch.ledger.state_table import JobState
from magnoliapitch.resource import Resources
from magnoliapitch.workload.job import JobSpec
from magnoliapitch.workload.job import StepKey
from magnoliapitch.workload.job import StepSpec
from magnoliapitch.workload.job import TaskKey
from magnoliapitch.workload.run import StartOrder
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


def cancel_before_takeover(simulation: Simulation, tasks: int) -> None:
    submit(simulation, "cancelled", tasks)
    simulation.run(1_000)
    simulation.unreachable_worker_ids = {"w000"}
    simulation.cancel("cancelled")
    simulation.run(200)
    assert simulation.finished["cancelled"].outcome is JobState.CANCELLED
    simulation.take_over()
    simulation.unreachable_worker_ids = set()


# Incident limit-69dc: the new leader placed tasks in the capacity of runs of a
# job that had ended before it led, and a worker was over its capacity.
def test_runs_of_an_ended_job_keep_their_capacity_under_a_new_leader() -> None:
    simulation = make_simulation()
    cancel_before_takeover(simulation, tasks=4)
    submit(simulation, "waiting", 4)
    simulation.run(3_000)
    assert simulation.violations == []
    worker = simulation.workers["w000"]
    assert {key.job_id for key in worker.running} == {"waiting"}


def start_unknown_runs(simulation: Simulation, tasks: int) -> None:
    simulation.specs["unknown"] = JobSpec(
        "unknown", "q", "text", (StepSpec(tasks, SIZE),)
    )
    for position in range(tasks):
        key = TaskKey("unknown", 0, 0, position)
        token = simulation.controller.epoch
        order = StartOrder(key, 1, "text", token, simulation.now_ms + 60_000)
        assert simulation.workers["w000"].start(order).is_ok()


def test_a_worker_gets_no_new_runs_while_it_reports_unknown_ones() -> None:
    simulation = make_simulation()
    start_unknown_runs(simulation, 4)
    submit(simulation, "waiting", 4)
    simulation.run(3_000)
    assert simulation.violations == []
    assert len(simulation.workers["w000"].running) == 4
    assert simulation.starts[TaskKey("waiting", 0, 0, 0)] == 1


def test_starts_in_commit_are_dropped_when_an_unknown_run_is_reported() -> (
    None
):
    simulation = make_simulation()
    simulation.run(600)
    simulation.store_is_unavailable = True
    submit(simulation, "waiting", 4)
    simulation.run(100)
    start_unknown_runs(simulation, 1)
    simulation.run_until(lambda: simulation.stop_orders)
    simulation.store_is_unavailable = False
    simulation.run(3_000)
    assert simulation.violations == []
    assert len(simulation.workers["w000"].running) == 4


def cut_off_until_repeated(simulation: Simulation) -> str:
    """Cut off the only busy worker until its tasks run elsewhere again.

    :return: id of that worker.
    """
    [busy] = [
        worker for worker in simulation.workers.values() if worker.running
    ]
    simulation.unreachable_worker_ids = {busy.info.worker_id}
    simulation.run_until(lambda: max(simulation.starts.values()) >= 2)
    return busy.info.worker_id


# Incident limit-69dc: a gang's repeated run, which nobody needed any more, was
# still executing when the next leader began.
def test_a_gang_that_is_done_stops_its_repeated_run() -> None:
    simulation = make_simulation(2)
    simulation.actual_duration_ms = lambda _: 5_000.0
    gang = StepSpec(4, SIZE, is_gang=True)
    simulation.submit(JobSpec("gang", "q", "text", (gang,)))
    simulation.run(1_000)
    cut_off_until_repeated(simulation)
    simulation.unreachable_worker_ids = set()
    simulation.run_until(lambda: "gang" in simulation.finished)
    simulation.run(600)
    assert not any(worker.running for worker in simulation.workers.values())


# A repeated run whose start waited for its commit was ordered although the
# first run had been reported as done meanwhile.
@pytest.mark.parametrize("offset_ms", range(20))
def test_a_start_in_commit_is_dropped_when_its_task_is_done(
    offset_ms: int,
) -> None:
    simulation = make_simulation(2)
    simulation.actual_duration_ms = lambda _: 5_000.0
    steps = (StepSpec(1, SIZE), StepSpec(1, SIZE, depends_on=(0,)))
    simulation.submit(JobSpec("job", "q", "text", steps))
    simulation.run(1_000)
    simulation.unreachable_worker_ids = {"w000"}
    simulation.run(6_000)
    worker = simulation.controller.state.workers_by_id["w000"]
    simulation.run_until(lambda: not worker.runs, step_ms=1)
    simulation.store_is_unavailable = True
    simulation.unreachable_worker_ids = set()
    step = simulation.controller.state.step(StepKey("job", 0, 0))
    assert step is not None
    simulation.run_until(lambda: step.is_done, step_ms=1)
    simulation.run(offset_ms)
    simulation.store_is_unavailable = False
    simulation.run(2_000)
    assert simulation.starts[TaskKey("job", 0, 0, 0)] == 1


# A new leader left out the runs of ended jobs, so that their whole worker had
# to be kept free until they had ended.
def test_runs_of_an_ended_job_reserve_only_their_own_capacity() -> None:
    simulation = make_simulation()
    cancel_before_takeover(simulation, tasks=2)
    submit(simulation, "waiting", 4)
    simulation.run_until(lambda: simulation.stop_orders)
    simulation.run(100)
    running = Counter(key.job_id for key in simulation.workers["w000"].running)
    assert running == {"cancelled": 2, "waiting": 2}
    simulation.run(1_000)
    assert simulation.violations == []


# The progress of jobs that had ended before a new leader began was stored for
# ever.
def test_a_new_leader_deletes_the_progress_of_ended_jobs() -> None:
    simulation = make_simulation()
    cancel_before_takeover(simulation, tasks=2)
    assert simulation.stored_progress_keys
    simulation.run(3_000)
    assert simulation.stored_progress_keys == set()
    assert simulation.job_table.jobs() == []


# A new leader let the repeated run of a done task execute to its end, since it
# does not know that the former one had marked it for stopping.
def test_a_new_leader_stops_repeated_runs_of_done_tasks() -> None:
    simulation = make_simulation(2)
    simulation.actual_duration_ms = lambda key: 5_000.0 + 60_000.0 * key.step
    steps = (
        StepSpec(4, SIZE, is_gang=True),
        StepSpec(1, SIZE, depends_on=(0,)),
    )
    simulation.submit(JobSpec("job", "q", "text", steps))
    simulation.run(1_000)
    first_worker_id = cut_off_until_repeated(simulation)
    simulation.unreachable_worker_ids = {"w000", "w001"} - {first_worker_id}
    done = TaskKey("job", 0, 0, 0)
    simulation.run_until(lambda: is_done(simulation, done), step_ms=1)
    simulation.run(50)
    simulation.take_over()
    simulation.unreachable_worker_ids = set()
    simulation.run(1_500)
    running = [
        key for worker in simulation.workers.values() for key in worker.running
    ]
    assert running == [TaskKey("job", 0, 1, 0)]


def is_done(simulation: Simulation, key: TaskKey) -> bool:
    task = simulation.controller.state.task(key)
    return task is not None and task.is_done


def test_a_deleted_job_is_not_restored_by_a_new_configuration() -> None:
    """Its submission is deleted only some time after its last run."""
    simulation = Simulation([queue("q")], workers(1))
    simulation.submit(JobSpec("a", "q", "text", (StepSpec(2, SIZE),)))
    simulation.run_until(lambda: simulation.starts)
    simulation.cancel("a")
    simulation.run_until(lambda: "a" in simulation.finished)
    simulation.freezes_job_table = True
    controller = simulation.take_over()
    assert "a" in controller.state.jobs_by_id
    simulation.run(10_000)
    assert "a" not in controller.state.jobs_by_id
    controller.handle_configuration_changed()
    assert "a" not in controller.state.jobs_by_id
    (worker,) = controller.state.workers_by_id.values()
    assert worker.runs == []
