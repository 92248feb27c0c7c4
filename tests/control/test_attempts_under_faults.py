"""Random schedules in which most runs fail; see ``attempt_history.py``."""

from __future__ import annotations

import random

from itertools import product
from typing import TYPE_CHECKING

import pytest

from magnoliapitch.resource import Resources
from magnoliapitch.workload.job import JobSpec
from magnoliapitch.workload.job import StepSpec
from magnoliapitch.workload.job import TaskKey
from tests.control.delegation.simulated_agents import DelegatedEffects
from tests.control.restarting_workers import DelegatedWireEffects
from tests.control.restarting_workers import RestartingSimulation
from tests.control.restarting_workers import WireEffects
from tests.control.simulated_effects import COMMIT_DURATION_MS
from tests.control.simulated_effects import SimulatedEffects
from tests.control.simulation import Simulation
from tests.control.simulation import queue
from tests.control.simulation import workers


if TYPE_CHECKING:
    from magnoliapitch.ledger.leader_appender import Batch
    from magnoliapitch.workload.run import StartOrder
    from magnoliapitch.workload.run import StopOrder


SEEDS = range(6)
EFFECTS_TYPES = (
    SimulatedEffects,
    DelegatedEffects,
    WireEffects,
    DelegatedWireEffects,
)
QUEUE_NAMES = ("q0", "q1")
CAPACITY = Resources(8_000, 16_000)
WORKER_COUNT = 6
JOB_COUNT = 50
SUBMISSION_INTERVAL_MS = 500
SETTLE_MS = 60_000
MAX_SILENCE_MS = 15_000
# Longer than a lease.
MAX_STORE_OUTAGE_MS = 9_000
MAX_LEADERLESS_MS = 1_500
# Members of a gang fail within this time after each other.
MAX_MEMBER_DELAY_MS = 300


