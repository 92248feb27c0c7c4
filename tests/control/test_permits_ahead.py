"""Permits for long-running tasks whose workers are gone, over slow calls."""

from __future__ import annotations

import pytest

from magnoliapitch.workload.configuration import PermitTiming
from magnoliapitch.workload.job import JobSpec
from magnoliapitch.workload.job import StepSpec
from magnoliapitch.workload.job import TaskKey
from tests.control.simulation import LARGE_CAPACITY
from tests.control.simulation import Simulation
from tests.control.simulation import queue
from tests.control.simulation import workers
from tests.control.test_lost_leaders import SIZE
from tests.control.test_lost_leaders import lose_leader


SLOW_CALL = PermitTiming(590, 0.5, 2_500)
# Rounds, checks of leases and storing from a lease's end to the start order.
MAX_START_MS = 200
WORKER_COUNT = 40


class Outage:
    """Services of which some lose their workers for good.

    :ivar expired_ms: when the lease of each task's worker has ended.
    """

    def __init__(self, services: int, call_limit: int = 6) -> None:
        self.simulation = Simulation(
            [
                queue("services", permit_timing=SLOW_CALL),
                queue("batches", priority=1, permit_timing=SLOW_CALL),
            ],
            workers(WORKER_COUNT, LARGE_CAPACITY),
            call_limit,
        )
        self.simulation.actual_duration_ms = lambda task: (
            1e9 if task.job_id.startswith("service") else 1_000.0
        )
        self.tasks = [
            TaskKey(f"service{n:02}", 0, 0, 0) for n in range(services)
        ]
        step = StepSpec(1, SIZE, is_long_running=True)
        for task in self.tasks:
            self.simulation.submit(
                JobSpec(task.job_id, "services", "text", (step,))
            )
        self.simulation.run_until(
            lambda: all(self.simulation.starts[task] for task in self.tasks)
        )
        self.simulation.run(3_000)
        self.expired_ms: dict[TaskKey, int] = {}

    def take_workers_away(self) -> None:
        for worker in self.simulation.workers.values():
            if worker.running:
                worker.running.clear()
                worker.is_gone = True
                self.simulation.unreachable_worker_ids.add(
                    worker.info.worker_id
                )

    def backlog(self, count: int = 60) -> None:
        step = StepSpec(1, SIZE)
        for number in range(count):
            self.simulation.submit(
                JobSpec(f"batch{number}", "batches", "text", (step,))
            )

    def start_delays_ms(self) -> list[int]:
        """Return how long after their loss the tasks start, in order."""
        simulation = self.simulation
        lost_ms: dict[TaskKey, int] = {}
        delays_ms: dict[TaskKey, int] = {}
        end_ms = simulation.now_ms + 30_000
        while len(delays_ms) < len(self.tasks):
            assert simulation.now_ms < end_ms
            simulation.run(10)
            for key in self.tasks:
                task = simulation.controller.state.task(key)
                if task is not None and not task.active_runs:
                    lost_ms.setdefault(key, simulation.now_ms)
                if simulation.starts[key] > 1 and key not in delays_ms:
                    start_ms = lost_ms.get(key, simulation.now_ms)
                    delays_ms[key] = simulation.now_ms - start_ms
        assert simulation.violations == []
        return sorted(delays_ms.values())


# The advisor was asked only once the runs were given up; a call takes long.
@pytest.mark.parametrize("lost_leaders", [0, 1, 2])
def test_a_service_starts_as_soon_as_its_lease_is_over(
    lost_leaders: int,
) -> None:
    outage = Outage(services=1)
    outage.take_workers_away()
    for _ in range(lost_leaders):
        outage.simulation.run(1_500)
        lose_leader(outage.simulation)
    assert outage.start_delays_ms()[-1] <= MAX_START_MS


# All tasks that were lost at one moment shared few calls with all other work.
def test_many_services_start_as_soon_as_their_leases_are_over() -> None:
    outage = Outage(services=10)
    outage.take_workers_away()
    outage.backlog()
    assert outage.start_delays_ms()[-1] <= MAX_START_MS


# More tasks than there are calls before the end of the leases wait for a call.
def test_services_take_the_calls_that_other_queues_can_do_without() -> None:
    outage = Outage(services=30)
    outage.take_workers_away()
    outage.simulation.run(3_000)
    outage.backlog(200)
    started = outage.simulation.starts
    delays_ms = outage.start_delays_ms()
    assert delays_ms[9] <= MAX_START_MS
    assert delays_ms[-1] <= 3_000
    batch_count = sum(key.job_id.startswith("batch") for key in started)
    assert batch_count > 10


# Permits for a worker that comes back are of no use, and do no harm.
def test_a_worker_that_comes_back_in_time_keeps_its_runs() -> None:
    outage = Outage(services=1)
    simulation = outage.simulation
    [worker] = [w for w in simulation.workers.values() if w.running]
    simulation.unreachable_worker_ids = {worker.info.worker_id}
    calls = simulation.advisor_call_count
    simulation.run_until(lambda: simulation.advisor_call_count > calls)
    simulation.unreachable_worker_ids = set()
    simulation.run(10_000)
    assert simulation.starts[outage.tasks[0]] <= 2
    assert simulation.violations == []


# A task that is placed apart from other jobs can use few of the workers.
def test_a_suspect_starts_as_soon_as_its_lease_is_over() -> None:
    outage = Outage(services=1)
    task = outage.simulation.controller.state.task(outage.tasks[0])
    assert task is not None
    task.worker_losses = 1
    outage.take_workers_away()
    outage.backlog(30)
    assert outage.start_delays_ms()[-1] <= MAX_START_MS
    assert task.is_suspect
