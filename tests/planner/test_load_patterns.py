"""Load patterns that the planner must handle, in virtual time.

The bounds follow from how long callers are ready to wait.
"""

from __future__ import annotations

import random

from collections import defaultdict
from functools import partial

from magnoliapitch.control.order_window import OrderWindow
from magnoliapitch.ledger.state_table import JobState
from magnoliapitch.resource import Resources
from magnoliapitch.workload.configuration import PermitTiming
from magnoliapitch.workload.job import JobSpec
from magnoliapitch.workload.job import StepSpec
from magnoliapitch.workload.job import TaskKey
from magnoliapitch.workload.run import EndKind
from tests.control.load import LARGE_CLUSTER_JOB_KINDS
from tests.control.load import LoadGenerator
from tests.control.simulation import Simulation
from tests.control.simulation import queue
from tests.control.simulation import workers


COMPLETION_WAIT_MS = 10_000
# Share that the users require on days with faults at their enlarged sites.
LARGE_CLUSTER_MIN_EARNED_SHARE = 0.64
# Time for twenty batches, including the time until the planner no longer
# reserves capacity for the gang ahead of them.
BATCHES_DONE_MS = 35_000
# Time before the start that the objective of a gang, 2.2 times its duration,
# leaves.
MAX_GANG_START_MS = 7_400
# Time before the start that the objective of a batch leaves: 3 s and four
# times its duration, less its duration.
MAX_BATCH_START_MS = 9_600
BATCH_COUNT = 10
# Processor time of an order on a leader of about one core.
ORDER_DURATION_MS = 2.0
# The users require that a lost task of a service runs again within 6 s.
MAX_SERVICE_RESTART_MS = 6_000
SLOW_PERMIT_TIMING = PermitTiming(
    decision_ms=900, per_worker_ms=5.5, valid_ms=2_500
)


def test_a_burst_of_urgent_jobs_on_a_busy_pool() -> None:
    load = LoadGenerator(24, 0.9)
    load.run(8_000)
    load.rate_factor_by_kind = {"urgent": 2.2}
    load.run(4_000)
    load.simulation.run(COMPLETION_WAIT_MS)
    assert load.earned_share("urgent") >= 0.9
    assert load.simulation.violations == []


def test_large_gangs_and_batches_on_a_large_pool() -> None:
    """A third of an enlarged site: slow permits, gangs of 17 tasks."""
    load = LoadGenerator(
        60, 0.34, advisor_call_limit=12, kinds=LARGE_CLUSTER_JOB_KINDS
    )
    load.run(8_000)
    load.simulation.run(16_000)
    assert load.earned_share() >= LARGE_CLUSTER_MIN_EARNED_SHARE
    assert load.earned_share("urgent") >= 0.9
    assert load.simulation.violations == []


def test_a_burst_of_gangs_does_not_delay_urgent_jobs() -> None:
    load = LoadGenerator(24, 0.9)
    load.run(5_000)
    load.rate_factor_by_kind = {"plan": 2.0}
    load.run(4_000)
    load.rate_factor_by_kind = {}
    load.run(4_000)
    load.simulation.run(30_000)
    assert load.earned_share("urgent") >= 0.9
    assert load.earned_share("batch") >= 0.8
    assert load.simulation.violations == []


def test_a_large_gang_starts_with_slow_and_short_lived_permits() -> None:
    simulation = Simulation(
        [queue("q", permit_timing=SLOW_PERMIT_TIMING)], workers(176)
    )
    simulation.permitted_share = 0.35
    gang = StepSpec(30, Resources(9_000, 26_000), is_gang=True)
    for number in range(4):
        simulation.submit(JobSpec(f"a{number}", "q", "text", (gang,)))
    simulation.run(15_000)
    states = [done.outcome for done in simulation.finished.values()]
    assert states == [JobState.COMPLETED] * 4


def test_a_large_gang_starts_ahead_of_a_backlog_of_small_tasks() -> None:
    """Small tasks compete for all free capacity; the gang needs 144 cores."""
    batches = queue("batches", 2, PermitTiming(20, 0.3, 2_500))
    plans = queue("plans", 1, PermitTiming(560, 8, 2_500))
    simulation = Simulation(
        [batches, plans], workers(48), advisor_call_limit=12
    )
    simulation.permitted_share_by_queue = {"batches": 0.45, "plans": 0.35}
    duration_source = random.Random(1)
    actual_duration_ms_by_task: defaultdict[TaskKey, float] = defaultdict(
        lambda: 3_400 * duration_source.uniform(0.5, 1.5)
    )
    simulation.actual_duration_ms = lambda key: actual_duration_ms_by_task[
        key._replace(position=0)
    ]
    small = StepSpec(10, Resources(3_500, 10_000), 3_400)
    for number in range(150):
        simulation.submit(JobSpec(f"b{number}", "batches", "text", (small,)))
    simulation.run(4_000)
    gang = StepSpec(16, Resources(9_000, 26_000), 6_200, is_gang=True)
    simulation.submit(JobSpec("plan", "plans", "text", (gang,)))
    simulation.run(MAX_GANG_START_MS)
    assert simulation.starts[TaskKey("plan", 0, 0, 0)] == 1
    assert simulation.violations == []