class FailingRun:
    """Jobs whose runs mostly fail, with faults of workers, leaders and store.

    Workers fall silent, are not listed, crash or restart; leaders are lost
    also between two ends of a gang, and after a commit whose outcome they do
    not learn; the store is slow or away; queues change, go and come back.
    """

    def __init__(
        self, seed: int, effects_type: type[SimulatedEffects]
    ) -> None:
        self._random = random.Random(seed)
        self.job_ids: list[str] = []
        self._is_leaderless = False
        self._failure_share_by_job: dict[str, float] = {}
        is_wire = effects_type in (WireEffects, DelegatedWireEffects)
        simulation_type = RestartingSimulation if is_wire else Simulation
        self.simulation = simulation_type(
            [queue(name) for name in QUEUE_NAMES],
            workers(WORKER_COUNT, CAPACITY),
            effects_type=effects_type,
        )
        simulation = self.simulation
        simulation.actual_duration_ms = lambda _: self._random.choice(
            (100.0, 700.0, 3_000.0)
        )
        simulation.failure_delay_ms = lambda _: self._random.choice(
            (20, 200, 2_500)
        )
        simulation.run_fails = lambda task, _: self._happens(
            self._failure_share_by_job[task.job_id]
        )
        simulation.member_failure_delay_ms = self._member_failure_delay_ms
        simulation.start_answer_lost = lambda _: self._happens(0.15)
        simulation.order_late_ms = self._order_late_ms
        simulation.on_commit = self._lose_leader_at_commit

    def play(self) -> None:
        """Submit all jobs with faults, then let everything settle."""
        for _ in range(JOB_COUNT):
            self._submit()
            self._cause_faults()
            self.simulation.run(SUBMISSION_INTERVAL_MS)
        self._mend()
        self.simulation.run(SETTLE_MS)

    def check(self) -> None:
        """Check the attempts, and that every job has ended."""
        assert self.simulation.violations == []
        assert set(self.simulation.finished) == set(self.job_ids)

    def _happens(self, probability: float) -> bool:
        return self._random.random() < probability

    def _submit(self) -> None:
        job_id = f"j{len(self.job_ids)}"
        self.job_ids.append(job_id)
        self._failure_share_by_job[job_id] = self._random.choice(
            (0.3, 0.7, 0.95)
        )
        is_gang = self._happens(0.5)
        steps = tuple(
            StepSpec(
                self._random.randrange(2 if is_gang else 1, 4),
                Resources(self._random.randrange(500, 3_000, 50), 1_000),
                is_gang=is_gang,
                depends_on=tuple(range(number)),
                saves_progress=self._happens(0.3),
                is_speculative=not is_gang and self._happens(0.3),
            )
            for number in range(self._random.randrange(1, 3))
        )
        name = self._random.choice(QUEUE_NAMES)
        self.simulation.submit(JobSpec(job_id, name, "text", steps))

    def _cause_faults(self) -> None:
        simulation = self.simulation
        if self._happens(0.25):
            self._withhold_worker()
        if self._happens(0.05):
            self._live_worker_crashes()
        if self._happens(0.06) or simulation.controller.is_over:
            self._lose_leader()
        if self._happens(0.1):
            self._change_queue()
        if self._happens(0.03) and not simulation.store_is_unavailable:
            simulation.store_is_unavailable = True
            simulation.schedule(
                self._random.randrange(MAX_STORE_OUTAGE_MS), self._end_outage
            )
        simulation.progress_commit_ms = self._random.choice(
            (COMMIT_DURATION_MS, COMMIT_DURATION_MS, 150, 1_200)
        )
        simulation.state_commit_ms = self._random.choice((0, 0, 300))
        simulation.restart_delay_ms = self._random.choice((20, 600, 5_000))
        simulation.list_is_unavailable = self._happens(0.05)
        simulation.jobs_are_unavailable = self._happens(0.05)

    def _withhold_worker(self) -> None:
        """Let a worker be silent, not listed, or both, for a while."""
        simulation = self.simulation
        name = self._random.choice(self._live_worker_ids())
        withheld = self._random.choice(
            (
                simulation.silent_worker_ids,
                simulation.unlisted_worker_ids,
                simulation.unreachable_worker_ids,
            )
        )
        withheld.add(name)
        simulation.schedule(
            self._random.randrange(1_000, MAX_SILENCE_MS),
            lambda: withheld.discard(name),
        )

    def _live_worker_ids(self) -> list[str]:
        return sorted(
            name
            for name, worker in self.simulation.workers.items()
            if not worker.is_gone
        )

    def _live_worker_crashes(self) -> None:
        name = self._random.choice(self._live_worker_ids())
        self.simulation.workers[name].crash()

    def _change_queue(self) -> None:
        """Change the attempts of a queue, or remove it or return it."""
        simulation = self.simulation
        name = self._random.choice(QUEUE_NAMES)
        queues = dict(simulation.configuration.queues_by_name)
        if self._happens(0.3) and name in queues:
            del queues[name]
        else:
            attempts = self._random.randrange(1, 5)
            queues[name] = queue(name)._replace(attempts=attempts)
        simulation.configuration = simulation.configuration._replace(
            queues_by_name=queues
        )
        simulation.controller.handle_configuration_changed()

    def _order_late_ms(self, order: StartOrder | StopOrder) -> int:
        del order
        if not self._happens(0.03):
            return 0
        return self._random.randrange(1_000, 6_000)

    def _member_failure_delay_ms(self, task: TaskKey) -> int | None:
        del task
        if self._happens(0.4):
            return None
        delay_ms = self._random.randrange(MAX_MEMBER_DELAY_MS)
        if self._happens(0.1):
            self.simulation.schedule(
                self._random.randrange(MAX_MEMBER_DELAY_MS), self._lose_leader
            )
        return delay_ms

    def _lose_leader_at_commit(self, batch: Batch) -> None:
        """Store the first records of a batch, and lose its leader."""
        simulation = self.simulation
        if simulation.store_is_unavailable or not self._happens(0.002):
            return
        count = self._random.randrange(len(batch.progress) + 1)
        values = {
            record.key: record.value or None
            for record in batch.progress[:count]
        }
        simulation.job_table.apply(values, list(values))
        simulation.record_progress(values)
        self._lose_leader()

    def _lose_leader(self) -> None:
        """Lose the leader; another one claims at once and leads later."""
        simulation = self.simulation
        if simulation.store_is_unavailable or self._is_leaderless:
            return
        self._is_leaderless = True
        simulation.controller.is_over = True
        simulation.claim()
        simulation.schedule(
            self._random.randrange(MAX_LEADERLESS_MS), self._take_over
        )

    def _take_over(self) -> None:
        simulation = self.simulation
        if simulation.store_is_unavailable:
            simulation.schedule(COMMIT_DURATION_MS, self._take_over)
            return
        if self._happens(0.5):
            simulation.forget_reading_times()
        self._is_leaderless = False
        simulation.take_over()

    def _end_outage(self) -> None:
        self.simulation.store_is_unavailable = False

    def _mend(self) -> None:
        simulation = self.simulation
        simulation.silent_worker_ids.clear()
        simulation.unlisted_worker_ids.clear()
        simulation.unreachable_worker_ids.clear()
        simulation.store_is_unavailable = False
        simulation.progress_commit_ms = COMMIT_DURATION_MS
        simulation.state_commit_ms = 0
        simulation.list_is_unavailable = False
        simulation.jobs_are_unavailable = False
        simulation.order_late_ms = lambda _: 0
        if simulation.controller.is_over:
            self._lose_leader()
        queues = simulation.configuration.queues_by_name
        simulation.configuration = simulation.configuration._replace(
            queues_by_name={name: queue(name) for name in QUEUE_NAMES}
            | dict(queues)
        )
        simulation.controller.handle_configuration_changed()


# Issue 57: ends of runs that were given up, and the second failed member of a
# gang after a change of leader, were miscounted.
@pytest.mark.parametrize(
    ("seed", "effects_type"), list(product(SEEDS, EFFECTS_TYPES))
)
def test_attempts_are_counted_under_faults(
    seed: int, effects_type: type[SimulatedEffects]
) -> None:
    run = FailingRun(seed, effects_type)
    run.play()
    run.check()
