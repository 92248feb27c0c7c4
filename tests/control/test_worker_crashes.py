from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from magnoliapitch.ledger.state_table import JobState
from magnoliapitch.resource import Resources
from magnoliapitch.workload.configuration import PermitTiming
from magnoliapitch.workload.job import JobSpec
from magnoliapitch.workload.job import StepSpec
from tests.control.delegation.simulated_agents import DelegatedEffects
from tests.control.simulated_effects import SimulatedEffects
from tests.control.simulation import Simulation
from tests.control.simulation import queue
from tests.control.simulation import workers


if TYPE_CHECKING:
    from tests.control.simulated_worker import SimulatedWorker


SIZE = Resources(4_000, 8_000)
WORKER_COUNT = 8
TASK_MS = 2_000.0
EFFECTS_TYPES = (SimulatedEffects, DelegatedEffects)


def make_simulation(
    effects_type: type[SimulatedEffects] = SimulatedEffects,
    permit_timing: PermitTiming | None = None,
) -> Simulation:
    simulation = Simulation(
        [queue("q", permit_timing=permit_timing)],
        workers(WORKER_COUNT),
        effects_type=effects_type,
    )
    simulation.actual_duration_ms = lambda _: TASK_MS
    simulation.crashes_worker = lambda task: task.job_id.startswith("deadly")
    return simulation


def submit(simulation: Simulation, name: str, step: StepSpec) -> None:
    simulation.submit(JobSpec(name, "q", "text", (step,)))


def submit_steadily(simulation: Simulation, count: int) -> None:
    """Submit ordinary jobs that keep about half of the workers busy."""
    for number in range(count):
        submit(simulation, f"ordinary{number}", StepSpec(3, SIZE))
        simulation.run(200)


def crash_busy_workers(simulation: Simulation) -> None:
    for worker in list(simulation.workers.values()):
        if worker.running:
            worker.crash()


def ordinary_outcomes(simulation: Simulation, count: int) -> set[JobState]:
    return {
        simulation.finished[f"ordinary{number}"].outcome
        for number in range(count)
    }


# Incident BUDGET: a task that crashed its workers was started again without
# end, since runs that are lost with a worker counted as no attempt.
@pytest.mark.parametrize("effects_type", EFFECTS_TYPES)
def test_a_task_that_crashes_its_workers_is_given_up(
    effects_type: type[SimulatedEffects],
) -> None:
    simulation = make_simulation(effects_type)
    submit(simulation, "deadly", StepSpec(1, SIZE))
    submit_steadily(simulation, 150)
    simulation.run(20_000)
    assert simulation.violations == []
    assert simulation.finished["deadly"].outcome is JobState.FAILED
    assert ordinary_outcomes(simulation, 150) == {JobState.COMPLETED}


# Incident BUDGET: the count of crashes has to outlive the leader.
def test_crashes_of_former_leaders_count() -> None:
    simulation = make_simulation()
    submit(simulation, "deadly", StepSpec(1, SIZE))
    for crash_count in range(1, 7):
        for _ in range(300):
            simulation.run(100)
            if sum(simulation.crashes_under.values()) >= crash_count:
                break
        simulation.take_over()
    simulation.run(30_000)
    assert simulation.violations == []
    assert simulation.finished["deadly"].outcome is JobState.FAILED


# Incident BUDGET: the worker is gone before it has answered the start order.
def test_a_task_that_crashes_workers_before_they_answer_is_given_up() -> None:
    simulation = make_simulation()
    simulation.crash_delay_ms = 0
    submit(simulation, "deadly", StepSpec(1, SIZE))
    submit_steadily(simulation, 150)
    simulation.run(20_000)
    assert simulation.violations == []
    assert simulation.finished["deadly"].outcome is JobState.FAILED
    assert ordinary_outcomes(simulation, 150) == {JobState.COMPLETED}


# Incident BUDGET: every member of a gang crashes the worker that starts it.
@pytest.mark.parametrize("effects_type", EFFECTS_TYPES)
def test_a_gang_that_crashes_its_workers_is_given_up(
    effects_type: type[SimulatedEffects],
) -> None:
    simulation = make_simulation(effects_type, PermitTiming(100, 1.0, 2_500))
    submit_steadily(simulation, 10)
    submit(simulation, "deadly", StepSpec(6, SIZE, is_gang=True))
    simulation.run(60_000)
    assert simulation.violations == []
    assert simulation.finished["deadly"].outcome is JobState.FAILED
    assert ordinary_outcomes(simulation, 10) == {JobState.COMPLETED}


