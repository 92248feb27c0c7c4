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
TASKS = 4
SIZE = Resources(1_000, 1_000)
CAPACITY = Resources(32_000, 128_000)


class GangScenario:
    def __init__(self) -> None:
        entry = CatalogueEntry("fee-close", "fees", WorkClass.GANG)
        self.state = ClusterState()
        self.state.catalogue_by_name[entry.name] = VersionedEntry(entry, 1, 0)
        spec = JobSpec("gang", entry.name, TASKS, SIZE)
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
            number = int(placement.task_id.split("/")[1])
            key = TaskKey("gang", number)
            assert self.backlog.pop(key) is not None
            self.active_tasks.add(key)
            started_tasks.append(number)
        return sorted(started_tasks)

    def end_task(self, number: int, outcome: TaskOutcome) -> None:
        key = TaskKey("gang", number)
        attempt = self.job.attempts_by_task.get(number, 0)
        task_id = f"gang/{number}/{attempt}"
        self.scheduler.record_task_end(task_id, outcome, self.now_ms)
        self.job.attempts_by_task[number] = attempt + 1
        self.job.ended_by_task[number] = outcome
        self.job.finished_tasks += outcome is TaskOutcome.FINISHED
        self.active_tasks.discard(key)
        self.backlog.retry(key, self.job, self.now_ms)


def test_backlog_hands_over_a_gang_as_a_whole() -> None:
    assert GangScenario().start_tasks() == [0, 1, 2, 3]


@pytest.mark.parametrize("finished", range(TASKS))
def test_backlog_lets_lost_tasks_join_a_gang_that_has_partly_finished(
    finished: int,
) -> None:
    gang = GangScenario()
    gang.start_tasks()
    for number in range(TASKS):
        outcome = TaskOutcome.LOST
        if number < finished:
            outcome = TaskOutcome.FINISHED
        gang.end_task(number, outcome)
    assert gang.start_tasks() == list(range(finished, TASKS))


def test_backlog_lets_lost_tasks_join_when_the_rest_finishes_meanwhile() -> (
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