def test_a_gang_that_can_never_start_does_not_starve_other_jobs() -> None:
    """The service never ends, so the gang never gets enough capacity."""
    simulation = Simulation([queue("q"), queue("batches", 2)], workers(2))
    simulation.actual_duration_ms = lambda key: (
        3_600_000.0 if key.job_id == "service" else 500.0
    )
    half_worker = Resources(16_000, 8_000)
    simulation.submit(
        JobSpec("service", "q", "text", (StepSpec(2, half_worker),))
    )
    simulation.run(1_000)
    gang = StepSpec(2, Resources(20_000, 8_000), is_gang=True)
    simulation.submit(JobSpec("gang", "q", "text", (gang,)))
    small = StepSpec(4, Resources(4_000, 4_000))
    for number in range(20):
        simulation.submit(JobSpec(f"b{number}", "batches", "text", (small,)))
    simulation.run(BATCHES_DONE_MS)
    assert len(simulation.finished) == 20
    assert TaskKey("gang", 0, 0, 0) not in simulation.starts


def test_jobs_that_fail_on_every_worker_do_not_delay_others() -> None:
    simulation = Simulation([queue("q")], workers(6))
    simulation.run_fails = lambda key, _: key.job_id.startswith("bad")
    size = Resources(4_000, 8_000)
    for number in range(20):
        simulation.submit(
            JobSpec(f"bad{number}", "q", "text", (StepSpec(4, size),))
        )
        simulation.submit(
            JobSpec(f"a{number}", "q", "text", (StepSpec(2, size),))
        )
    simulation.run(20_000)
    assert len(simulation.finished) == 40
    for name, done in simulation.finished.items():
        is_bad = name.startswith("bad")
        expected_state = JobState.FAILED if is_bad else JobState.COMPLETED
        assert done.outcome is expected_state


def test_many_cancellations_free_their_capacity_at_once() -> None:
    simulation = Simulation([queue("q")], workers(6))
    simulation.actual_duration_ms = lambda _: 30_000.0
    size = Resources(16_000, 8_000)
    for number in range(10):
        simulation.submit(
            JobSpec(f"a{number}", "q", "text", (StepSpec(4, size),))
        )
    simulation.run(2_000)
    for number in range(10):
        simulation.cancel(f"a{number}")
    simulation.actual_duration_ms = lambda _: 500.0
    simulation.submit(JobSpec("b", "q", "text", (StepSpec(12, size),)))
    simulation.run(4_000)
    assert simulation.finished["b"].outcome is JobState.COMPLETED


def test_a_large_pool_is_planned_within_the_round_interval() -> None:
    load = LoadGenerator(176, 6.0, advisor_call_limit=30)
    load.run(2_000)
    rounds = load.simulation.now_ms // 20
    assert load.simulation.commit_count >= rounds * 0.9
    assert load.simulation.violations == []


def test_a_worker_that_fails_every_run_causes_no_failed_job() -> None:
    simulation = Simulation([queue("q")], workers(6))
    simulation.run_fails = lambda _, worker_id: worker_id == "w000"
    size = Resources(8_000, 8_000)
    for number in range(40):
        steps = (StepSpec(3, size),)
        simulation.submit(JobSpec(f"a{number}", "q", "text", steps))
        simulation.run(300)
    simulation.run(20_000)
    outcomes = [done.outcome for done in simulation.finished.values()]
    assert outcomes == [JobState.COMPLETED] * 40


def test_an_interrupted_service_starts_again_ahead_of_a_backlog() -> None:
    """Urgent work waits for far more than the pool can run."""
    simulation = Simulation([queue("q"), queue("services", 1)], workers(4))
    simulation.actual_duration_ms = lambda key: (
        3_600_000.0 if key.job_id == "service" else 2_000.0
    )
    size = Resources(8_000, 16_000)
    service = StepSpec(4, size, is_long_running=True)
    simulation.submit(JobSpec("service", "services", "text", (service,)))
    simulation.run(1_000)
    urgent = StepSpec(6, size, 2_000)
    for number in range(300):
        simulation.submit(JobSpec(f"a{number}", "q", "text", (urgent,)))
    simulation.run(1_000)
    lost_ms = simulation.now_ms
    task = TaskKey("service", 0, 0, 0)
    for worker in simulation.workers.values():
        run = worker.running.get(task)
        if run is not None:
            worker.end(run, EndKind.FAILED)
    simulation.run_until(lambda: simulation.starts[task] == 2)
    assert simulation.now_ms - lost_ms <= MAX_SERVICE_RESTART_MS
    assert simulation.violations == []


