from __future__ import annotations

import pytest

from magnoliapitch.catalogue.entry import CatalogueEntry
from magnoliapitch.catalogue.entry import WorkClass
from magnoliapitch.decision import WorkerShape
from magnoliapitch.decision import make_scheduler
from magnoliapitch.job.attempt import TaskKey
from magnoliapitch.job.backlog import Backlog
from magnoliapitch.job.spec import JobSpec
from magnoliapitch.job.spec import TaskOutcome
from magnoliapitch.journal.state import ClusterState
from magnoliapitch.journal.state import JobRecord
from magnoliapitch.journal.state import VersionedEntry
from magnoliapitch.resource import Resources


UNIT = "rack-1"
TASK_COUNT = 4
TASK_RESOURCES = Resources(1_000, 1_000)
CAPACITY = Resources(32_000, 128_000)


class GangScenario:
    def __init__(self) -> None:
        entry = CatalogueEntry("fee-close", "fees", WorkClass.GANG)
        self.state = ClusterState()
        self.state.catalogue_by_name[entry.name] = VersionedEntry(entry, 1, 0)
        spec = JobSpec("gang", entry.name, TASK_COUNT, TASK_RESOURCES)
        self.job = JobRecord(spec, UNIT, 0)
        self.state.jobs_by_id["gang"] = self.job
        self.backlog = Backlog()
        self.active_tasks: set[TaskKey] = set()
        self.scheduler = make_scheduler("weighted")
        self.scheduler.set_catalogue({entry.name: entry})
        self.scheduler.add_worker(WorkerShape("w", UNIT, "zone", CAPACITY))
        self.now_ms = 0
        self.backlog.add_job("gang")

    def start_tasks(self) -> list[int]:
        self.now_ms += 1_000
        requests = self.backlog.take_due_requests(
            self.state, {UNIT}, self.active_tasks, self.now_ms
        )
        if requests:
            self.scheduler.submit(requests)
        started_tasks = []
        for placement in self.scheduler.decide(self.now_ms).placements:
            number = int(placement.attempt_id.split("/")[1])
            key = TaskKey("gang", number)
            assert self.backlog.pop(key) is not None
            self.active_tasks.add(key)
            started_tasks.append(number)
        return sorted(started_tasks)

    def end_task(self, number: int, outcome: TaskOutcome) -> None:
        key = TaskKey("gang", number)
        attempt = self.job.attempts_by_task.get(number, 0)
        attempt_id = f"gang/{number}/{attempt}"
        self.scheduler.record_task_end(attempt_id, outcome, self.now_ms)
        self.job.attempts_by_task[number] = attempt + 1
        self.job.ended_by_task[number] = outcome
        self.job.finished_tasks += outcome is TaskOutcome.FINISHED
        self.active_tasks.discard(key)
        self.backlog.retry(key, self.job, self.now_ms)


def test_backlog_submits_a_gang_as_a_whole() -> None:
    assert GangScenario().start_tasks() == [0, 1, 2, 3]


@pytest.mark.parametrize("finished_count", range(TASK_COUNT))
def test_backlog_restarts_lost_tasks_of_a_partly_finished_gang(
    finished_count: int,
) -> None:
    gang = GangScenario()
    gang.start_tasks()
    for number in range(TASK_COUNT):
        outcome = TaskOutcome.LOST
        if number < finished_count:
            outcome = TaskOutcome.FINISHED
        gang.end_task(number, outcome)
    assert gang.start_tasks() == list(range(finished_count, TASK_COUNT))


def test_backlog_restarts_lost_tasks_when_others_end_before_placement() -> (
    None
):
    gang = GangScenario()
    gang.start_tasks()
    gang.scheduler.set_withheld("w", CAPACITY)
    gang.end_task(0, TaskOutcome.LOST)
    gang.end_task(1, TaskOutcome.LOST)
    assert gang.start_tasks() == []
    gang.end_task(2, TaskOutcome.FINISHED)
    gang.end_task(3, TaskOutcome.LOST)
    gang.scheduler.set_withheld("w", Resources())
    assert gang.start_tasks() == [0, 1, 3]


def retry_delay_ms(lost_count: int) -> int:
    """Return when a task of a lost gang is due again, in milliseconds."""
    gang = GangScenario()
    gang.start_tasks()
    for number in range(TASK_COUNT):
        gang.job.attempts_by_task[number] = lost_count - 1
        gang.end_task(number, TaskOutcome.LOST)
    for delay_ms in range(0, 8_000, 100):
        if gang.backlog.take_due_requests(
            gang.state, {UNIT}, gang.active_tasks, gang.now_ms + delay_ms
        ):
            return delay_ms
    raise AssertionError("the task was not due within 8 s")


# Incident BUDGET: a task that ends each worker that starts it must not take
# one worker after the other at the rate at which it can be placed.
def test_backlog_delays_a_task_that_is_lost_again_and_again() -> None:
    delays_ms = [retry_delay_ms(lost_count) for lost_count in range(1, 7)]
    assert delays_ms == [0, 0, 500, 1_000, 2_000, 4_000]
