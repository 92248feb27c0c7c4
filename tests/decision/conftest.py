from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from magnoliapitch.catalogue.entry import CatalogueEntry
from magnoliapitch.catalogue.entry import Limits
from magnoliapitch.catalogue.entry import WorkClass
from magnoliapitch.decision.interface import TaskRequest
from magnoliapitch.decision.interface import WorkerShape
from magnoliapitch.decision.weighted import WeightedScheduler
from magnoliapitch.job.spec import TaskOutcome
from magnoliapitch.policy.options import PolicyOptions
from magnoliapitch.policy.options import PolicyWeights
from magnoliapitch.resource import Resources


if TYPE_CHECKING:
    from magnoliapitch.decision.interface import Decision


ONE_CORE = Resources(1_000, 1_000)
NO_PREFERENCE = PolicyWeights(urgent_headroom=0.0, short_first=0.5)


def task(
    job_id: str = "job",
    number: int = 0,
    attempt: int = 0,
    *,
    work_class: WorkClass = WorkClass.BATCH,
    cores: int = 1,
    run_ms: int = 10_000,
    owner: str = "clubs",
    entry: str = "",
    deadline_ms: int = 0,
    gang_size: int = 1,
    submitted_ms: int = 0,
    accelerators: int = 0,
) -> TaskRequest:
    return TaskRequest(
        f"{job_id}/{number}/{attempt}",
        job_id,
        entry or f"{owner}-{work_class}",
        owner,
        work_class,
        ONE_CORE.times(cores)._replace(accelerators=accelerators),
        run_ms,
        submitted_ms,
        deadline_ms,
        gang_size,
    )


class SchedulerHarness:
    """A scheduler with simulated workers and a clock that tests advance.

    :ivar now_ms: current time.
    :ivar worker_by_attempt: worker of each running task, by attempt id.
    """

    def __init__(self, weights: PolicyWeights = NO_PREFERENCE) -> None:
        self.scheduler = WeightedScheduler(PolicyOptions(weights))
        self.now_ms = 0
        self.worker_by_attempt: dict[str, str] = {}

    def add_workers(
        self, count: int, cores: int = 4, accelerators: int = 0
    ) -> None:
        first_number = len(self.scheduler._allocations.workers.by_id)
        for number in range(first_number, first_number + count):
            capacity = ONE_CORE.times(cores)._replace(
                accelerators=accelerators
            )
            shape = WorkerShape(
                f"w{number}", f"rack{number % 2}", "zone", capacity
            )
            self.scheduler.add_worker(shape)

    def set_entry(
        self, name: str, owner: str, limits: Limits | None = None
    ) -> None:
        entry = CatalogueEntry(
            name, owner, WorkClass.BATCH, limits=limits or Limits()
        )
        self._entries = {**getattr(self, "_entries", {}), name: entry}
        self.scheduler.set_catalogue(self._entries)

    def submit(self, *tasks: TaskRequest) -> None:
        self.scheduler.submit(tasks)

    def decide(self, after_ms: int = 0) -> Decision:
        self.now_ms += after_ms
        decision = self.scheduler.decide(self.now_ms)
        for placement in decision.placements:
            self.worker_by_attempt[placement.attempt_id] = placement.worker_id
        return decision

    def start_tasks(self, after_ms: int = 0) -> list[str]:
        return [item.attempt_id for item in self.decide(after_ms).placements]

    def end(
        self, attempt_id: str, outcome: TaskOutcome = TaskOutcome.FINISHED
    ) -> None:
        del self.worker_by_attempt[attempt_id]
        self.scheduler.record_task_end(attempt_id, outcome, self.now_ms)


@pytest.fixture
def harness() -> SchedulerHarness:
    return SchedulerHarness()
