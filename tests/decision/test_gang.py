from __future__ import annotations

from typing import TYPE_CHECKING

from magnoliapitch.catalogue.entry import WorkClass
from tests.decision.conftest import task


if TYPE_CHECKING:
    from magnoliapitch.decision.interface import TaskRequest
    from tests.decision.conftest import SchedulerHarness


def gang(job_id: str, size: int, cores: int = 4) -> tuple[TaskRequest, ...]:
    return tuple(
        task(
            job_id,
            number,
            work_class=WorkClass.GANG,
            cores=cores,
            gang_size=size,
        )
        for number in range(size)
    )


def test_gang_starts_as_a_whole_or_not_at_all(
    harness: SchedulerHarness,
) -> None:
    harness.add_workers(2)
    harness.submit(task("small", run_ms=5_000))
    harness.decide()
    harness.submit(*gang("gang", 2))
    assert harness.start_tasks(50) == []
    harness.end("small/0/0")
    assert harness.start_tasks(50) == ["gang/0/0", "gang/1/0"]


def test_gang_waits_until_all_its_tasks_are_submitted(
    harness: SchedulerHarness,
) -> None:
    harness.add_workers(2)
    first, second = gang("gang", 2)
    harness.submit(first)
    assert harness.start_tasks() == []
    harness.submit(second)
    assert len(harness.start_tasks(50)) == 2


def test_lost_member_of_a_running_gang_may_start_alone(
    harness: SchedulerHarness,
) -> None:
    harness.add_workers(3)
    harness.submit(*gang("gang", 2))
    harness.decide()
    harness.scheduler.remove_worker(harness.worker_by_attempt["gang/0/0"])
    replacement = task(
        "gang", 0, 1, work_class=WorkClass.GANG, cores=4, gang_size=2
    )
    harness.submit(replacement)
    assert harness.start_tasks(50) == ["gang/0/1"]


def test_two_gangs_never_deadlock_on_parts_of_their_capacity(
    harness: SchedulerHarness,
) -> None:
    harness.add_workers(3)
    harness.submit(*gang("one", 2), *gang("two", 2))
    started = []
    for _ in range(4):
        now = harness.start_tasks(20_000)
        assert len({item.split("/")[0] for item in now}) <= 1
        started += now
        for attempt_id in now:
            harness.end(attempt_id)
    assert len(started) == 4


def test_backfill_does_not_delay_a_reserved_start(
    harness: SchedulerHarness,
) -> None:
    harness.add_workers(2)
    harness.submit(task("running", cores=3, run_ms=60_000))
    harness.decide()
    harness.submit(*gang("gang", 2))
    assert harness.start_tasks(50) == []
    harness.submit(
        task("long", run_ms=600_000), task("long", 1, run_ms=600_000)
    )
    harness.submit(task("short", run_ms=30_000))
    assert harness.start_tasks(50) == ["short/0/0"]
    harness.end("short/0/0")
    harness.now_ms = 60_000
    harness.end("running/0/0")
    assert harness.start_tasks() == ["gang/0/0", "gang/1/0"]


def test_reserved_start_expires(harness: SchedulerHarness) -> None:
    harness.add_workers(2)
    harness.submit(task("running", cores=3, run_ms=60_000))
    harness.decide()
    harness.submit(*gang("gang", 2))
    harness.submit(task("long", run_ms=600_000))
    assert harness.start_tasks(50) == []
    assert harness.start_tasks(95_000) == ["long/0/0"]
