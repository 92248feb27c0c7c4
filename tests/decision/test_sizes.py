from __future__ import annotations

from typing import TYPE_CHECKING

from magnoliapitch.catalogue.entry import WorkClass
from magnoliapitch.decision.interface import EvictionAction
from magnoliapitch.job.spec import TaskOutcome
from magnoliapitch.resource import Resources
from tests.decision.conftest import task


if TYPE_CHECKING:
    from tests.decision.conftest import Bench


def run(bench: Bench, number: int, usage: Resources) -> Resources:
    bench.submit(task(f"job{number}"))
    placement = bench.decide(1_000).placements[0]
    for _ in range(2):
        bench.scheduler.report_usage(placement.task_id, usage, bench.now_ms)
    bench.now_ms += 5_000
    bench.end(placement.task_id)
    return placement.reserved


def test_declared_sizes_are_corrected_by_reports(bench: Bench) -> None:
    bench.add_workers(1)
    reserved = [run(bench, n, Resources(500, 1_000)) for n in range(20)]
    assert reserved[0] == Resources(1_000, 1_000)
    assert 490 <= reserved[-1].cpu_millis <= 520
    assert 990 <= reserved[-1].memory_mb <= 1_020


def test_sizes_never_grow_beyond_the_largest_worker(bench: Bench) -> None:
    bench.add_workers(1)
    for number in range(12):
        run(bench, number, Resources(3_900, 3_900))
    bench.submit(task("large", cores=3))
    assert bench.decide(1_000).placements[0].reserved == Resources(
        4_000, 4_000
    )


def test_learned_run_time_decides_which_deadline_is_possible(
    bench: Bench,
) -> None:
    bench.add_workers(1)
    for number in range(12):
        run(bench, number, Resources(1_000, 1_000))
    shapes = tuple(
        worker.shape
        for worker in bench.scheduler._books.table.workers_by_id.values()
    )
    late = task("late", deadline_ms=4_000)
    assert "shortest run known" in bench.scheduler.refusal(late, shapes)
    possible = task("possible", deadline_ms=6_000)
    assert bench.scheduler.refusal(possible, shapes) == ""


def test_growth_takes_free_memory_and_then_ends_the_grower(
    bench: Bench,
) -> None:
    bench.add_workers(1)
    bench.submit(task("web", work_class=WorkClass.SERVICE, cores=2))
    bench.submit(task("bulk"))
    bench.decide()
    grown = Resources(1_000, 2_000)
    bench.scheduler.report_usage("bulk/0/0", grown, bench.now_ms)
    assert bench.scheduler.free().memory_mb == 0
    bench.scheduler.report_usage("bulk/0/0", Resources(1_000, 2_500), 100)
    eviction = bench.decide(1_000).evictions[0]
    assert eviction[::2] == ("bulk/0/0", EvictionAction.CHECKPOINT)
    bench.end("bulk/0/0", TaskOutcome.LOST)
    bench.submit(task("bulk", 0, 1))
    bench.decide(1_000)
    assert bench.scheduler.queued() == 1
    bench.end("web/0/0")
    placement = bench.decide(1_000).placements[0]
    assert placement.reserved.memory_mb >= 2_500
    assert placement.task_id == "bulk/0/1"


def test_growth_of_a_service_ends_bulk_work_instead(bench: Bench) -> None:
    bench.add_workers(1)
    bench.submit(task("web", work_class=WorkClass.SERVICE, cores=2))
    bench.submit(task("bulk", cores=2))
    bench.decide()
    bench.scheduler.report_usage("web/0/0", Resources(1, 2_001), 100)
    assert bench.decide(50).evictions[0].task_id == "bulk/0/0"


def test_withheld_capacity_is_not_used(bench: Bench) -> None:
    bench.add_workers(1)
    bench.scheduler.set_withheld("w0", Resources(3_000, 0))
    bench.submit(task("a"), task("a", 1))
    assert bench.started() == ["a/0/0"]
    bench.scheduler.set_withheld("w0", Resources())
    assert bench.started(50) == ["a/1/0"]


def test_adopted_task_holds_capacity_also_before_its_worker_is_known(
    bench: Bench,
) -> None:
    bench.scheduler.adopt(task("old"), "w0", Resources(3_000, 3_000))
    bench.add_workers(1)
    bench.submit(task("new"), task("new", 1))
    assert bench.started() == ["new/0/0"]
    bench.scheduler.ended("old/0/0", TaskOutcome.FINISHED, 100)
    assert bench.started(50) == ["new/1/0"]
    assert bench.scheduler.free() == Resources(2_000, 2_000)
