from __future__ import annotations

import random

from functools import partial

from result import Err

from magnoliapitch.control.events import JobsRead
from magnoliapitch.control.events import StartAnswered
from magnoliapitch.control.events import StopAnswered
from magnoliapitch.control.events import WorkerReported
from magnoliapitch.control.source_ages import Source
from magnoliapitch.ledger.state_table import JobState
from magnoliapitch.planner.plan import PlannedStart
from magnoliapitch.resource import Resources
from magnoliapitch.verdict import FailureCode
from magnoliapitch.verdict import may_have_run
from magnoliapitch.verdict import not_run
from magnoliapitch.workload.configuration import PermitTiming
from magnoliapitch.workload.job import JobSpec
from magnoliapitch.workload.job import StepSpec
from magnoliapitch.workload.job import TaskKey
from magnoliapitch.workload.run import StartOrder
from magnoliapitch.workload.run import StopOrder
from tests.control.simulation import TIMING
from tests.control.simulation import Simulation
from tests.control.simulation import queue
from tests.control.simulation import workers


SIZE = Resources(2_000, 4_000)


def job(name: str, *steps: StepSpec) -> JobSpec:
    return JobSpec(name, "q", "text", steps)


def make_simulation(count: int = 3) -> Simulation:
    return Simulation([queue("q")], workers(count))


def test_steps_run_in_the_order_of_their_dependencies() -> None:
    simulation = make_simulation()
    simulation.submit(
        job("a", StepSpec(3, SIZE), StepSpec(2, SIZE, depends_on=(0,)))
    )
    simulation.run(900)
    assert set(simulation.starts) == {TaskKey("a", 0, 0, n) for n in range(3)}
    simulation.run(3_000)
    assert simulation.finished["a"].outcome is JobState.COMPLETED
    assert set(simulation.starts.values()) == {1}


def test_a_gang_starts_as_a_whole_or_not_at_all() -> None:
    simulation = make_simulation(1)
    big = Resources(9_000, 4_000)
    simulation.submit(job("a", StepSpec(4, big, is_gang=True)))
    simulation.submit(job("b", StepSpec(3, big, is_gang=True)))
    simulation.run(3_000)
    assert "a" not in simulation.finished
    assert simulation.finished["b"].outcome is JobState.COMPLETED
    assert all(key.job_id == "b" for key in simulation.starts)


def test_a_failed_task_is_retried_until_its_attempts_are_used() -> None:
    simulation = make_simulation()
    simulation.run_fails = lambda *_: True
    simulation.submit(job("a", StepSpec(1, SIZE)))
    simulation.run(10_000)
    assert simulation.finished["a"].outcome is JobState.FAILED
    assert simulation.starts[TaskKey("a", 0, 0, 0)] == 3


def test_a_lost_start_answer_never_causes_a_second_run() -> None:
    simulation = make_simulation()
    simulation.start_answer_lost = lambda order: order.run == 1
    for number in range(8):
        simulation.submit(job(f"a{number}", StepSpec(2, SIZE)))
    simulation.run(8_000)
    assert len(simulation.finished) == 8
    assert simulation.violations == []


def test_an_unreachable_worker_keeps_its_tasks_until_its_lease_expires() -> (
    None
):
    simulation = make_simulation()
    simulation.actual_duration_ms = lambda _: 60_000.0
    simulation.submit(job("a", StepSpec(12, SIZE)))
    simulation.run(1_000)
    simulation.unreachable_worker_ids = {"w000"}
    held_tasks = list(simulation.workers["w000"].running)
    simulation.run(TIMING.lease_ms - 500)
    assert all(simulation.starts[key] == 1 for key in held_tasks)
    simulation.run(4_000)
    assert all(simulation.starts[key] == 2 for key in held_tasks)
    assert simulation.violations == []


# A cancellation may be in a part of the read that is not applied yet.
def test_a_part_of_what_was_read_makes_the_jobs_no_newer() -> None:
    simulation = make_simulation()
    simulation.jobs_are_unavailable = True
    simulation.run(1_000)
    controller, now_ms = simulation.controller, simulation.now_ms
    ages = controller._source_ages
    age_ms = ages.age_ms(Source.JOBS, now_ms)
    read = JobsRead(frozenset("ab"), 2, now_ms)
    controller.handle_jobs_read(read._replace(end=None), now_ms)
    assert ages.age_ms(Source.JOBS, now_ms) == age_ms
    controller.handle_jobs_read(read, now_ms)
    assert ages.age_ms(Source.JOBS, now_ms) == 0


def test_a_cancelled_job_is_stopped_and_starts_no_more_tasks() -> None:
    simulation = make_simulation()
    simulation.actual_duration_ms = lambda _: 60_000.0
    simulation.submit(job("a", StepSpec(40, SIZE)))
    simulation.run(1_000)
    simulation.cancel("a")
    simulation.run(1_000)
    started = sum(simulation.starts.values())
    assert not any(worker.running for worker in simulation.workers.values())
    simulation.run(3_000)
    assert sum(simulation.starts.values()) == started


