"""Room for tasks of services that are down and fit nowhere."""

from __future__ import annotations

import pytest

from magnoliapitch.planner.preemption_pass import MIN_RUN_MS
from magnoliapitch.resource import Resources
from magnoliapitch.workload.configuration import PermitTiming
from magnoliapitch.workload.job import StepSpec
from magnoliapitch.workload.job import TaskKey
from magnoliapitch.workload.run import EndKind
from tests.planner.running_work import BATCH
from tests.planner.running_work import PLANS
from tests.planner.running_work import URGENT
from tests.planner.running_work import RunningWork


SIZE = Resources(2_000, 4_000)
SERVICE = StepSpec(1, SIZE, is_long_running=True)
FULL = StepSpec(4, SIZE, 20_000)
SAVING = FULL._replace(saves_progress=True)
TASK = TaskKey("service", 0, 0, 0)
TIMING = PermitTiming(5, 1, 2_500)
# A pass, and the time for which a step has to be short of room.
SHORT_MS = 200
LOST_AT_MS = 8_000


class Outage:
    """A service on ``w0``, which is gone, and work that fills ``w1``."""

    def __init__(
        self,
        service: StepSpec = SERVICE,
        permit_timing: PermitTiming | None = None,
    ) -> None:
        self.work = work = RunningWork(0)
        work.list_worker("w0")
        job = work.add_job("service", service, PLANS, permit_timing)
        [self.step] = job.all_steps()
        run = work.state.add_ordered_run(TASK, 1, "w0", 0)
        work.state.confirm_run(run, 0)
        worker = work.state.workers_by_id["w0"]
        worker.is_usable = False
        worker.runs_lost_at_ms = LOST_AT_MS
        work.list_worker("w1")

    def fill(self, *steps: StepSpec, priority: int = BATCH) -> None:
        """Begin jobs ``a``, ``b`` and so on, one after the other."""
        for name, step in zip("abcd", steps, strict=False):
            self.work.add_job(name, step, priority)
            self.work.advance(MIN_RUN_MS)

    def give_up(self) -> None:
        self.work.now_ms = LOST_AT_MS
        self.work.state.lose_runs("w0")

    def displaced(self) -> list[str]:
        """Return the jobs of the runs that are stopped, after a while."""
        self.work.advance(SHORT_MS)
        assert set(self.work.stopping().values()) <= {"preempted"}
        return sorted(key.job_id for key in self.work.stopping())

    def end_stopped(self) -> None:
        for run in list(self.work.state.runs_to_stop.values()):
            self.work.end(run, EndKind.STOPPED)


# A task of a service whose permitted workers were full never started again.
@pytest.mark.parametrize("step", [FULL, SAVING], ids=("unsaved", "saved"))
def test_a_service_that_is_down_displaces_one_run(step: StepSpec) -> None:
    outage = Outage()
    outage.fill(step)
    outage.give_up()
    assert outage.displaced() == ["a"]
    outage.end_stopped()
    [start] = outage.work.plan().starts
    assert (start.task, start.run) == (TASK, 2)


# Small urgent tasks, one after the other, took each part that became free.
def test_what_becomes_free_is_kept_for_a_service_that_fits_nowhere() -> None:
    outage = Outage(SERVICE._replace(resources=SIZE.times(2)))
    outage.fill(FULL, FULL._replace(task_count=40), priority=URGENT)
    outage.give_up()
    assert outage.displaced() == []
    for run in outage.work.runs("a")[:2]:
        assert outage.work.plan().starts == ()
        outage.work.end(run, EndKind.DONE)
    [start] = outage.work.plan().starts
    assert start.task == TASK
