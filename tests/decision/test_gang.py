from __future__ import annotations

from typing import TYPE_CHECKING

from magnoliapitch.catalogue.entry import WorkClass
from tests.decision.conftest import task


if TYPE_CHECKING:
    from magnoliapitch.decision.interface import TaskRequest
    from tests.decision.conftest import Bench


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


def test_gang_starts_as_a_whole_or_not_at_all(bench: Bench) -> None:
    bench.add_workers(2)
    bench.submit(task("small", run_ms=5_000))
    bench.decide()
    bench.submit(*gang("gang", 2))
    assert bench.started(50) == []
    bench.end("small/0/0")
    assert bench.started(50) == ["gang/0/0", "gang/1/0"]


def test_gang_waits_until_all_its_tasks_are_submitted(bench: Bench) -> None:
    bench.add_workers(2)
    first, second = gang("gang", 2)
    bench.submit(first)
    assert bench.started() == []
    bench.submit(second)
    assert len(bench.started(50)) == 2


def test_lost_member_of_a_running_gang_may_start_alone(bench: Bench) -> None:
    bench.add_workers(3)
    bench.submit(*gang("gang", 2))
    bench.decide()
    bench.scheduler.remove_worker(bench.worker_by_task["gang/0/0"])
    replacement = task(
        "gang", 0, 1, work_class=WorkClass.GANG, cores=4, gang_size=2
    )
    bench.submit(replacement)
    assert bench.started(50) == ["gang/0/1"]


def test_two_gangs_never_wait_for_each_others_halves(bench: Bench) -> None:
    bench.add_workers(3)
    bench.submit(*gang("one", 2), *gang("two", 2))
    started = []
    for _ in range(4):
        now = bench.started(20_000)
        assert len({item.split("/")[0] for item in now}) <= 1
        started += now
        for task_id in now:
            bench.end(task_id)
    assert len(started) == 4


def test_backfill_does_not_delay_a_reserved_start(bench: Bench) -> None:
    bench.add_workers(2)
    bench.submit(task("running", cores=3, run_ms=60_000))
    bench.decide()
    bench.submit(*gang("gang", 2))
    assert bench.started(50) == []
    bench.submit(task("long", run_ms=600_000), task("long", 1, run_ms=600_000))
    bench.submit(task("short", run_ms=30_000))
    assert bench.started(50) == ["short/0/0"]
    bench.end("short/0/0")
    bench.now_ms = 60_000
    bench.end("running/0/0")
    assert bench.started() == ["gang/0/0", "gang/1/0"]


def test_reserved_start_expires(bench: Bench) -> None:
    bench.add_workers(2)
    bench.submit(task("running", cores=3, run_ms=60_000))
    bench.decide()
    bench.submit(*gang("gang", 2))
    bench.submit(task("long", run_ms=600_000))
    assert bench.started(50) == []
    assert bench.started(95_000) == ["long/0/0"]
