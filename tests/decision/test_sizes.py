from __future__ import annotations

from typing import TYPE_CHECKING

from magnoliapitch.catalogue.entry import WorkClass
from magnoliapitch.decision.interface import EvictionAction
from magnoliapitch.job.spec import TaskOutcome
from magnoliapitch.resource import Resources
from tests.decision.conftest import task


if TYPE_CHECKING:
    from tests.decision.conftest import SchedulerHarness


def run_task(
    harness: SchedulerHarness, number: int, usage: Resources
) -> Resources:
    harness.submit(task(f"job{number}"))
    placement = harness.decide(1_000).placements[0]
    for _ in range(2):
        harness.scheduler.report_usage(
            placement.attempt_id, usage, harness.now_ms
        )
    harness.now_ms += 5_000
    harness.end(placement.attempt_id)
    return placement.reserved


def test_declared_sizes_are_corrected_by_reported_usage(
    harness: SchedulerHarness,
) -> None:
    harness.add_workers(1)
    reserved = [run_task(harness, n, Resources(500, 1_000)) for n in range(20)]
    assert reserved[0] == Resources(1_000, 1_000)
    assert 490 <= reserved[-1].cpu_millis <= 520
    assert 990 <= reserved[-1].memory_mb <= 1_020


def test_corrected_sizes_never_exceed_the_largest_worker(
    harness: SchedulerHarness,
) -> None:
    harness.add_workers(1)
    for number in range(12):
        run_task(harness, number, Resources(3_900, 3_900))
    harness.submit(task("large", cores=3))
    assert harness.decide(1_000).placements[0].reserved == Resources(
        4_000, 4_000
    )


def test_measured_run_times_decide_which_deadline_is_feasible(
    harness: SchedulerHarness,
) -> None:
    harness.add_workers(1)
    for number in range(12):
        run_task(harness, number, Resources(1_000, 1_000))
    shapes = tuple(
        worker.shape
        for worker in harness.scheduler._allocations.workers.by_id.values()
    )
    late = task("late", deadline_ms=4_000)
    assert "shortest run known" in harness.scheduler.infeasibility_reason(
        late, shapes
    )
    possible = task("possible", deadline_ms=6_000)
    assert harness.scheduler.infeasibility_reason(possible, shapes) == ""


def test_memory_growth_uses_free_memory_then_evicts_the_task(
    harness: SchedulerHarness,
) -> None:
    harness.add_workers(1)
    harness.submit(task("web", work_class=WorkClass.SERVICE, cores=2))
    harness.submit(task("bulk"))
    harness.decide()
    grown = Resources(1_000, 2_000)
    harness.scheduler.report_usage("bulk/0/0", grown, harness.now_ms)
    assert harness.scheduler.free_capacity().memory_mb == 0
    harness.scheduler.report_usage("bulk/0/0", Resources(1_000, 2_500), 100)
    eviction = harness.decide(1_000).evictions[0]
    assert eviction[::2] == ("bulk/0/0", EvictionAction.CHECKPOINT)
    harness.end("bulk/0/0", TaskOutcome.LOST)
    harness.submit(task("bulk", 0, 1))
    harness.decide(1_000)
    assert harness.scheduler.queued_count() == 1
    harness.end("web/0/0")
    placement = harness.decide(1_000).placements[0]
    assert placement.reserved.memory_mb >= 2_500
    assert placement.attempt_id == "bulk/0/1"


def test_memory_growth_of_a_service_evicts_bulk_work(
    harness: SchedulerHarness,
) -> None:
    harness.add_workers(1)
    harness.submit(task("web", work_class=WorkClass.SERVICE, cores=2))
    harness.submit(task("bulk", cores=2))
    harness.decide()
    harness.scheduler.report_usage("web/0/0", Resources(1, 2_001), 100)
    assert harness.decide(50).evictions[0].attempt_id == "bulk/0/0"


def test_withheld_capacity_is_not_used(harness: SchedulerHarness) -> None:
    harness.add_workers(1)
    harness.scheduler.set_withheld("w0", Resources(3_000, 0))
    harness.submit(task("a"), task("a", 1))
    assert harness.start_tasks() == ["a/0/0"]
    harness.scheduler.set_withheld("w0", Resources())
    assert harness.start_tasks(50) == ["a/1/0"]


def test_adopted_task_uses_capacity_of_a_worker_that_is_added_later(
    harness: SchedulerHarness,
) -> None:
    harness.scheduler.adopt(task("old"), "w0", Resources(3_000, 3_000))
    harness.add_workers(1)
    harness.submit(task("new"), task("new", 1))
    assert harness.start_tasks() == ["new/0/0"]
    harness.scheduler.record_task_end("old/0/0", TaskOutcome.FINISHED, 100)
    assert harness.start_tasks(50) == ["new/1/0"]
    assert harness.scheduler.free_capacity() == Resources(2_000, 2_000)