# Incident BUDGET: a service is limited too, although its failures are not.
def test_a_service_that_crashes_its_workers_is_given_up() -> None:
    simulation = make_simulation()
    submit(simulation, "deadly", StepSpec(2, SIZE, is_long_running=True))
    submit_steadily(simulation, 150)
    simulation.run(20_000)
    assert simulation.violations == []
    assert simulation.finished["deadly"].outcome is JobState.FAILED


def test_an_ordinary_job_survives_crashes_that_it_does_not_cause() -> None:
    simulation = make_simulation()
    simulation.actual_duration_ms = lambda _: 4_000.0
    submit(simulation, "ordinary0", StepSpec(4, SIZE))
    submit(simulation, "ordinary1", StepSpec(4, SIZE))
    for _ in range(2):
        simulation.run(3_000)
        crash_busy_workers(simulation)
    simulation.run(30_000)
    assert simulation.violations == []
    assert ordinary_outcomes(simulation, 2) == {JobState.COMPLETED}


def test_workers_that_are_cut_off_do_not_count_as_crashed() -> None:
    simulation = make_simulation()
    simulation.actual_duration_ms = lambda _: 4_000.0
    submit(simulation, "ordinary0", StepSpec(4, SIZE))
    for _ in range(6):
        simulation.run(1_000)
        simulation.unreachable_worker_ids = {
            worker.info.worker_id
            for worker in simulation.workers.values()
            if worker.running
        }
        simulation.run(12_000)
        simulation.unreachable_worker_ids = set()
    simulation.run(30_000)
    assert simulation.violations == []
    assert ordinary_outcomes(simulation, 1) == {JobState.COMPLETED}


# Incident BUDGET: runs of a crashed worker start again together, so those
# beside the deadly task were lost as often as the task itself.
def test_other_jobs_are_not_lost_with_the_last_worker() -> None:
    simulation = make_simulation()
    submit(simulation, "deadly", StepSpec(1, SIZE))
    submit_steadily(simulation, 150)
    simulation.run(20_000)
    crashes_by_job = {
        task.job_id: count for task, count in simulation.crashes_under.items()
    }
    assert crashes_by_job.pop("deadly") == 3
    assert max(crashes_by_job.values()) <= 2


# Services on every worker leave none that could be kept free.
def test_a_suspect_is_placed_beside_services_after_a_while() -> None:
    simulation = make_simulation()
    simulation.actual_duration_ms = lambda task: (
        1e9 if task.job_id == "service" else TASK_MS
    )
    service = StepSpec(
        WORKER_COUNT, SIZE, is_long_running=True, max_per_worker=1
    )
    submit(simulation, "service", service)
    simulation.run(1_000)
    submit(simulation, "deadly", StepSpec(1, SIZE))
    simulation.run(60_000)
    assert simulation.violations == []
    assert simulation.finished["deadly"].outcome is JobState.FAILED
    assert "service" not in simulation.finished


def test_a_service_survives_many_crashes_far_apart() -> None:
    simulation = make_simulation()
    simulation.actual_duration_ms = lambda _: 1e9
    submit(simulation, "service", StepSpec(1, SIZE, is_long_running=True))
    for _ in range(6):
        simulation.run(70_000)
        crash_busy_workers(simulation)
    simulation.run(10_000)
    assert simulation.violations == []
    assert sum(len(w.running) for w in simulation.workers.values()) == 1


# BUDGET: a leader that is lost at each restart never learns that the worker
# has ended, and the next one counts a loss, which gives no task up.
@pytest.mark.parametrize("effects_type", EFFECTS_TYPES)
def test_a_deadly_task_is_given_up_while_leaders_are_lost_with_its_workers(
    effects_type: type[SimulatedEffects],
) -> None:
    simulation = make_simulation(effects_type)
    restart_worker = simulation.restart_worker
    lost_leaders: list[int] = []

    def restart(worker: SimulatedWorker) -> None:
        restart_worker(worker)
        if len(lost_leaders) < 5:
            lost_leaders.append(simulation.now_ms)
            simulation.take_over()

    simulation.restart_worker = restart  # type: ignore[method-assign]
    submit(simulation, "deadly", StepSpec(1, SIZE))
    simulation.run(200_000)
    assert simulation.violations == []
