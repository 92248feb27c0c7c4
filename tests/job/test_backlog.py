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


class Gang:
    def __init__(self) -> None:
        entry = CatalogueEntry("fee-close", "fees", WorkClass.GANG)
        self.state = ClusterState()
        self.state.catalogue_by_name[entry.name] = VersionedEntry(entry, 1, 0)
        spec = JobSpec("gang", entry.name, TASKS, SIZE)
        self.job = JobRecord(spec, UNIT, 0)
        self.state.jobs_by_id["gang"] = self.job
        self.backlog = Backlog()
        self.active: set[TaskKey] = set()
        self.scheduler = make_scheduler("weighted")
        self.scheduler.set_catalogue({entry.name: entry})
        self.scheduler.add_worker(WorkerShape("w", UNIT, "zone", CAPACITY))
        self.now_ms = 0
        self.backlog.add_job("gang")

    def start(self) -> list[int]:
        self.now_ms += 1_000
        taken = self.backlog.take(self.state, {UNIT}, self.active, self.now_ms)
        if taken:
            self.scheduler.submit(taken)
        started = []
        for placement in self.scheduler.decide(self.now_ms).placements:
            number = int(placement.attempt_id.split("/")[1])
            key = TaskKey("gang", number)
            assert self.backlog.pop(key) is not None
            self.active.add(key)
            started.append(number)
        return sorted(started)

    def end(self, number: int, outcome: TaskOutcome) -> None:
        key = TaskKey("gang", number)
        attempt = self.job.attempts_by_task.get(number, 0)
        attempt_id = f"gang/{number}/{attempt}"
        self.scheduler.record_task_end(attempt_id, outcome, self.now_ms)
        self.job.attempts_by_task[number] = attempt + 1
        self.job.ended_by_task[number] = outcome
        self.job.finished_tasks += outcome is TaskOutcome.FINISHED
        self.active.discard(key)
        self.backlog.retry(key, self.job, self.now_ms)


def test_backlog_hands_over_a_gang_as_a_whole() -> None:
    assert Gang().start() == [0, 1, 2, 3]


@pytest.mark.parametrize("finished", range(TASKS))
def test_backlog_lets_lost_tasks_join_a_gang_that_has_partly_finished(
    finished: int,
) -> None:
    gang = Gang()
    gang.start()
    for number in range(TASKS):
        outcome = TaskOutcome.LOST
        if number < finished:
            outcome = TaskOutcome.FINISHED
        gang.end(number, outcome)
    assert gang.start() == list(range(finished, TASKS))


def test_backlog_lets_lost_tasks_join_when_the_rest_finishes_meanwhile() -> (
    None
):
    gang = Gang()
    gang.start()
    gang.scheduler.set_withheld("w", CAPACITY)
    gang.end(0, TaskOutcome.LOST)
    gang.end(1, TaskOutcome.LOST)
    assert gang.start() == []
    gang.end(2, TaskOutcome.FINISHED)
    gang.end(3, TaskOutcome.LOST)
    gang.scheduler.set_withheld("w", Resources())
    assert gang.start() == [0, 1, 3]