def test_a_service_that_starts_late_keeps_its_turn() -> None:
    """Its objective passes while it waits, but it still has its full value."""
    simulation = Simulation([queue("q")], workers(1))
    size = Resources(32_000, 16_000)
    duration_ms_by_job = {"first": 20_000.0, "service": 3_600_000.0}
    simulation.actual_duration_ms = lambda key: duration_ms_by_job.get(
        key.job_id, 1_000.0
    )
    simulation.submit(JobSpec("first", "q", "text", (StepSpec(1, size, 500),)))
    simulation.run(500)
    service = StepSpec(1, size, 500, is_long_running=True)
    simulation.submit(JobSpec("service", "q", "text", (service,)))
    simulation.run(15_000)
    small = StepSpec(1, size, 1_000)
    for number in range(10):
        simulation.submit(JobSpec(f"a{number}", "q", "text", (small,)))
    simulation.run(6_000)
    assert simulation.starts[TaskKey("service", 0, 0, 0)] == 1


# Guards against a queue that gets nothing while a more urgent one waits.
def test_batches_start_while_gangs_wait_for_slow_permits() -> None:
    """There is capacity for everything, and orders can be sent."""
    simulation = play_batches_behind_gangs(advisor_call_limit=30)
    assert batches_not_started(simulation) == []
    assert simulation.violations == []


# Guards against a queue that gets no permits while another one uses all calls.
def test_batches_get_permits_while_gangs_could_use_every_call() -> None:
    """Gangs arrive faster than all the calls could get permits for them."""
    simulation = play_batches_behind_gangs(advisor_call_limit=6)
    assert batches_not_started(simulation) == []
    assert simulation.violations == []


def play_batches_behind_gangs(advisor_call_limit: int) -> Simulation:
    """Submit ten batches while new gangs wait for permits all the time."""
    plans = queue("plans", 1, PermitTiming(572, 8, 2_000))
    batches = queue("batches", 2, PermitTiming(104, 1.4, 2_000))
    simulation = Simulation([plans, batches], workers(176), advisor_call_limit)
    simulation.order_queue.window = OrderWindow()
    simulation.order_queue.order_duration_ms = ORDER_DURATION_MS
    simulation.permitted_share_by_queue = {"plans": 0.35, "batches": 0.45}
    simulation.actual_duration_ms = lambda key: (
        5_000.0 if key.job_id.startswith("plan") else 2_200.0
    )
    gang = StepSpec(24, Resources(3_000, 8_000), 5_000, is_gang=True)
    batch = StepSpec(25, Resources(1_700, 2_500), 2_200)
    for number in range(110):
        job = JobSpec(f"plan{number}", "plans", "text", (gang,))
        simulation.schedule(100 * number, partial(simulation.submit, job))
    simulation.run(1_000)
    for number in range(BATCH_COUNT):
        job = JobSpec(f"batch{number}", "batches", "text", (batch,))
        simulation.submit(job)
    simulation.run(MAX_BATCH_START_MS)
    return simulation


def batches_not_started(simulation: Simulation) -> list[str]:
    return [
        f"batch{number}"
        for number in range(BATCH_COUNT)
        if not simulation.starts[TaskKey(f"batch{number}", 0, 0, 24)]
    ]


# Guards against a queue that gets nothing behind a backlog of another one.
def test_a_batch_starts_behind_a_long_backlog_that_does_not_fit() -> None:
    """Large tasks wait for capacity that a service holds; small ones fit."""
    simulation = Simulation(
        [queue("services"), queue("large", 1), queue("batches", 2)],
        workers(4),
    )
    simulation.actual_duration_ms = lambda key: (
        3_600_000.0 if key.job_id == "service" else 2_200.0
    )
    service = StepSpec(4, Resources(16_000, 8_000), is_long_running=True)
    simulation.submit(JobSpec("service", "services", "text", (service,)))
    simulation.run(1_000)
    large = StepSpec(1, Resources(20_000, 8_000), 2_200)
    for number in range(300):
        simulation.submit(JobSpec(f"large{number}", "large", "text", (large,)))
    batch = StepSpec(10, Resources(1_700, 2_500), 2_200)
    simulation.submit(JobSpec("batch", "batches", "text", (batch,)))
    simulation.run(MAX_BATCH_START_MS)
    assert simulation.starts[TaskKey("batch", 0, 0, 9)] == 1