def test_a_new_leader_takes_over_running_tasks() -> None:
    simulation = make_simulation()
    simulation.actual_duration_ms = lambda _: 4_000.0
    simulation.submit(job("a", StepSpec(6, SIZE)))
    simulation.run(1_500)
    simulation.take_over()
    simulation.run(6_000)
    assert simulation.finished["a"].outcome is JobState.COMPLETED
    assert set(simulation.starts.values()) == {1}


def test_a_new_leader_waits_until_unknown_leases_have_expired() -> None:
    simulation = make_simulation()
    simulation.actual_duration_ms = lambda _: 60_000.0
    simulation.submit(job("a", StepSpec(12, SIZE)))
    simulation.run(1_500)
    held_tasks = list(simulation.workers["w000"].running)
    simulation.unreachable_worker_ids = {"w000"}
    simulation.take_over()
    simulation.run(TIMING.takeover_ms - 500)
    assert all(simulation.starts[key] == 1 for key in held_tasks)
    simulation.run(4_000)
    assert all(simulation.starts[key] == 2 for key in held_tasks)
    assert simulation.violations == []


def test_no_task_starts_before_its_run_is_stored() -> None:
    simulation = make_simulation()
    simulation.run(500)
    simulation.store_is_unavailable = True
    simulation.submit(job("a", StepSpec(2, SIZE)))
    simulation.run(2_000)
    assert not simulation.starts
    simulation.store_is_unavailable = False
    simulation.run(3_000)
    assert simulation.finished["a"].outcome is JobState.COMPLETED


def test_permits_that_expired_during_a_store_outage_are_not_used() -> None:
    permit_timing = PermitTiming(20, 1, valid_ms=1_000)
    simulation = Simulation(
        [queue("q", permit_timing=permit_timing)], workers(6)
    )
    simulation.run(500)
    simulation.submit(job("a", StepSpec(4, SIZE)))
    simulation.schedule(
        40, partial(setattr, simulation, "store_is_unavailable", True)
    )
    simulation.run(2_000)
    assert not simulation.starts
    simulation.store_is_unavailable = False
    simulation.run(3_000)
    assert simulation.finished["a"].outcome is JobState.COMPLETED
    assert simulation.expired_ticket_count == 0


def test_tasks_keep_running_during_a_store_outage() -> None:
    simulation = make_simulation()
    simulation.actual_duration_ms = lambda _: 7_000.0
    simulation.submit(job("a", StepSpec(6, SIZE)))
    simulation.run(1_000)
    simulation.store_is_unavailable = True
    simulation.run(5_000)
    simulation.store_is_unavailable = False
    simulation.run(4_000)
    assert simulation.finished["a"].outcome is JobState.COMPLETED
    assert set(simulation.starts.values()) == {1}


def test_a_series_of_faults_causes_no_second_run() -> None:
    for seed in range(12):
        simulation = make_simulation(6)
        random_source = random.Random(seed)
        simulation.actual_duration_ms = lambda key: 500.0 + 700 * key.position
        simulation.start_answer_lost = partial(_happens, random_source, 0.2)
        simulation.run_fails = partial(_happens, random_source, 0.1)
        for number in range(25):
            is_gang = number % 3 == 0
            simulation.submit(
                job(f"a{number}", StepSpec(4, SIZE, is_gang=is_gang))
            )
            simulation.run(200)
            if number % 8 == 5:
                simulation.unreachable_worker_ids = set(
                    random_source.sample(sorted(simulation.workers), 2)
                )
            if number % 8 == 1:
                simulation.unreachable_worker_ids = set()
            if number % 6 == 4:
                simulation.take_over()
        simulation.unreachable_worker_ids = set()
        simulation.run(40_000)
        assert simulation.violations == [], seed
        assert len(simulation.finished) == 25, seed


def _happens(random_source: random.Random, share: float, *_: object) -> bool:
    return random_source.random() < share


def test_tasks_of_a_lost_worker_run_elsewhere() -> None:
    simulation = make_simulation()
    simulation.actual_duration_ms = lambda _: 3_000.0
    simulation.submit(job("a", StepSpec(12, SIZE)))
    simulation.run(1_000)
    simulation.workers["w000"].is_gone = True
    simulation.unreachable_worker_ids = {"w000"}
    simulation.run(TIMING.lease_ms + 8_000)
    assert simulation.finished["a"].outcome is JobState.COMPLETED


def test_gang_members_that_wait_for_a_lost_member_are_stopped() -> None:
    simulation = make_simulation(3)
    simulation.submit(job("a", StepSpec(4, SIZE, is_gang=True)))
    simulation.start_answer_lost = lambda order: order.run == 1
    simulation.run(60)
    simulation.take_over()
    simulation.run(12_000)
    assert simulation.finished["a"].outcome is JobState.COMPLETED
    assert simulation.violations == []


