from __future__ import annotations

from magnoliapitch.catalogue.entry import Limits
from magnoliapitch.catalogue.entry import WorkClass
from magnoliapitch.decision.interface import EvictionAction
from magnoliapitch.job.spec import TaskOutcome
from magnoliapitch.policy.options import PolicyWeights
from magnoliapitch.resource import Resources
from tests.decision.conftest import Bench
from tests.decision.conftest import task


def test_urgent_work_starts_before_bulk_that_came_first(bench: Bench) -> None:
    bench.add_workers(1, cores=2)
    bench.submit(*(task("bulk", number) for number in range(4)))
    bench.submit(task("tap", work_class=WorkClass.URGENT, owner="field"))
    assert bench.started() == ["tap/0/0", "bulk/0/0"]


def test_urgent_work_takes_back_processors_by_throttling(
    bench: Bench,
) -> None:
    bench.add_workers(1)
    bench.submit(task("bulk", cores=4)._replace(resources=Resources(4_000, 1)))
    assert bench.started() == ["bulk/0/0"]
    bench.submit(task("tap", work_class=WorkClass.URGENT))
    eviction = bench.decide(50).evictions[0]
    assert eviction.action is EvictionAction.THROTTLE
    assert bench.started(50) == []
    reserved = Resources(eviction.cpu_millis, 1)
    bench.scheduler.resized("bulk/0/0", reserved)
    assert bench.started(50) == ["tap/0/0"]
    bench.end("tap/0/0")
    lifted = bench.decide(11_000).evictions[0]
    assert lifted.cpu_millis == 4_000


def test_urgent_work_takes_back_memory_by_a_checkpoint(bench: Bench) -> None:
    bench.add_workers(1)
    bench.submit(task("bulk", cores=4))
    bench.decide()
    bench.submit(task("tap", work_class=WorkClass.URGENT))
    eviction = bench.decide(50).evictions[0]
    assert eviction.action is EvictionAction.CHECKPOINT
    assert bench.decide(50).evictions == ()
    stopped = bench.decide(31_000).evictions
    assert EvictionAction.STOP in {item.action for item in stopped}
    bench.end("bulk/0/0", TaskOutcome.LOST)
    bench.submit(task("bulk", 0, 1, cores=4))
    assert bench.started(50) == ["tap/0/0"]


def test_throttle_without_effect_is_followed_by_a_checkpoint(
    bench: Bench,
) -> None:
    bench.add_workers(1)
    bench.submit(task("bulk", cores=4)._replace(resources=Resources(4_000, 1)))
    bench.decide()
    bench.submit(task("tap", work_class=WorkClass.URGENT))
    actions = [
        item.action for _ in range(100) for item in bench.decide(50).evictions
    ]
    assert actions == [EvictionAction.THROTTLE, EvictionAction.CHECKPOINT]


def test_task_bound_to_a_rack_runs_only_there(bench: Bench) -> None:
    bench.add_workers(4)
    bench.submit(
        *(task("j", n, cores=4)._replace(unit="rack1") for n in range(3))
    )
    bench.decide()
    assert set(bench.worker_by_task.values()) == {"w1", "w3"}


def test_services_spread_over_racks(bench: Bench) -> None:
    bench.add_workers(4)
    bench.submit(
        *(task("web", n, work_class=WorkClass.SERVICE) for n in range(4))
    )
    bench.decide()
    racks = [int(item[1:]) % 2 for item in bench.worker_by_task.values()]
    assert sorted(racks) == [0, 0, 1, 1]


def test_deadlines_start_by_latest_start(bench: Bench) -> None:
    bench.add_workers(1, cores=1)
    bench.submit(task("loose", deadline_ms=90_000))
    bench.submit(task("long", run_ms=60_000, deadline_ms=80_000))
    bench.submit(task("none"))
    order = []
    for _ in range(3):
        order += bench.started(1_000)
        bench.end(order[-1])
    assert order == ["long/0/0", "loose/0/0", "none/0/0"]


def test_deadline_that_cannot_be_met_gives_way(bench: Bench) -> None:
    bench.add_workers(1, cores=1)
    bench.submit(task("lost", run_ms=60_000, deadline_ms=10_000))
    bench.submit(task("loose", deadline_ms=90_000))
    assert bench.started(1_000) == ["loose/0/0"]


