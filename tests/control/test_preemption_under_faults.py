"""Random schedules with preemption on, checked against the workers."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

import pytest

from magnoliapitch.planner.options import PlanningOptions
from magnoliapitch.resource import Resources
from magnoliapitch.workload.job import JobSpec
from magnoliapitch.workload.job import StepSpec
from magnoliapitch.workload.job import TaskKey
from tests.control.simulated_effects import SimulatedEffects
from tests.control.simulation import Simulation
from tests.control.simulation import queue
from tests.control.test_capacity_under_faults import FaultyRun


if TYPE_CHECKING:
    from collections.abc import Sequence

    from magnoliapitch.planner.plan import PlannedStart
    from magnoliapitch.workload.configuration import Queue
    from magnoliapitch.workload.run import StartOrder
    from magnoliapitch.workload.run import StopOrder
    from magnoliapitch.workload.worker import WorkerInfo
    from tests.control.simulated_worker import SimulatedWorker


SEEDS = range(6)
QUEUES = ("urgent", "plans", "batch")
SERVICE_JOB = "service"
DRAIN_PROBABILITY = 0.05
URGENT_PROBABILITY = 0.4
# Of the uneven load.
LATE_SHARE = 0.03
LATE_FACTOR = 7


class _CheckedEffects(SimulatedEffects):
    """Effects that check each order against what its leader knows."""

    def start(
        self, worker: WorkerInfo, planned: PlannedStart, order: StartOrder
    ) -> None:
        task = self._simulation.controller.state.task(order.task)
        if task is None or task.is_done:
            self._simulation.violations.append(
                f"{order.task} was ordered after its end"
            )
        super().start(worker, planned, order)

    def order_stop(self, worker: WorkerInfo, order: StopOrder) -> None:
        state = self._simulation.controller.state
        run = state.run(order.task, order.run, worker.worker_id)
        reason = "" if run is None else run.stop_reason
        if order.task.job_id == SERVICE_JOB and reason:
            self._simulation.violations.append(
                f"{order.task} was stopped: {reason}"
            )
        super().order_stop(worker, order)


class _PreemptingSimulation(Simulation):
    """A simulation with three queues and preemption on."""

    def __init__(
        self,
        queues: Sequence[Queue],
        workers: Sequence[WorkerInfo],
        advisor_call_limit: int = 6,
        effects_type: type[SimulatedEffects] = _CheckedEffects,
    ) -> None:
        del queues
        super().__init__(
            [
                queue(name, priority)._replace(target_ms=1_500.0, attempts=9)
                for priority, name in enumerate(QUEUES)
            ],
            workers,
            advisor_call_limit,
            effects_type,
            PlanningOptions(preemption=True),
        )


class PreemptingRun(FaultyRun):
    """Batches that save progress fill the workers; urgent steps arrive.

    Besides the faults of ``FaultyRun``, workers drain and leave.

    :ivar stop_reasons: reasons of the stops that were seen.
    """

    def __init__(self, seed: int, *, is_speculative: bool) -> None:
        self._is_speculative = is_speculative
        self.stop_reasons: set[str] = set()
        super().__init__(seed, _CheckedEffects, _PreemptingSimulation)
        service = StepSpec(1, Resources(500, 500), is_long_running=True)
        self.simulation.submit(JobSpec(SERVICE_JOB, "urgent", "", (service,)))
        self._duration_ms_by_task[TaskKey(SERVICE_JOB, 0, 0, 0)] = 1e9
        if is_speculative:
            # A late order of a copy may arrive after the other run has ended.
            self.simulation.order_late_ms = lambda _: 0

    def _submit(self) -> None:
        job_id = f"j{len(self.job_ids)}"
        is_urgent = self._happens(URGENT_PROBABILITY)
        is_gang = self._happens(0.3)
        duration_ms = 500 if is_urgent else self._random.choice((2_000, 6_000))
        step = StepSpec(
            self._random.randrange(1, 4 if is_urgent else 9),
            Resources(self._random.randrange(1_000, 3_000, 50), 1_000),
            duration_ms,
            saves_progress=not is_urgent,
            is_gang=is_gang,
            is_speculative=self._is_speculative and not is_gang,
        )
        for position in range(step.task_count):
            is_late = self._is_speculative and self._happens(LATE_SHARE)
            key = TaskKey(job_id, 0, 0, position)
            factor = LATE_FACTOR if is_late else 1
            self._duration_ms_by_task[key] = float(duration_ms * factor)
        name = "urgent" if is_urgent else self._random.choice(QUEUES[1:])
        self.job_ids.append(job_id)
        self.simulation.submit(JobSpec(job_id, name, "text", (step,)))

    def _cause_faults(self) -> None:
        super()._cause_faults()
        stopping = self.simulation.controller.state.runs_to_stop.values()
        self.stop_reasons.update(run.stop_reason for run in stopping)
        if self._happens(DRAIN_PROBABILITY):
            name = self._random.choice(self._live_worker_ids())
            self._drain(self.simulation.workers[name])

    def _drain(self, worker: SimulatedWorker) -> None:
        remaining_ms = self._random.choice((500, 3_000, 6_000))
        worker.info = worker.info._replace(
            is_draining=True, drain_remaining_ms=remaining_ms
        )
        self.simulation.schedule(remaining_ms, partial(self._leave, worker))

    def _leave(self, worker: SimulatedWorker) -> None:
        worker.info = worker.info._replace(
            is_draining=False, drain_remaining_ms=0
        )
        worker.is_gone = True
        worker.crash()


# With stops for three more reasons, beside cuts, late orders, lost answers and
# new leaders: no task twice, no capacity exceeded, no end forgotten.
@pytest.mark.parametrize("is_speculative", [False, True])
@pytest.mark.parametrize("seed", SEEDS)
def test_nothing_runs_twice_or_too_much_with_preemption(
    seed: int, *, is_speculative: bool
) -> None:
    run = PreemptingRun(seed, is_speculative=is_speculative)
    run.play()
    assert run.simulation.violations == []
    assert set(run.simulation.finished) >= set(run.job_ids)
    assert "preempted" in run.stop_reasons
