from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from magnoliapitch.control.unproven_losses import KEEP_MS
from magnoliapitch.control.unproven_losses import UnprovenLosses
from magnoliapitch.planner.scheduler_state import SchedulerState
from magnoliapitch.planner.worker_loss import LostRun
from magnoliapitch.workload.job import JobSpec
from magnoliapitch.workload.job import StepSpec
from magnoliapitch.workload.job import TaskKey
from magnoliapitch.workload.worker import WorkerInfo
from tests.control.simulation import queue


if TYPE_CHECKING:
    from magnoliapitch.planner.tracked_task import TrackedTask


ADDRESS = "10.0.0.1:80"
FORMER = "w@1000"


class Fixture:
    def __init__(self) -> None:
        self.state = SchedulerState()
        spec = JobSpec("job", "q", "text", (StepSpec(1),))
        self.state.add_job(spec, queue("q"), 0)
        task = self.state.task(TaskKey("job", 0, 0, 0))
        assert task is not None
        self.task: TrackedTask = task
        self.losses = UnprovenLosses(self.state)

    def lose(self, *, is_listed: bool = False) -> None:
        lost = [LostRun(self.task, 1, has_begun=True, is_alone=False)]
        worker = self.state.update_worker(
            WorkerInfo(FORMER, "app", ADDRESS, "z")
        )
        self.losses.add(worker, lost, 0, is_listed=is_listed, lost_ms=0)

    def proven(
        self, *listed: tuple[str, str], now_ms: int = 10
    ) -> dict[str, tuple[LostRun, ...]]:
        infos = {
            worker_id: WorkerInfo(worker_id, "app", address, "z")
            for worker_id, address in listed
        }
        return self.losses.take_proven(infos, now_ms)


@pytest.mark.parametrize(
    "listed", [("w@2000", "10.0.0.2:80"), ("other", ADDRESS)]
)
def test_another_incarnation_proves_that_a_worker_has_ended(
    listed: tuple[str, str],
) -> None:
    fixture = Fixture()
    fixture.lose()
    assert fixture.task.worker_losses == 1
    assert list(fixture.proven(listed)) == [FORMER]
    assert fixture.task.worker_losses == 0
    assert fixture.proven(listed) == {}


@pytest.mark.parametrize(
    "listed", [(FORMER, ADDRESS), ("w@500", ADDRESS[:-1]), ("other", "o:1")]
)
def test_an_entry_that_is_not_later_proves_nothing(
    listed: tuple[str, str],
) -> None:
    fixture = Fixture()
    fixture.lose()
    assert fixture.proven(listed) == {}
    assert fixture.task.worker_losses == 1


def test_a_worker_that_answers_again_was_not_lost() -> None:
    fixture = Fixture()
    fixture.lose()
    fixture.losses.record_answer(FORMER)
    assert fixture.task.worker_losses == 0
    assert fixture.proven(("w@2000", ADDRESS)) == {}


def test_a_worker_that_is_still_listed_counts_only_once_it_is_proven() -> None:
    fixture = Fixture()
    fixture.lose(is_listed=True)
    assert fixture.task.worker_losses == 0
    assert list(fixture.proven(("w@2000", ADDRESS))) == [FORMER]


def test_losses_are_not_kept_for_ever() -> None:
    fixture = Fixture()
    fixture.lose()
    assert fixture.proven(now_ms=KEEP_MS + 1) == {}
    assert fixture.proven(("w@2000", ADDRESS)) == {}


def test_suspects_wait_for_word_of_their_last_worker() -> None:
    fixture = Fixture()
    fixture.task.worker_crashes = 2
    fixture.lose()
    assert fixture.task.hold_until_ms > 0
    fixture.proven(("w@2000", ADDRESS))
    assert fixture.task.hold_until_ms == 0