def test_pressing_deadline_takes_back_capacity(bench: Bench) -> None:
    bench.add_workers(1)
    bench.submit(task("bulk", cores=4))
    bench.decide()
    bench.submit(task("due", deadline_ms=200_000))
    assert bench.decide(50).evictions == ()
    assert bench.decide(165_000).evictions != ()


def test_owners_share_by_weight(bench: Bench) -> None:
    bench.add_workers(3)
    bench.set_entry("a", "first", Limits(share=2))
    bench.set_entry("b", "second", Limits(share=1))
    bench.submit(*(task("j1", n, owner="first", entry="a") for n in range(9)))
    bench.submit(*(task("j2", n, owner="second", entry="b") for n in range(9)))
    started = bench.started()
    assert sum(item.startswith("j1") for item in started) == 8
    assert sum(item.startswith("j2") for item in started) == 4


def test_idle_quota_is_borrowed_and_taken_back(bench: Bench) -> None:
    bench.add_workers(1)
    bench.set_entry("a", "first", Limits(memory_mb=2_000))
    bench.set_entry("b", "second", Limits(memory_mb=2_000))
    bench.submit(*(task("j1", n, owner="first", entry="a") for n in range(5)))
    assert len(bench.started()) == 4
    bench.submit(task("j2", owner="second", entry="b"))
    evictions = bench.decide(50).evictions
    assert [item.action for item in evictions] == [EvictionAction.CHECKPOINT]
    bench.end(evictions[0].task_id, TaskOutcome.LOST)
    assert bench.started(50) == ["j2/0/0"]


def test_profiles_order_bulk_by_size() -> None:
    order = {}
    for short_first in (0.0, 1.0):
        weights = PolicyWeights(urgent_headroom=0.0, short_first=short_first)
        bench = Bench(weights)
        bench.add_workers(1, cores=1)
        bench.submit(task("long", run_ms=600_000))
        bench.submit(task("short", run_ms=1_000))
        order[short_first] = bench.started()
    assert order == {0.0: ["long/0/0"], 1.0: ["short/0/0"]}


def test_accelerators_are_kept_for_those_who_need_them(bench: Bench) -> None:
    bench.add_workers(1, accelerators=2)
    bench.add_workers(1)
    bench.submit(*(task("bulk", number) for number in range(4)))
    bench.decide()
    assert set(bench.worker_by_task.values()) == {"w1"}
    bench.submit(task("photos", accelerators=2))
    assert bench.started(50) == ["photos/0/0"]


def test_small_tasks_leave_large_workers_whole(bench: Bench) -> None:
    bench.add_workers(1, cores=16)
    bench.add_workers(1, cores=4)
    bench.submit(*(task("small", number) for number in range(4)))
    bench.submit(task("large", cores=16))
    assert len(bench.started()) == 5
    assert bench.worker_by_task["large/0/0"] == "w0"


def test_cancelling_frees_the_queue_and_names_what_runs(bench: Bench) -> None:
    bench.add_workers(1)
    bench.submit(*(task("wave", number) for number in range(100)))
    bench.submit(task("other"))
    bench.decide()
    running = bench.scheduler.cancel("wave")
    assert (len(running), bench.scheduler.queued()) == (4, 1)
    for task_id in running:
        bench.end(task_id, TaskOutcome.CANCELLED)
    assert bench.started(50) == ["other/0/0"]
    assert bench.scheduler.cancel("wave") == ()


def test_explanation_names_limit_place_and_estimate(bench: Bench) -> None:
    bench.add_workers(1, cores=1)
    bench.submit(task("first", number=0), task("first", number=1))
    bench.submit(task("second", submitted_ms=1))
    bench.decide()
    first = bench.scheduler.explain("first", bench.now_ms)
    assert first is not None
    assert (first.limit, first.position) == ("free capacity", 0)
    second = bench.scheduler.explain("second", bench.now_ms)
    assert second is not None
    assert (second.limit, second.position) == ("its turn", 1)
    assert second.estimate_ms > first.estimate_ms > 0
    assert bench.scheduler.explain("absent", bench.now_ms) is None


def test_calls_end_when_nothing_more_can_start(bench: Bench) -> None:
    bench.add_workers(2)
    for number in range(300):
        size = Resources(100 + 37 * number % 3_900, 10 + 91 * number % 3_900)
        job = task(f"j{number}", owner=f"o{number % 40}", run_ms=number + 1)
        bench.submit(job._replace(resources=size))
    calls = 0
    while bench.decide().has_more:
        calls += 1
    assert calls < 100
    assert bench.decide().placements == ()
