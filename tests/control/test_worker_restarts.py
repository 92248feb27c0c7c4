from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from magnoliapitch.control.renewal_pacing import LONG_POLL_WAIT_MS
from magnoliapitch.control.renewal_pacing import REPEATED_PAUSE_MS
from magnoliapitch.ledger.state_table import JobState
from magnoliapitch.resource import Resources
from magnoliapitch.workload.configuration import PermitTiming
from magnoliapitch.workload.job import JobSpec
from magnoliapitch.workload.job import StepSpec
from magnoliapitch.workload.job import TaskKey
from tests.control.restarting_workers import BEGIN_UNIX_MS
from tests.control.restarting_workers import DelegatedWireEffects
from tests.control.restarting_workers import RestartingSimulation
from tests.control.restarting_workers import WireEffects
from tests.control.simulation import queue
from tests.control.simulation import workers


if TYPE_CHECKING:
    from magnoliapitch.workload.run import StartOrder
    from magnoliapitch.workload.run import StopOrder


SIZE = Resources(4_000, 8_000)
EFFECTS_TYPES = (WireEffects, DelegatedWireEffects)
# A worker that restarts is called again by then, even if a waiting renewal
# does not break.
RENEWED_AFTER_MS = LONG_POLL_WAIT_MS + REPEATED_PAUSE_MS + 50


def make_simulation(
    effects_type: type[WireEffects] | type[DelegatedWireEffects] = WireEffects,
    worker_count: int = 1,
    permit_timing: PermitTiming | None = None,
) -> RestartingSimulation:
    simulation = RestartingSimulation(
        [queue("q", permit_timing=permit_timing)],
        workers(worker_count),
        effects_type=effects_type,
    )
    simulation.permitted_share = 1.0
    return simulation


def submit(
    simulation: RestartingSimulation, name: str, count: int = 4
) -> None:
    step = StepSpec(count, SIZE)
    simulation.submit(JobSpec(name, "q", "text", (step,)))


def restart(
    simulation: RestartingSimulation, after_ms: int, name: str = "w000"
) -> None:
    simulation.restart_delay_ms = after_ms
    simulation.workers[name].crash()


# Incident TWICE: ends of a worker that had restarted under its id had numbers
# that were seen before, and were taken for repeats.
@pytest.mark.parametrize("effects_type", EFFECTS_TYPES)
@pytest.mark.parametrize("after_ms", [50, 1_500])
def test_ends_after_a_restart_are_not_taken_for_repeats(
    after_ms: int, effects_type: type[WireEffects]
) -> None:
    simulation = make_simulation(effects_type)
    submit(simulation, "before")
    simulation.run(5_000)
    restart(simulation, after_ms)
    simulation.run(after_ms)
    submit(simulation, "after")
    simulation.run(20_000)
    assert simulation.violations == []
    assert simulation.finished["after"].outcome is JobState.COMPLETED
    assert {
        simulation.starts[TaskKey("after", 0, 0, n)] for n in range(4)
    } == {1}


# Incident TWICE: tasks that ran through a restart run again, once.
@pytest.mark.parametrize("effects_type", EFFECTS_TYPES)
def test_runs_that_ended_with_a_restart_run_again(
    effects_type: type[WireEffects],
) -> None:
    simulation = make_simulation(effects_type, worker_count=2)
    simulation.actual_duration_ms = lambda _: 3_000.0
    submit(simulation, "before")
    simulation.run(5_000)
    submit(simulation, "job")
    simulation.run(1_000)
    restart(simulation, 200)
    restart(simulation, 200, "w001")
    simulation.run(20_000)
    assert simulation.violations == []
    assert simulation.finished["job"].outcome is JobState.COMPLETED
    assert {simulation.starts[TaskKey("job", 0, 0, n)] for n in range(4)} == {
        2
    }


# Incident TWICE: an order to the former incarnation reaches the new one, which
# has the same id and has seen no fencing token and no stop.
def test_a_late_order_to_the_former_incarnation_does_not_run_beside() -> None:
    simulation = make_simulation(worker_count=2)
    simulation.actual_duration_ms = lambda _: 4_000.0
    simulation.run(2_000)
    simulation.order_late_ms = lambda _: 2_500
    submit(simulation, "job", 1)
    simulation.run(100)
    simulation.order_late_ms = lambda _: 0
    for name in ("w000", "w001"):
        restart(simulation, 1_000, name)
    simulation.run(30_000)
    assert simulation.violations == []
    assert simulation.finished["job"].outcome is JobState.COMPLETED


# Incident TWICE: the end of a lease was computed from the clock of the former
# incarnation, which may have run for weeks.
def test_a_lease_ends_by_the_clock_of_the_incarnation_that_holds_it() -> None:
    simulation = make_simulation(worker_count=1)
    simulation.actual_duration_ms = lambda _: 60_000.0
    simulation.run(300_000)
    restart(simulation, 100)
    simulation.run(3_000)
    submit(simulation, "job", 1)
    simulation.run(2_000)
    assert simulation.starts[TaskKey("job", 0, 0, 0)] == 1
    simulation.unreachable_worker_ids = {"w000"}
    simulation.run(15_000)
    simulation.unreachable_worker_ids = set()
    simulation.run(2_000)
    assert simulation.starts[TaskKey("job", 0, 0, 0)] == 2
    assert simulation.violations == []


