"""What preemption saves and costs under the contended load, a quarter of it.

Batches of 2.2 s on 1.7 cores that save progress fill all workers. Urgent
steps of 3 tasks of 0.8 s on 2.5 cores arrive at 41 a second in the whole.
"""

from __future__ import annotations

import random

from functools import partial
from typing import NamedTuple

from magnoliapitch.ledger.state_table import JobState
from magnoliapitch.planner.options import PlanningOptions
from magnoliapitch.resource import Resources
from magnoliapitch.workload.configuration import PermitTiming
from magnoliapitch.workload.job import JobSpec
from magnoliapitch.workload.job import StepSpec
from magnoliapitch.workload.job import TaskKey
from tests.control.simulation import Simulation
from tests.control.simulation import queue
from tests.control.simulation import workers


WORKER_COUNT = 44
CAPACITY = Resources(16_000, 65_536)
URGENT_PER_S = 41.2 / 4
URGENT_MS = 800.0
TARGET_MS = 250.0
STRETCH = 1.5
BATCH_MS = 2_200.0
BATCH_TASKS = 25
# Fills the workers for longer than urgent steps arrive.
BATCH_COUNT = 150
FILL_MS = 3_000
DURATION_MS = 12_000
# As the other load patterns require of urgent jobs.
MIN_IN_TIME_SHARE = 0.9
# The urgent steps use less than an eighth of the capacity.
MIN_BATCH_RATIO = 0.875


class Measured(NamedTuple):
    """Figures of one run of the load.

    :param in_time_share: share of the urgent jobs that ended within their
        objective.
    :param batch_tasks: batch tasks that were done.
    :param preemptions: runs that were stopped.
    """

    in_time_share: float
    batch_tasks: int
    preemptions: int


class ContendedLoad:
    """Plays the load with and without preemption."""

    def __init__(self, *, preemption: bool, seed: int = 1) -> None:
        self._random = random.Random(seed)
        self._urgent_ids: list[str] = []
        self._duration_ms_by_task: dict[TaskKey, float] = {}
        urgent_timing = PermitTiming(5.6, 0.08, 2_500)
        batch_timing = PermitTiming(62, 0.9, 2_500)
        self.simulation = Simulation(
            [
                queue("urgent", 0, urgent_timing)._replace(
                    target_ms=TARGET_MS, stretch=STRETCH
                ),
                queue("batch", 2, batch_timing)._replace(
                    target_ms=3_000.0, stretch=4.0
                ),
            ],
            workers(WORKER_COUNT, CAPACITY),
            options=PlanningOptions(preemption=preemption),
        )
        self.simulation.actual_duration_ms = (
            self._duration_ms_by_task.__getitem__
        )

    def play(self) -> Measured:
        for number in range(BATCH_COUNT):
            step = StepSpec(
                BATCH_TASKS,
                Resources(1_700, 5_600),
                self._estimate_ms(BATCH_MS, 0.5),
                saves_progress=True,
            )
            self._submit(f"batch{number}", "batch", step, BATCH_MS)
        self.simulation.run(FILL_MS)
        at_ms = 0.0
        while at_ms < DURATION_MS:
            at_ms += self._random.expovariate(URGENT_PER_S / 1_000)
            self.simulation.schedule(at_ms, partial(self._submit_urgent))
        self.simulation.run(DURATION_MS)
        batch_tasks = self._done_batch_tasks()
        self.simulation.run(4_000)
        assert self.simulation.violations == []
        objective_ms = TARGET_MS + STRETCH * URGENT_MS
        finished = self.simulation.finished
        in_time = sum(
            job_id in finished
            and finished[job_id].outcome is JobState.COMPLETED
            and finished[job_id].after_ms <= objective_ms
            for job_id in self._urgent_ids
        )
        return Measured(
            in_time / len(self._urgent_ids),
            batch_tasks,
            self.simulation.stop_orders.total(),
        )

    def _submit_urgent(self) -> None:
        name = f"urgent{len(self._urgent_ids)}"
        self._urgent_ids.append(name)
        estimate_ms = self._estimate_ms(URGENT_MS, 0.9)
        step = StepSpec(3, Resources(2_500, 5_700), estimate_ms)
        self._submit(name, "urgent", step, URGENT_MS)

    def _submit(
        self, name: str, queue_name: str, step: StepSpec, work_ms: float
    ) -> None:
        for position in range(step.task_count):
            key = TaskKey(name, 0, 0, position)
            self._duration_ms_by_task[key] = work_ms
        self.simulation.submit(JobSpec(name, queue_name, "text", (step,)))

    def _estimate_ms(self, work_ms: float, spread: float) -> int:
        return int(work_ms * self._random.lognormvariate(0, spread))

    def _done_batch_tasks(self) -> int:
        return sum(
            task.is_done
            for job in self.simulation.controller.state.jobs_by_id.values()
            if job.queue.name == "batch"
            and job.spec.job_id not in self.simulation.finished
            for step in job.all_steps()
            for task in step.tasks
        ) + BATCH_TASKS * sum(
            name.startswith("batch") for name in self.simulation.finished
        )


def test_urgent_steps_end_in_time_beside_batches_that_save_progress() -> None:
    without = ContendedLoad(preemption=False).play()
    preempting = ContendedLoad(preemption=True).play()
    assert without.preemptions == 0
    assert preempting.in_time_share >= MIN_IN_TIME_SHARE
    assert preempting.in_time_share > without.in_time_share
    assert preempting.batch_tasks >= MIN_BATCH_RATIO * without.batch_tasks
