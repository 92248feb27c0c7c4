"""Innocent jobs while many tasks are suspected of ending their workers."""

from __future__ import annotations

import pytest

from magnoliapitch.resource import Resources
from magnoliapitch.workload.configuration import PermitTiming
from magnoliapitch.workload.job import JobSpec
from magnoliapitch.workload.job import StepSpec
from magnoliapitch.workload.job import TaskKey
from tests.control.simulation import Simulation
from tests.control.simulation import queue
from tests.control.simulation import workers


SIZE = Resources(2_000, 4_000)
WORKER_COUNT = 24
SUSPECT_JOB_COUNT = 20
PERMITTED_SHARE = 0.35
# A call for advice on all workers takes 0.5 s.
PERMIT_TIMING = PermitTiming(370, 5.3, 2_500)
# From the last crash until all workers are back, and then for longer than the
# rules on times need.
CALM_MS = 8_000
# Longest time for which a job may have nothing running beside so much room.
MAX_WAIT_MS = 3_000


def _submit(simulation: Simulation, job_id: str, step: StepSpec) -> TaskKey:
    simulation.submit(JobSpec(job_id, "q", "text", (step,)))
    return TaskKey(job_id, 0, 0, 0)


def _with_suspects(step: StepSpec) -> Simulation:
    """Return a simulation in which many jobs were lost with two workers.

    All workers have been back for a while, and most of their CPU is free.
    """
    simulation = Simulation(
        [queue("q", permit_timing=PERMIT_TIMING)], workers(WORKER_COUNT)
    )
    simulation.permitted_share = PERMITTED_SHARE
    simulation.actual_duration_ms = lambda _: 1e9
    simulation.restart_delay_ms = 1_000
    suspects = [
        _submit(simulation, f"suspect{number}", step)
        for number in range(SUSPECT_JOB_COUNT)
    ]
    for start_count in (1, 2):
        _run_until_started(simulation, suspects, start_count)
        simulation.run(1_000)
        for worker in list(simulation.workers.values()):
            if worker.running:
                worker.crash()
    _run_until_started(simulation, suspects, 3)
    simulation.run(CALM_MS)
    return simulation


def _run_until_started(
    simulation: Simulation, tasks: list[TaskKey], start_count: int
) -> None:
    simulation.run_until(
        lambda: all(simulation.starts[task] >= start_count for task in tasks)
    )


# Incident LOST: each suspect had a worker to itself, however many there were.
@pytest.mark.parametrize("is_long_running", [True, False])
@pytest.mark.parametrize("has_new_leader", [True, False])
def test_no_job_stands_still_beside_many_suspects(
    *, is_long_running: bool, has_new_leader: bool
) -> None:
    simulation = _with_suspects(
        StepSpec(1, SIZE, is_long_running=is_long_running)
    )
    if has_new_leader:
        simulation.take_over()
        simulation.run(2_000)
    step = StepSpec(4, SIZE)
    tasks = [
        _submit(simulation, f"innocent{number}", step) for number in range(10)
    ]
    simulation.run(MAX_WAIT_MS)
    standing = [task.job_id for task in tasks if not simulation.starts[task]]
    assert standing == []
    assert simulation.violations == []


# Incident LOST: a suspect waited for a worker without other jobs for up to
# 10 s, although every worker had room beside them.
def test_no_suspect_stands_still_beside_much_room() -> None:
    simulation = Simulation([queue("q")], workers(8))
    simulation.actual_duration_ms = lambda _: 1e9
    simulation.restart_delay_ms = 1_000
    suspect = _submit(simulation, "suspect", StepSpec(1, SIZE))
    _run_until_started(simulation, [suspect], 1)
    _occupy(simulation)
    for start_count in (2, 3):
        for worker in list(simulation.workers.values()):
            if suspect in worker.running:
                worker.crash()
        simulation.run(simulation.restart_delay_ms)
        _occupy(simulation)
        simulation.run(1_000 + MAX_WAIT_MS)
        assert simulation.starts[suspect] == start_count
    assert simulation.violations == []


def _occupy(simulation: Simulation) -> None:
    """Let a small task of another job run on every worker."""
    number = len(simulation.specs)
    step = StepSpec(8, SIZE, max_per_worker=1)
    simulation.submit(JobSpec(f"other{number}", "q", "text", (step,)))
    simulation.run(200)