# Incident TWICE: tickets are valid for one incarnation.
def test_tickets_of_a_former_incarnation_are_not_used() -> None:
    simulation = make_simulation(permit_timing=PermitTiming(20, 1.0, 9_000))
    simulation.actual_duration_ms = lambda _: 2_000.0
    submit(simulation, "job", 4)
    simulation.run(1_000)
    restart(simulation, 100)
    simulation.run(15_000)
    assert simulation.violations == []
    assert simulation.expired_ticket_count == 0
    assert simulation.finished["job"].outcome is JobState.COMPLETED


# Incident TWICE: the stored placement does not tell the incarnations apart.
def test_a_new_leader_repeats_runs_that_ended_with_a_restart() -> None:
    simulation = make_simulation(worker_count=2)
    simulation.actual_duration_ms = lambda _: 3_000.0
    submit(simulation, "job")
    simulation.run(1_000)
    for name in ("w000", "w001"):
        restart(simulation, 50, name)
    simulation.take_over()
    simulation.run(8_000)
    assert simulation.violations == []
    assert simulation.finished["job"].outcome is JobState.COMPLETED


# Incident BUDGET: the worker may be back under its id before it was missed.
@pytest.mark.parametrize("effects_type", EFFECTS_TYPES)
@pytest.mark.parametrize("restart_delay_ms", [50, 2_000])
def test_crashes_count_though_workers_restart_under_their_ids(
    restart_delay_ms: int, effects_type: type[WireEffects]
) -> None:
    simulation = make_simulation(effects_type, worker_count=8)
    simulation.restart_delay_ms = restart_delay_ms
    simulation.crashes_worker = lambda task: task.job_id == "deadly"
    submit(simulation, "deadly", 1)
    for number in range(60):
        submit(simulation, f"ordinary{number}", 3)
        simulation.run(200)
    simulation.run(30_000)
    assert simulation.violations == []
    assert simulation.finished["deadly"].outcome is JobState.FAILED
    outcomes = {
        simulation.finished[f"ordinary{number}"].outcome
        for number in range(60)
    }
    assert outcomes == {JobState.COMPLETED}


# Incident TWICE: the stop that was to keep a late order from being
# carried out is forgotten when the worker restarts in between.
def test_a_late_order_does_not_run_after_a_stop_that_was_forgotten() -> None:
    simulation = make_simulation(worker_count=2)
    simulation.actual_duration_ms = lambda _: 8_000.0
    simulation.run(2_000)
    simulation.order_late_ms = lambda _: 5_000
    submit(simulation, "job", 1)
    simulation.run(100)
    simulation.order_late_ms = lambda _: 0
    task = simulation.controller.state.task(TaskKey("job", 0, 0, 0))
    assert task is not None
    name = task.active_runs[0].worker_id.partition("@")[0]
    simulation.run_until(lambda: not task.active_runs, step_ms=1)
    restart(simulation, 200, name)
    simulation.run(30_000)
    assert simulation.violations == []


# Random schedules with quotas, seed 4: nothing stopped a late order of a job
# that had ended, since the leader no longer knew the job.
def test_a_late_order_of_a_finished_job_is_not_begun_after_a_restart() -> None:
    simulation = make_simulation(worker_count=2)
    simulation.actual_duration_ms = lambda _: 300.0
    simulation.run(1_000)
    orders: list[StartOrder | StopOrder] = []

    def late_ms(order: StartOrder | StopOrder) -> int:
        orders.append(order)
        return 6_000 if len(orders) == 1 else 0

    simulation.order_late_ms = late_ms
    submit(simulation, "job", 1)
    simulation.run_until(lambda: "job" in simulation.finished)
    simulation.run(500)
    for name in sorted(simulation.workers):
        restart(simulation, 300, name)
    simulation.run(10_000)
    assert simulation.violations == []


# Incident TWICE: until the platform lists the next incarnation, and the leader
# reads it, a late order was begun. Now it is until the next renewal.
@pytest.mark.parametrize("effects_type", EFFECTS_TYPES)
def test_a_late_order_is_refused_soon_after_a_restart(
    effects_type: type[WireEffects],
) -> None:
    simulation = make_simulation(effects_type, worker_count=2)
    simulation.actual_duration_ms = lambda _: 300.0
    simulation.run(1_000)
    arrivals_ms: list[int] = []

    def late_ms(_: StartOrder | StopOrder) -> int:
        arrivals_ms.append(simulation.now_ms + 10_000)
        return 10_000 if len(arrivals_ms) == 1 else 0

    simulation.order_late_ms = late_ms
    submit(simulation, "job", 1)
    simulation.run_until(lambda: "job" in simulation.finished)
    simulation.listing_delay_ms = 3_000
    down_ms = 300
    restart_ms = arrivals_ms[0] - RENEWED_AFTER_MS - down_ms
    simulation.run(restart_ms - simulation.now_ms)
    for name in sorted(simulation.workers):
        restart(simulation, down_ms, name)
    simulation.run(10_000)
    assert simulation.violations == []
    assert not simulation.controller.is_over


# A job was given up after one crash: a restart before an order reached the
# worker counted as a crash under the run that the next incarnation began.
def test_a_restart_before_an_order_is_no_crash_under_its_run() -> None:
    simulation = make_simulation()
    simulation.actual_duration_ms = lambda _: 5_000.0
    simulation.run(2_300)
    simulation.listing_delay_ms = 400
    restart(simulation, 20)
    simulation.run(30)
    submit(simulation, "job", 1)
    simulation.run(3_000)
    key = TaskKey("job", 0, 0, 0)
    task = simulation.controller.state.task(key)
    assert task is not None
    [run] = task.active_runs
    assert run.worker_id.endswith(f"@{BEGIN_UNIX_MS + 2_320}")
    assert task.worker_crashes == 0
