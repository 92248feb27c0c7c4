"""Jobs at the limits of intake, through planning and stored progress.

The progress of a job of 9,500 tasks outgrew the largest record that the store
takes, and each commit with it ended the leadership of the next leader.
"""

from __future__ import annotations

import random

from typing import TYPE_CHECKING

import pytest

from magnoliapitch.control.progress_records import deletion_records
from magnoliapitch.control.progress_records import take_changed_records
from magnoliapitch.ledger.job_table import JobTable
from magnoliapitch.ledger.records import decode_job
from magnoliapitch.ledger.records import encode_job
from magnoliapitch.ledger.records import encode_progress
from magnoliapitch.ledger.records import progress_key
from magnoliapitch.ledger.state_table import JobState
from magnoliapitch.ledger.stream import MAX_RECORD_BYTES
from magnoliapitch.planner import Planner
from magnoliapitch.planner import SchedulerState
from magnoliapitch.planner.options import PlanningOptions
from magnoliapitch.resource import Resources
from magnoliapitch.workload.job import JobSpec
from magnoliapitch.workload.job import StepSpec
from magnoliapitch.workload.job_check import MAX_TASKS_PER_JOB
from magnoliapitch.workload.job_check import check_job
from magnoliapitch.workload.job_limits import MAX_DEPENDENCIES_PER_JOB
from magnoliapitch.workload.job_limits import MAX_STEPS_PER_JOB
from magnoliapitch.workload.job_limits import MAX_TASKS_PER_GANG
from magnoliapitch.workload.job_limits import find_limit_failure
from magnoliapitch.workload.progress import MAX_CHECKPOINT_BYTES
from magnoliapitch.workload.progress import TASKS_PER_PROGRESS_RECORD
from magnoliapitch.workload.run import EndedRun
from magnoliapitch.workload.run import EndKind
from tests.control.simulation import Simulation
from tests.control.simulation import queue
from tests.control.simulation import workers


if TYPE_CHECKING:
    from magnoliapitch.ledger.leader_appender import Batch
    from magnoliapitch.planner.tracked_job import TrackedJob
    from magnoliapitch.workload.progress import JobProgress

QUEUE = queue("q")
SMALL = Resources(10, 10)


class Store:
    """Keeps the records of one job's progress."""

    def __init__(self) -> None:
        self.values: dict[str, bytes] = {}

    def store(self, job: TrackedJob) -> list[str]:
        """Store what has changed; return the keys that were written."""
        records = take_changed_records(job)
        for record in records:
            assert record.size_bytes <= MAX_RECORD_BYTES
            self.values[record.key] = record.value
        return [record.key for record in records]

    def progress(self, spec: JobSpec) -> JobProgress | None:
        """Return what a next leader reads."""
        table = JobTable()
        values = {"j." + spec.job_id: encode_job(spec), **self.values}
        table.apply(values, values)
        stored = table.get(spec.job_id)
        assert stored is not None
        return stored.progress


def _largest_rows(state: SchedulerState, job: TrackedJob) -> None:
    """Give every task two runs on workers with long ids."""
    for step in job.all_steps():
        for task in step.tasks:
            task.save_checkpoint("c" * MAX_CHECKPOINT_BYTES)
            for number in (98, 99):
                worker_id = f"worker-{number}-{task.key.position:050}"
                state.add_ordered_run(task.key, number, worker_id, 0)


def test_the_progress_of_the_largest_job_fits_the_store() -> None:
    spec = JobSpec("a" * 64, "q", "", (StepSpec(MAX_TASKS_PER_JOB),))
    state, store = SchedulerState(), Store()
    job = state.add_job(spec, QUEUE, 0)
    _largest_rows(state, job)
    assert len(store.store(job)) == job.part_count
    assert store.progress(spec) == state.progress(spec.job_id)
    # What has not changed is not written again.
    task = job.steps[0][0].tasks[-1]
    task.finish()
    last = progress_key(spec.job_id, job.part_count - 1)
    assert store.store(job) == [last, "p." + spec.job_id]
    assert store.progress(spec) == state.progress(spec.job_id)
    deleted = [record.key for record in deletion_records(job)]
    assert sorted(deleted) == sorted(store.values)
    assert deleted[-1] == "p." + spec.job_id


def test_progress_that_a_former_release_stored_as_one_record_is_divided() -> (
    None
):
    spec = JobSpec("a", "q", "", (StepSpec(3 * TASKS_PER_PROGRESS_RECORD),))
    former = SchedulerState()
    for task in former.add_job(spec, QUEUE, 0).steps[0][0].tasks:
        former.add_ordered_run(task.key, 1, "w", 0)
    store = Store()
    store.values["p.a"] = encode_progress(former.progress("a"))
    state = SchedulerState()
    job = state.add_job(spec, QUEUE, 0, store.progress(spec))
    job.steps[0][0].tasks[700].finish()
    assert store.store(job) == ["p.a.1", "p.a.2", "p.a"]
    assert store.progress(spec) == state.progress("a")


