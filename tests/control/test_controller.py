from __future__ import annotations

import random

from functools import partial

from result import Err

from magnoliapitch.control.events import StartAnswered
from magnoliapitch.ledger.state_table import JobState
from magnoliapitch.planner.plan import PlannedStart
from magnoliapitch.resource import Resources
from magnoliapitch.verdict import FailureCode
from magnoliapitch.verdict import not_run
from magnoliapitch.workload.configuration import AdvicePolicy
from magnoliapitch.workload.job import JobSpec
from magnoliapitch.workload.job import StepSpec
from magnoliapitch.workload.job import TaskKey
from tests.control.simulation import TIMING
from tests.control.simulation import Simulation
from tests.control.simulation import queue
from tests.control.simulation import workers


SIZE = Resources(2_000, 4_000)


def job(name: str, *steps: StepSpec) -> JobSpec:
    return JobSpec(name, "q", "text", steps)


def scene(count: int = 3) -> Simulation:
    return Simulation([queue("q")], workers(count))


def test_steps_run_in_the_order_of_their_dependencies() -> None:
    world = scene()
    world.submit(
        job("a", StepSpec(3, SIZE), StepSpec(2, SIZE, depends_on=(0,)))
    )
    world.run(900)
    assert set(world.starts) == {TaskKey("a", 0, 0, n) for n in range(3)}
    world.run(3_000)
    assert world.finished["a"].outcome is JobState.COMPLETED
    assert set(world.starts.values()) == {1}


def test_a_gang_starts_whole_or_not_at_all() -> None:
    world = scene(1)
    big = Resources(9_000, 4_000)
    world.submit(job("a", StepSpec(4, big, is_gang=True)))
    world.submit(job("b", StepSpec(3, big, is_gang=True)))
    world.run(3_000)
    assert "a" not in world.finished
    assert world.finished["b"].outcome is JobState.COMPLETED
    assert all(key.job_id == "b" for key in world.starts)


def test_a_failed_task_runs_again_until_its_attempts_are_used() -> None:
    world = scene()
    world.fails = lambda *_: True
    world.submit(job("a", StepSpec(1, SIZE)))
    world.run(10_000)
    assert world.finished["a"].outcome is JobState.FAILED
    assert world.starts[TaskKey("a", 0, 0, 0)] == 3


def test_a_lost_answer_to_a_start_never_makes_a_second_run() -> None:
    world = scene()
    world.lose_start = lambda order: order.run == 1
    for number in range(8):
        world.submit(job(f"a{number}", StepSpec(2, SIZE)))
    world.run(8_000)
    assert len(world.finished) == 8
    assert world.violations == []


def test_a_worker_that_is_cut_off_keeps_its_tasks_until_its_lease_ends() -> (
    None
):
    world = scene()
    world.true_ms = lambda _: 60_000.0
    world.submit(job("a", StepSpec(12, SIZE)))
    world.run(1_000)
    world.cut = {"w000"}
    held = list(world.workers["w000"].running)
    world.run(TIMING.lease_ms - 500)
    assert all(world.starts[key] == 1 for key in held)
    world.run(4_000)
    assert all(world.starts[key] == 2 for key in held)
    assert world.violations == []


def test_a_cancelled_job_is_stopped_and_starts_nothing_more() -> None:
    world = scene()
    world.true_ms = lambda _: 60_000.0
    world.submit(job("a", StepSpec(40, SIZE)))
    world.run(1_000)
    world.cancel("a")
    world.run(1_000)
    started = sum(world.starts.values())
    assert not any(worker.running for worker in world.workers.values())
    world.run(3_000)
    assert sum(world.starts.values()) == started


def test_a_new_leader_takes_running_tasks_over() -> None:
    world = scene()
    world.true_ms = lambda _: 4_000.0
    world.submit(job("a", StepSpec(6, SIZE)))
    world.run(1_500)
    world.take_over()
    world.run(6_000)
    assert world.finished["a"].outcome is JobState.COMPLETED
    assert set(world.starts.values()) == {1}


def test_a_new_leader_waits_for_leases_that_it_cannot_see() -> None:
    world = scene()
    world.true_ms = lambda _: 60_000.0
    world.submit(job("a", StepSpec(12, SIZE)))
    world.run(1_500)
    held = list(world.workers["w000"].running)
    world.cut = {"w000"}
    world.take_over()
    world.run(TIMING.takeover_ms - 500)
    assert all(world.starts[key] == 1 for key in held)
    world.run(4_000)
    assert all(world.starts[key] == 2 for key in held)
    assert world.violations == []


