"""Loads that the policy answers, in virtual time and without a network.

Each test names its pattern; the bounds come from what callers wait for.
"""

from __future__ import annotations

import random

from collections import defaultdict

from magnoliapitch.ledger.state_table import JobState
from magnoliapitch.resource import Resources
from magnoliapitch.workload.configuration import AdvicePolicy
from magnoliapitch.workload.job import JobSpec
from magnoliapitch.workload.job import StepSpec
from magnoliapitch.workload.job import TaskKey
from tests.control.load import GROWN_KINDS
from tests.control.load import Load
from tests.control.simulation import Simulation
from tests.control.simulation import queue
from tests.control.simulation import workers


URGENT_START_MS = 10_000
# The users' target for days with trouble on their grown sites.
GROWN_WORTH = 0.64
# Twenty batches behind a gang that is given up on.
STARVED_MAX_MS = 35_000
# What a plan's objective, 2.2 times its length, leaves before its start.
GANG_START_MS = 7_400
SLOW_ADVICE = AdvicePolicy(decision_ms=900, per_worker_ms=5.5, valid_ms=2_500)


def test_a_burst_of_urgent_work_over_a_busy_pool() -> None:
    load = Load(24, 0.9)
    load.run(8_000)
    load.factor_by_kind = {"urgent": 2.2}
    load.run(4_000)
    load.scene.run(URGENT_START_MS)
    assert load.earned("urgent") >= 0.9
    assert load.scene.violations == []


def test_wide_gangs_and_wide_batches_in_a_large_pool() -> None:
    """A third of the grown clubs: permits are slow, gangs 17 tasks wide."""
    load = Load(60, 0.34, lanes=12, kinds=GROWN_KINDS)
    load.run(8_000)
    load.scene.run(16_000)
    assert load.earned() >= GROWN_WORTH
    assert load.earned("urgent") >= 0.9
    assert load.scene.violations == []


def test_a_burst_of_gangs_leaves_urgent_work_alone() -> None:
    load = Load(24, 0.9)
    load.run(5_000)
    load.factor_by_kind = {"plan": 2.0}
    load.run(4_000)
    load.factor_by_kind = {}
    load.run(4_000)
    load.scene.run(30_000)
    assert load.earned("urgent") >= 0.9
    assert load.earned("batch") >= 0.8
    assert load.scene.violations == []


def test_a_wide_gang_starts_though_permits_are_slow_and_short_lived() -> None:
    scene = Simulation([queue("q", advice=SLOW_ADVICE)], workers(176))
    scene.good_share = 0.35
    gang = StepSpec(30, Resources(9_000, 26_000), is_gang=True)
    for number in range(4):
        scene.submit(JobSpec(f"a{number}", "q", "text", (gang,)))
    scene.run(15_000)
    states = [done.outcome for done in scene.finished.values()]
    assert states == [JobState.COMPLETED] * 4


def test_a_wide_gang_starts_over_a_backlog_of_small_batches() -> None:
    """Small tasks wait for every bit of room; a gang needs 144 cores."""
    batches = queue("batches", 2, AdvicePolicy(20, 0.3, 2_500))
    plans = queue("plans", 1, AdvicePolicy(560, 8, 2_500))
    scene = Simulation([batches, plans], workers(48), lanes=12)
    scene.good_share_by_queue = {"batches": 0.45, "plans": 0.35}
    lengths = random.Random(1)
    true_ms_by_task: defaultdict[TaskKey, float] = defaultdict(
        lambda: 3_400 * lengths.uniform(0.5, 1.5)
    )
    scene.true_ms = lambda key: true_ms_by_task[key._replace(position=0)]
    small = StepSpec(10, Resources(3_500, 10_000), 3_400)
    for number in range(150):
        scene.submit(JobSpec(f"b{number}", "batches", "text", (small,)))
    scene.run(4_000)
    gang = StepSpec(16, Resources(9_000, 26_000), 6_200, is_gang=True)
    scene.submit(JobSpec("plan", "plans", "text", (gang,)))
    scene.run(GANG_START_MS)
    assert scene.starts[TaskKey("plan", 0, 0, 0)] == 1
    assert scene.violations == []


def test_a_gang_that_waits_behind_services_starves_nobody() -> None:
    """Services never end, so that the gang's room never comes."""
    scene = Simulation([queue("q"), queue("batches", 2)], workers(2))
    scene.true_ms = lambda key: (
        3_600_000.0 if key.job_id == "service" else 500.0
    )
    half = Resources(16_000, 8_000)
    scene.submit(JobSpec("service", "q", "text", (StepSpec(2, half),)))
    scene.run(1_000)
    gang = StepSpec(2, Resources(20_000, 8_000), is_gang=True)
    scene.submit(JobSpec("gang", "q", "text", (gang,)))
    small = StepSpec(4, Resources(4_000, 4_000))
    for number in range(20):
        scene.submit(JobSpec(f"b{number}", "batches", "text", (small,)))
    scene.run(STARVED_MAX_MS)
    assert len(scene.finished) == 20
    assert TaskKey("gang", 0, 0, 0) not in scene.starts


def test_jobs_that_fail_everywhere_do_not_hold_up_the_others() -> None:
    scene = Simulation([queue("q")], workers(6))
    scene.fails = lambda key, _: key.job_id.startswith("bad")
    size = Resources(4_000, 8_000)
    for number in range(20):
        scene.submit(
            JobSpec(f"bad{number}", "q", "text", (StepSpec(4, size),))
        )
        scene.submit(JobSpec(f"a{number}", "q", "text", (StepSpec(2, size),)))
    scene.run(20_000)
    assert len(scene.finished) == 40
    for name, done in scene.finished.items():
        is_bad = name.startswith("bad")
        wanted = JobState.FAILED if is_bad else JobState.COMPLETED
        assert done.outcome is wanted


def test_a_wave_of_cancellations_frees_the_room_at_once() -> None:
    scene = Simulation([queue("q")], workers(6))
    scene.true_ms = lambda _: 30_000.0
    size = Resources(16_000, 8_000)
    for number in range(10):
        scene.submit(JobSpec(f"a{number}", "q", "text", (StepSpec(4, size),)))
    scene.run(2_000)
    for number in range(10):
        scene.cancel(f"a{number}")
    scene.true_ms = lambda _: 500.0
    scene.submit(JobSpec("b", "q", "text", (StepSpec(12, size),)))
    scene.run(4_000)
    assert scene.finished["b"].outcome is JobState.COMPLETED


def test_a_large_pool_is_planned_within_the_time_it_has() -> None:
    load = Load(176, 6.0, lanes=30)
    load.run(2_000)
    rounds = load.scene.now_ms // 20
    assert load.scene.commits >= rounds * 0.9
    assert load.scene.violations == []


def test_a_worker_that_fails_everything_costs_no_job() -> None:
    scene = Simulation([queue("q")], workers(6))
    scene.fails = lambda _, worker_id: worker_id == "w000"
    size = Resources(8_000, 8_000)
    for number in range(40):
        steps = (StepSpec(3, size),)
        scene.submit(JobSpec(f"a{number}", "q", "text", steps))
        scene.run(300)
    scene.run(20_000)
    outcomes = [done.outcome for done in scene.finished.values()]
    assert outcomes == [JobState.COMPLETED] * 40