def test_a_fenced_start_order_ends_the_old_leadership() -> None:
    simulation = make_simulation(1)
    simulation.run(500)
    old = simulation.controller
    start = PlannedStart(TaskKey("a", 0, 0, 0), 1, "w000")
    fenced = Err(not_run(FailureCode.FENCED, "a higher token was seen"))
    old.handle_start_answer(StartAnswered(start, fenced, 0, 0))
    assert old.is_over


# A worker that has restarted refuses orders to its former incarnation, since
# the leader has raised its token.
def test_an_order_to_a_former_incarnation_does_not_end_the_leadership() -> (
    None
):
    simulation = make_simulation(1)
    simulation.run(500)
    controller = simulation.controller
    restarted = Err(may_have_run(FailureCode.RESTARTED, "another start"))
    controller.handle_report(WorkerReported("w000", restarted, 500, 500))
    start = PlannedStart(TaskKey("a", 0, 0, 0), 1, "w000")
    fenced = Err(not_run(FailureCode.FENCED, "a higher token was seen"))
    controller.handle_start_answer(StartAnswered(start, fenced, 500, 500))
    assert not controller.is_over


def test_a_start_order_to_a_replaced_worker_frees_its_tasks() -> None:
    simulation = make_simulation(2)
    simulation.actual_duration_ms = lambda _: 60_000.0
    simulation.submit(job("a", StepSpec(12, SIZE)))
    simulation.run(1_000)
    held_tasks = list(simulation.workers["w000"].running)
    assert held_tasks
    start = PlannedStart(held_tasks[0], 1, "w000")
    replaced = Err(not_run(FailureCode.REPLACED, "another incarnation"))
    simulation.controller.handle_start_answer(
        StartAnswered(start, replaced, 0, 0)
    )
    assert "w000" not in simulation.controller.state.workers_by_id
    assert not simulation.controller.is_over


# A worker to which many orders queue would get no lease and no work.
def test_an_order_that_was_not_sent_does_not_count_as_unanswered() -> None:
    simulation = make_simulation(1)
    simulation.submit(job("a", StepSpec(1, SIZE)))
    simulation.run(500)
    controller = simulation.controller
    [task] = simulation.starts
    not_sent = Err(not_run(FailureCode.OVERLOADED, "waited"))
    answer = StopAnswered(task, 1, "w000", not_sent, simulation.now_ms)
    controller.handle_stop_answer(answer)
    assert controller.next_lease_deadline("w000", simulation.now_ms)


# A gang that had lost a member when a new leader began was left as it was: its
# other members waited for the lost one and it was not started again.
def test_a_new_leader_starts_a_gang_again_that_has_lost_a_member() -> None:
    simulation = Simulation([queue("q")], workers(4, SIZE))
    simulation.submit(job("a", StepSpec(4, SIZE, is_gang=True)))
    simulation.order_late_ms = _first_start_late_ms
    simulation.run(500)
    task = simulation.controller.state.task(TaskKey("a", 0, 0, 0))
    assert task is not None
    [lost] = task.active_runs
    simulation.unreachable_worker_ids = set(simulation.workers) - {
        lost.worker_id
    }
    simulation.run_until(lambda: not task.active_runs, step_ms=1)
    simulation.run(50)
    simulation.take_over()
    simulation.unreachable_worker_ids = set()
    simulation.run(8_000)
    assert simulation.finished["a"].outcome is JobState.COMPLETED
    assert simulation.violations == []


def _first_start_late_ms(order: StartOrder | StopOrder) -> int:
    is_first = isinstance(order, StartOrder) and order.run == 1
    return 60_000 if is_first and order.task.position == 0 else 0


def test_a_service_moves_off_a_worker_that_leaves() -> None:
    """The worker leaves 4 s after it has announced that."""
    simulation = make_simulation(2)
    simulation.actual_duration_ms = lambda _: 3_600_000.0
    service = StepSpec(2, SIZE, is_long_running=True)
    simulation.submit(job("service", service))
    batch = StepSpec(1, SIZE)
    simulation.submit(job("batch", batch))
    simulation.run(1_000)
    task = TaskKey("service", 0, 0, 0)
    (leaving,) = (
        worker
        for worker in simulation.workers.values()
        if task in worker.running
    )
    leaving.info = leaving.info._replace(is_draining=True)
    simulation.run(2_000)
    assert simulation.starts[task] == 2
    assert task not in leaving.running
    assert simulation.starts[TaskKey("batch", 0, 0, 0)] == 1
    simulation.run(2_000)
    leaving.is_gone = True
    simulation.unreachable_worker_ids = {leaving.info.worker_id}
    simulation.run(20_000)
    assert simulation.starts[task] == 2
    assert simulation.violations == []
