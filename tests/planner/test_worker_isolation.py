from __future__ import annotations

import pytest

from magnoliapitch.planner.planner import Planner
from magnoliapitch.planner.scheduler_state import SchedulerState
from magnoliapitch.planner.worker_isolation import MAX_WAIT_MS
from magnoliapitch.planner.worker_loss import LostRun
from magnoliapitch.planner.worker_loss import hold_suspects
from magnoliapitch.resource import Resources
from magnoliapitch.workload.job import JobSpec
from magnoliapitch.workload.job import StepSpec
from magnoliapitch.workload.job import TaskKey
from tests.control.simulation import queue
from tests.control.simulation import workers


SIZE = Resources(4_000, 4_000)
KEY = TaskKey("suspect", 0, 0, 0)


class Fixture:
    """A planner and workers that run one long task each."""

    def __init__(self, worker_count: int, step: StepSpec) -> None:
        self.state = SchedulerState()
        self.planner = Planner()
        self.busy_worker_ids = [info.worker_id for info in workers(9)]
        for info in workers(worker_count):
            self.state.update_worker(info).is_usable = True
            self.submit(info.worker_id, step)
            key = TaskKey(info.worker_id, 0, 0, 0)
            self.state.add_ordered_run(key, 1, info.worker_id, 0)
        self.submit("suspect", StepSpec(1, SIZE))
        task = self.state.task(KEY)
        assert task is not None
        task.worker_crashes = 2
        self.state.suspects_by_key[KEY] = task

    def submit(self, job_id: str, step: StepSpec) -> None:
        spec = JobSpec(job_id, "q", "text", (step,))
        self.state.add_job(spec, queue("q"), 0)

    def plan(self, now_ms: int) -> dict[str, str]:
        """Return the worker of each planned start, by job id."""
        plan = self.planner.plan(self.state, now_ms, now_ms)
        for planned in plan.starts:
            self.state.add_ordered_run(
                planned.task, planned.run, planned.worker_id, now_ms
            )
        return {
            planned.task.job_id: planned.worker_id for planned in plan.starts
        }

    def end_run(self, worker_id: str) -> None:
        for run in list(self.state.workers_by_id[worker_id].runs):
            self.state.remove_run(run)
            self.state.cancel_job(run.task.key.job_id)


def test_a_suspect_waits_for_a_worker_without_other_jobs() -> None:
    fixture = Fixture(3, StepSpec(1, SIZE))
    assert fixture.plan(0) == {}
    fixture.submit("urgent", StepSpec(1, SIZE))
    placed = fixture.plan(10)
    kept = set(fixture.state.workers_by_id) - set(placed.values())
    assert list(placed) == ["urgent"]
    for worker_id in sorted(kept):
        fixture.end_run(worker_id)
    assert fixture.plan(20)["suspect"] in kept


def test_other_jobs_stay_away_from_the_worker_of_a_suspect() -> None:
    fixture = Fixture(2, StepSpec(1, SIZE))
    fixture.end_run("w001")
    assert fixture.plan(0) == {"suspect": "w001"}
    fixture.submit("large", StepSpec(1, Resources(30_000, 4_000)))
    assert fixture.plan(10) == {}


def test_a_plan_counts_the_workers_that_other_jobs_are_kept_off() -> None:
    fixture = Fixture(2, StepSpec(1, SIZE))
    fixture.end_run("w001")
    assert fixture.plan(0) == {"suspect": "w001"}
    fixture.submit("large", StepSpec(1, Resources(30_000, 4_000)))
    plan = fixture.planner.plan(fixture.state, 10, 10)
    assert plan.workers_kept_apart == 1


def test_a_suspect_does_not_wait_for_workers_that_run_services() -> None:
    fixture = Fixture(2, StepSpec(1, SIZE, is_long_running=True))
    assert list(fixture.plan(0)) == ["suspect"]


def test_a_suspect_is_placed_beside_others_after_the_longest_wait() -> None:
    fixture = Fixture(2, StepSpec(1, SIZE))
    assert fixture.plan(0) == {}
    assert fixture.plan(MAX_WAIT_MS) == {}
    assert list(fixture.plan(MAX_WAIT_MS + 1)) == ["suspect"]


def test_kept_workers_are_free_again_once_the_suspect_has_ended() -> None:
    fixture = Fixture(2, StepSpec(1, SIZE))
    assert fixture.plan(0) == {}
    fixture.state.cancel_job("suspect")
    fixture.submit("large", StepSpec(2, Resources(20_000, 4_000)))
    plan = fixture.planner.plan(fixture.state, 10, 10)
    assert {planned.worker_id for planned in plan.starts} == {"w000", "w001"}


# Incident LOST, again: a suspect held the innocent tasks of its step, and an
# innocent one that was lost with it ended its hold.
@pytest.mark.parametrize("is_suspect_last", [True, False])
def test_a_suspect_is_held_alone_whatever_was_lost_with_it(
    is_suspect_last: bool,
) -> None:
    state, planner = SchedulerState(), Planner()
    for info in workers(3):
        state.update_worker(info).is_usable = True
    step = StepSpec(2, SIZE, is_long_running=True)
    state.add_job(JobSpec("suspect", "q", "text", (step,)), queue("q"), 0)
    suspect, innocent = state.jobs_by_id["suspect"].all_steps()[0].tasks
    suspect.worker_losses = 2
    state.add_suspect(suspect)
    lost = [
        LostRun(task, 1, has_begun=True, is_alone=False)
        for task in (suspect, innocent)
    ]
    hold_suspects(reversed(lost) if is_suspect_last else lost, 100)

    def start(now_ms: int) -> list[TaskKey]:
        starts = planner.plan(state, now_ms, now_ms).starts
        for planned in starts:
            state.add_ordered_run(
                planned.task, planned.run, planned.worker_id, now_ms
            )
        return [planned.task for planned in starts]

    assert start(99) == [innocent.key]
    assert start(100) == [suspect.key]


# Incident BUDGET: a service does not wait for a worker of its own once leases
# have ended, so that it would end workers of others if none were kept before.
def test_a_worker_is_kept_for_a_service_while_its_lease_ends() -> None:
    state, planner = SchedulerState(), Planner()
    for info in workers(3):
        state.update_worker(info).is_usable = True
    service = StepSpec(1, SIZE, is_long_running=True)
    state.add_job(JobSpec("suspect", "q", "text", (service,)), queue("q"), 0)
    task = state.add_ordered_run(KEY, 1, "w000", 0).task
    task.worker_losses = 1
    worker = state.workers_by_id["w000"]
    worker.is_usable, worker.silent_since_ms = False, 0
    large = StepSpec(2, Resources(20_000, 4_000))
    state.add_job(JobSpec("large", "q", "text", (large,)), queue("q"), 0)
    [planned] = planner.plan(state, 10, 10).starts
    state.add_ordered_run(planned.task, 1, planned.worker_id, 10)
    state.remove_worker("w000")
    task.worker_losses, task.down_since_ms = 2, 0
    state.add_suspect(task)
    starts = planner.plan(state, 5_000, 5_000).starts
    assert [start.task for start in starts] == [KEY]
    assert starts[0].worker_id != planned.worker_id