def test_a_job_of_many_tasks_goes_on_under_the_next_leader() -> None:
    """Records that have not changed are not stored, so none may be missed."""
    simulation = Simulation([QUEUE._replace(attempts=9)], workers(3))
    task_count = 2 * TASKS_PER_PROGRESS_RECORD + 100
    spec = JobSpec("a", "q", "", (StepSpec(task_count, SMALL),))
    randomness = random.Random(1)
    simulation.run_fails = lambda *_: randomness.random() < 0.05
    store = Store()

    def check(batch: Batch) -> None:
        values = {record.key: record.value for record in batch.progress}
        store.values.update(values)
        if values.get("p.a"):
            stored = store.progress(spec)
            assert stored == simulation.controller.state.progress("a")

    simulation.on_commit = check
    simulation.submit(spec)
    simulation.run(1_500)
    simulation.restart_worker(simulation.workers["w001"])
    simulation.run(1_000)
    simulation.take_over()
    simulation.run_until(lambda: "a" in simulation.finished)
    assert simulation.finished["a"].outcome is JobState.COMPLETED
    assert not simulation.violations
    simulation.run(1_000)
    assert not simulation.stored_progress_keys


def test_a_gang_of_which_one_member_is_stored_as_done_is_done() -> None:
    """Its members may lie in two records, one of which was not stored."""
    spec = JobSpec("a", "q", "", (StepSpec(600, is_gang=True),))
    state, store = SchedulerState(), Store()
    job = state.add_job(spec, QUEUE, 0)
    for task in job.steps[0][0].tasks:
        state.add_ordered_run(task.key, 1, "w", 0)
    store.store(job)
    first = job.steps[0][0].tasks[0].key
    state.record_end("w", EndedRun(1, first, 1, EndKind.DONE), 1)
    former = store.values["p.a.1"]
    store.store(job)
    store.values["p.a.1"] = former
    restored = SchedulerState()
    job = restored.add_job(spec, QUEUE, 0, store.progress(spec))
    assert job.steps[0][0].is_done
    assert not restored.waiting_steps


# The refused record was stored again and again, and ended each leadership.
def test_only_the_job_of_a_refused_record_fails() -> None:
    simulation = Simulation([QUEUE], workers(2))
    simulation.refuses_record = lambda record: record.key == "p.a"
    for name in "abc":
        simulation.submit(JobSpec(name, "q", "", (StepSpec(3, SMALL),)))
    simulation.run(4_000)
    states = {
        name: finished.outcome
        for name, finished in simulation.finished.items()
    }
    assert states == {
        "a": JobState.FAILED,
        "b": JobState.COMPLETED,
        "c": JobState.COMPLETED,
    }
    assert not simulation.controller.is_over
    assert {key.job_id for key in simulation.starts} == {"b", "c"}


def _random_steps(randomness: random.Random) -> tuple[StepSpec, ...]:
    """Return steps that reach at least one of the limits."""
    step_count = randomness.choice((1, 5, 60, 190, 1_500))
    most_tasks = MAX_TASKS_PER_JOB // step_count
    left = MAX_DEPENDENCIES_PER_JOB
    steps: list[StepSpec] = []
    for number in range(step_count):
        count = min(number, left, randomness.choice((0, 1, 8, number)))
        left -= count
        is_gang = randomness.random() < 0.2
        steps.append(
            StepSpec(
                min(most_tasks, MAX_TASKS_PER_GANG) if is_gang else most_tasks,
                SMALL,
                estimate_ms=randomness.randrange(2_000),
                depends_on=tuple(randomness.sample(range(number), count)),
                is_gang=is_gang,
                is_speculative=not is_gang and randomness.random() < 0.3,
            )
        )
    return tuple(steps)


@pytest.mark.parametrize("seed", range(8))
def test_random_jobs_at_the_limits_are_planned_and_stored(seed: int) -> None:
    randomness = random.Random(seed)
    steps = _random_steps(randomness)
    largest = MAX_STEPS_PER_JOB // len(steps)
    tasks = sum(step.task_count for step in steps)
    links = 1 + sum(len(step.depends_on) for step in steps)
    count = min(
        largest, MAX_TASKS_PER_JOB // tasks, MAX_DEPENDENCIES_PER_JOB // links
    )
    spec = JobSpec("a", "q", "", steps, count, interval_ms=1)
    assert find_limit_failure(spec) is None
    assert decode_job(encode_job(check_job(spec))) == spec
    state, store = SchedulerState(), Store()
    job = state.add_job(spec, QUEUE._replace(attempts=3), 0)
    state.open_due_steps(0, 10_000)
    for info in workers(3):
        state.update_worker(info).is_usable = True
    planner = Planner(PlanningOptions(worker_speeds=True, preemption=True))
    waiting = list(state.waiting_steps.values())
    plan = planner.plan(state, 0, 10_000, max_starts=1_000)
    assert plan.starts or all(step.spec.is_gang for step in waiting)
    for now_ms in range(200):
        for stopped in list(state.runs_to_stop.values()):
            state.remove_run(stopped)
        waiting = list(state.waiting_steps.values())
        if not waiting:
            break
        step = randomness.choice(waiting)
        numbers = range(len(step.tasks))
        for position in randomness.sample(numbers, min(9, len(numbers))):
            task = step.tasks[position]
            worker_id = f"w{randomness.randrange(3)}"
            run = state.add_ordered_run(
                task.key, task.runs + 1, worker_id, now_ms
            )
            kind = randomness.choice(list(EndKind))
            if randomness.random() < 0.8:
                end = EndedRun(1, task.key, run.number, kind)
                state.record_end(worker_id, end, now_ms)
        store.store(job)
        if now_ms % 40 == 0:
            stored = store.progress(spec)
            assert stored == state.progress("a")
            restored = SchedulerState()
            restored.add_job(spec, job.queue, 0, stored)
            assert restored.progress("a") == stored