def test_nothing_starts_before_it_is_stored() -> None:
    world = scene()
    world.run(500)
    world.store_is_away = True
    world.submit(job("a", StepSpec(2, SIZE)))
    world.run(2_000)
    assert not world.starts
    world.store_is_away = False
    world.run(3_000)
    assert world.finished["a"].outcome is JobState.COMPLETED


def test_permits_that_expired_in_an_outage_are_not_used() -> None:
    advice = AdvicePolicy(20, 1, valid_ms=1_000)
    world = Simulation([queue("q", advice=advice)], workers(6))
    world.run(500)
    world.submit(job("a", StepSpec(4, SIZE)))
    world.at(40, partial(setattr, world, "store_is_away", True))
    world.run(2_000)
    assert not world.starts
    world.store_is_away = False
    world.run(3_000)
    assert world.finished["a"].outcome is JobState.COMPLETED
    assert world.expired_tickets == 0


def test_tasks_outlast_an_outage_of_the_store() -> None:
    world = scene()
    world.true_ms = lambda _: 7_000.0
    world.submit(job("a", StepSpec(6, SIZE)))
    world.run(1_000)
    world.store_is_away = True
    world.run(5_000)
    world.store_is_away = False
    world.run(4_000)
    assert world.finished["a"].outcome is JobState.COMPLETED
    assert set(world.starts.values()) == {1}


def test_faults_in_series_leave_no_second_run() -> None:
    for seed in range(12):
        world = scene(6)
        luck = random.Random(seed)
        world.true_ms = lambda key: 500.0 + 700 * key.position
        world.lose_start = partial(_is_unlucky, luck, 0.2)
        world.fails = partial(_is_unlucky, luck, 0.1)
        for number in range(25):
            is_gang = number % 3 == 0
            world.submit(job(f"a{number}", StepSpec(4, SIZE, is_gang=is_gang)))
            world.run(200)
            if number % 8 == 5:
                world.cut = set(luck.sample(sorted(world.workers), 2))
            if number % 8 == 1:
                world.cut = set()
            if number % 6 == 4:
                world.take_over()
        world.cut = set()
        world.run(40_000)
        assert world.violations == [], seed
        assert len(world.finished) == 25, seed


def _is_unlucky(luck: random.Random, share: float, *_: object) -> bool:
    return luck.random() < share


def test_tasks_of_a_worker_that_never_answers_again_run_elsewhere() -> None:
    world = scene()
    world.true_ms = lambda _: 3_000.0
    world.submit(job("a", StepSpec(12, SIZE)))
    world.run(1_000)
    world.workers["w000"].is_gone = True
    world.cut = {"w000"}
    world.run(TIMING.lease_ms + 8_000)
    assert world.finished["a"].outcome is JobState.COMPLETED


def test_members_that_wait_for_a_lost_one_are_stopped() -> None:
    world = scene(3)
    world.submit(job("a", StepSpec(4, SIZE, is_gang=True)))
    world.lose_start = lambda order: order.run == 1
    world.run(60)
    world.take_over()
    world.run(12_000)
    assert world.finished["a"].outcome is JobState.COMPLETED
    assert world.violations == []


def test_an_order_that_was_overtaken_by_a_new_leader_ends_the_old_one() -> (
    None
):
    world = scene(1)
    world.run(500)
    old = world.controller
    start = PlannedStart(TaskKey("a", 0, 0, 0), 1, "w000")
    fenced = Err(not_run(FailureCode.FENCED, "token"))
    old.handle_start_answer(StartAnswered(start, fenced, 0, 0))
    assert old.is_over


def test_an_order_that_met_another_life_of_the_worker_frees_its_tasks() -> (
    None
):
    world = scene(2)
    world.true_ms = lambda _: 60_000.0
    world.submit(job("a", StepSpec(12, SIZE)))
    world.run(1_000)
    held = list(world.workers["w000"].running)
    assert held
    start = PlannedStart(held[0], 1, "w000")
    replaced = Err(not_run(FailureCode.REPLACED, "another life"))
    world.controller.handle_start_answer(StartAnswered(start, replaced, 0, 0))
    assert "w000" not in world.controller.state.workers_by_id
    assert not world.controller.is_over
