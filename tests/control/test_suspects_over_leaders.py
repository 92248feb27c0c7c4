"""Tasks that are suspected of ending their workers, over changes of leader."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from magnoliapitch.control.events import WorkersListed
from magnoliapitch.workload.job import JobSpec
from magnoliapitch.workload.job import StepSpec
from tests.control.restarting_workers import RestartingSimulation
from tests.control.restarting_workers import WireEffects
from tests.control.simulation import Simulation
from tests.control.simulation import queue
from tests.control.simulation import workers
from tests.control.test_lost_leaders import EFFECTS_TYPES
from tests.control.test_lost_leaders import LEADERLESS_MS
from tests.control.test_lost_leaders import SIZE
from tests.control.test_lost_leaders import TASK
from tests.control.test_lost_leaders import lose_leader
from tests.control.test_lost_leaders import make_simulation
from tests.control.test_lost_leaders import take_worker_away


if TYPE_CHECKING:
    from tests.control.simulated_effects import SimulatedEffects


# A worker that was about to leave was not lost to any of its tasks; the next
# leader does not know that it was.
def test_a_task_is_not_blamed_for_a_worker_that_left_before_this_leader() -> (
    None
):
    losses = []
    for is_lost in (False, True):
        simulation = make_simulation()
        [worker] = [w for w in simulation.workers.values() if w.running]
        worker.info = worker.info._replace(is_draining=True)
        simulation.controller.handle_worker_list(
            WorkersListed(simulation.listed(), simulation.now_ms),
            simulation.now_ms,
        )
        take_worker_away(simulation)
        if is_lost:
            lose_leader(simulation)
        simulation.run_until(lambda s=simulation: s.starts[TASK] > 1)  # type: ignore[misc]
        task = simulation.controller.state.task(TASK)
        assert task is not None
        losses.append(task.worker_losses)
    assert losses == [0, 0]


def _with_fillers() -> Simulation:
    """Return a simulation with room for the task beside other jobs only."""
    simulation = Simulation([queue("q")], workers(5, SIZE.times(4)))
    simulation.actual_duration_ms = lambda _: 1e9
    filler = StepSpec(5, SIZE.times(3))
    simulation.submit(JobSpec("filler", "q", "text", (filler,)))
    simulation.run(3_000)
    step = StepSpec(1, SIZE, is_long_running=True)
    simulation.submit(JobSpec("service", "q", "text", (step,)))
    simulation.run_until(lambda: simulation.starts[TASK])
    simulation.run(3_000)
    return simulation


# The wait of a suspect for a free worker began anew with each leader.
@pytest.mark.parametrize("interval_ms", [0, 5_000])
def test_a_suspect_waits_for_a_free_worker_once_not_with_each_leader(
    interval_ms: int,
) -> None:
    simulation = _with_fillers()
    task = simulation.controller.state.task(TASK)
    assert task is not None
    task.worker_losses = 1
    simulation.controller.state.unsaved_job_ids.add("service")
    simulation.run(1_000)
    [worker] = [w for w in simulation.workers.values() if TASK in w.running]
    worker.running.clear()
    worker.is_gone = True
    simulation.unreachable_worker_ids = {worker.info.worker_id}
    gone_ms = simulation.now_ms
    while simulation.starts[TASK] < 2 and simulation.now_ms - gone_ms < 60_000:
        if interval_ms:
            lose_leader(simulation)
        simulation.run(max(interval_ms - LEADERLESS_MS, 100))
    assert simulation.now_ms - gone_ms < 30_000


# How long a run was active is measured by each leader anew, so that a run of
# any age is blamed for a worker that restarts soon after a change of leader.
def test_an_old_run_is_not_blamed_after_a_change_of_leader() -> None:
    crashes = []
    for is_lost in (False, True):
        simulation = RestartingSimulation(
            [queue("q")], workers(1), effects_type=WireEffects
        )
        simulation.permitted_share = 1.0
        simulation.actual_duration_ms = lambda _: 1e9
        step = StepSpec(1, SIZE, is_long_running=True)
        simulation.submit(JobSpec("service", "q", "text", (step,)))
        simulation.run(70_000)
        if is_lost:
            simulation.controller.is_over = True
            simulation.run(LEADERLESS_MS)
            simulation.take_over()
            simulation.run(2_000)
        simulation.restart_delay_ms = 50
        simulation.workers["w000"].crash()
        simulation.run_until(lambda s=simulation: s.starts[TASK] > 1)  # type: ignore[misc]
        task = simulation.controller.state.task(TASK)
        assert task is not None
        crashes.append(task.worker_crashes)
    assert crashes == [0, 0]


# A task that lasts and was lost with two workers is held for 5 s more.
def test_a_task_that_lasts_starts_again_in_time_after_a_second_loss() -> None:
    simulation = make_simulation()
    waits = []
    for count in (1, 2):
        take_worker_away(simulation)
        gone_ms = simulation.now_ms
        simulation.run_until(lambda n=count: simulation.starts[TASK] > n)  # type: ignore[misc]
        waits.append(simulation.now_ms - gone_ms)
        simulation.run(3_000)
    assert waits[1] < waits[0] + 1_000


# Incident LOST, again: a leader counted since its own claim for how long a
# worker had been silent, so that a suspect was held anew by each leader.
@pytest.mark.parametrize("effects_type", EFFECTS_TYPES)
@pytest.mark.parametrize("lost_after_ms", [500, 2_000, 4_000, 6_000])
def test_a_suspect_starts_again_as_soon_as_others_after_a_change_of_leader(
    lost_after_ms: int, effects_type: type[SimulatedEffects]
) -> None:
    waits_ms = []
    for losses in (0, 1):
        simulation = make_simulation(effects_type)
        task = simulation.controller.state.task(TASK)
        assert task is not None
        task.worker_losses = losses
        simulation.controller.state.unsaved_job_ids.add("service")
        simulation.run(1_000)
        take_worker_away(simulation)
        gone_ms = simulation.now_ms
        simulation.run(lost_after_ms)
        lose_leader(simulation)
        simulation.run_until(lambda s=simulation: s.starts[TASK] > 1)  # type: ignore[misc]
        waits_ms.append(simulation.now_ms - gone_ms)
        assert simulation.violations == []
    assert waits_ms[1] <= waits_ms[0]


# Incident LOST, again: a suspect began to wait for a worker of its own only
# once the lease of the lost one had ended, and anew with each leader.
@pytest.mark.parametrize("is_leader_lost", [False, True])
def test_a_suspect_waits_for_a_worker_of_its_own_from_its_loss_on(
    is_leader_lost: bool,
) -> None:
    waits_ms = []
    for losses in (0, 1):
        simulation = _with_fillers()
        task = simulation.controller.state.task(TASK)
        assert task is not None
        task.worker_losses = losses
        simulation.controller.state.unsaved_job_ids.add("service")
        simulation.run(1_000)
        [worker] = [
            w for w in simulation.workers.values() if TASK in w.running
        ]
        worker.running.clear()
        worker.is_gone = True
        simulation.unreachable_worker_ids = {worker.info.worker_id}
        gone_ms = simulation.now_ms
        simulation.run(2_000)
        if is_leader_lost:
            lose_leader(simulation)
        simulation.run_until(lambda s=simulation: s.starts[TASK] > 1)  # type: ignore[misc]
        waits_ms.append(simulation.now_ms - gone_ms)
    assert waits_ms[1] <= waits_ms[0]


# The next leader finds what has taken the place of a silent worker by the
# address that is stored with the end of its leases.
@pytest.mark.parametrize("is_leaving", [False, True])
def test_the_next_leader_proves_a_crash_but_not_that_of_a_leaving_worker(
    *, is_leaving: bool
) -> None:
    simulation = Simulation([queue("q")], workers(2))
    simulation.permitted_share = 1.0
    simulation.actual_duration_ms = lambda _: 20_000.0
    simulation.restart_delay_ms = 3_000
    step = StepSpec(1, SIZE)
    simulation.submit(JobSpec("service", "q", "text", (step,)))
    simulation.run(2_000)
    [worker] = [w for w in simulation.workers.values() if w.running]
    if is_leaving:
        worker.leave()
        simulation.run(600)
    worker.crash()
    simulation.run_until(lambda: worker.is_replaced)
    simulation.take_over()
    simulation.run(20_000)
    task = simulation.controller.state.task(TASK)
    assert task is not None
    assert task.worker_crashes == int(not is_leaving)
    assert simulation.starts[TASK] == 2
