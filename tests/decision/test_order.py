from __future__ import annotations

from magnoliapitch.catalogue.entry import Limits
from magnoliapitch.catalogue.entry import WorkClass
from magnoliapitch.decision.interface import EvictionAction
from magnoliapitch.job.spec import TaskOutcome
from magnoliapitch.policy.options import PolicyWeights
from magnoliapitch.resource import Resources
from tests.decision.conftest import SchedulerHarness
from tests.decision.conftest import task


def test_urgent_work_starts_before_earlier_bulk_work(
    harness: SchedulerHarness,
) -> None:
    harness.add_workers(1, cores=2)
    harness.submit(*(task("bulk", number) for number in range(4)))
    harness.submit(task("urgent", work_class=WorkClass.URGENT, owner="field"))
    assert harness.start_tasks() == ["urgent/0/0", "bulk/0/0"]


def test_urgent_work_takes_back_processors_by_throttling(
    harness: SchedulerHarness,
) -> None:
    harness.add_workers(1)
    harness.submit(
        task("bulk", cores=4)._replace(resources=Resources(4_000, 1))
    )
    assert harness.start_tasks() == ["bulk/0/0"]
    harness.submit(task("urgent", work_class=WorkClass.URGENT))
    eviction = harness.decide(50).evictions[0]
    assert eviction.action is EvictionAction.THROTTLE
    assert harness.start_tasks(50) == []
    reserved = Resources(eviction.cpu_millis, 1)
    harness.scheduler.record_resize("bulk/0/0", reserved)
    assert harness.start_tasks(50) == ["urgent/0/0"]
    harness.end("urgent/0/0")
    lifted = harness.decide(11_000).evictions[0]
    assert lifted.cpu_millis == 4_000


def test_urgent_work_takes_back_memory_by_a_checkpoint(
    harness: SchedulerHarness,
) -> None:
    harness.add_workers(1)
    harness.submit(task("bulk", cores=4))
    harness.decide()
    harness.submit(task("urgent", work_class=WorkClass.URGENT))
    eviction = harness.decide(50).evictions[0]
    assert eviction.action is EvictionAction.CHECKPOINT
    assert harness.decide(50).evictions == ()
    stopped = harness.decide(31_000).evictions
    assert EvictionAction.STOP in {item.action for item in stopped}
    harness.end("bulk/0/0", TaskOutcome.LOST)
    harness.submit(task("bulk", 0, 1, cores=4))
    assert harness.start_tasks(50) == ["urgent/0/0"]


def test_unconfirmed_throttle_is_followed_by_a_checkpoint(
    harness: SchedulerHarness,
) -> None:
    harness.add_workers(1)
    harness.submit(
        task("bulk", cores=4)._replace(resources=Resources(4_000, 1))
    )
    harness.decide()
    harness.submit(task("urgent", work_class=WorkClass.URGENT))
    actions = [
        item.action
        for _ in range(100)
        for item in harness.decide(50).evictions
    ]
    assert actions == [EvictionAction.THROTTLE, EvictionAction.CHECKPOINT]


def test_task_restricted_to_a_rack_runs_only_there(
    harness: SchedulerHarness,
) -> None:
    harness.add_workers(4)
    harness.submit(
        *(task("j", n, cores=4)._replace(unit="rack1") for n in range(3))
    )
    harness.decide()
    assert set(harness.worker_by_attempt.values()) == {"w1", "w3"}


def test_services_spread_over_racks(harness: SchedulerHarness) -> None:
    harness.add_workers(4)
    harness.submit(
        *(task("web", n, work_class=WorkClass.SERVICE) for n in range(4))
    )
    harness.decide()
    racks = [int(item[1:]) % 2 for item in harness.worker_by_attempt.values()]
    assert sorted(racks) == [0, 0, 1, 1]


def test_deadlines_start_by_latest_start(harness: SchedulerHarness) -> None:
    harness.add_workers(1, cores=1)
    harness.submit(task("loose", deadline_ms=90_000))
    harness.submit(task("long", run_ms=60_000, deadline_ms=80_000))
    harness.submit(task("none"))
    order = []
    for _ in range(3):
        order += harness.start_tasks(1_000)
        harness.end(order[-1])
    assert order == ["long/0/0", "loose/0/0", "none/0/0"]


def test_task_that_cannot_meet_its_deadline_starts_last(
    harness: SchedulerHarness,
) -> None:
    harness.add_workers(1, cores=1)
    harness.submit(task("lost", run_ms=60_000, deadline_ms=10_000))
    harness.submit(task("loose", deadline_ms=90_000))
    assert harness.start_tasks(1_000) == ["loose/0/0"]


def test_near_deadline_evicts_batch_work(harness: SchedulerHarness) -> None:
    harness.add_workers(1)
    harness.submit(task("bulk", cores=4))
    harness.decide()
    harness.submit(task("due", deadline_ms=200_000))
    assert harness.decide(50).evictions == ()
    assert harness.decide(165_000).evictions != ()


def test_owners_share_by_weight(harness: SchedulerHarness) -> None:
    harness.add_workers(3)
    harness.set_entry("a", "first", Limits(share=2))
    harness.set_entry("b", "second", Limits(share=1))
    harness.submit(
        *(task("j1", n, owner="first", entry="a") for n in range(9))
    )
    harness.submit(
        *(task("j2", n, owner="second", entry="b") for n in range(9))
    )
    started = harness.start_tasks()
    assert sum(item.startswith("j1") for item in started) == 8
    assert sum(item.startswith("j2") for item in started) == 4


def test_idle_quota_is_borrowed_and_reclaimed(
    harness: SchedulerHarness,
) -> None:
    harness.add_workers(1)
    harness.set_entry("a", "first", Limits(memory_mb=2_000))
    harness.set_entry("b", "second", Limits(memory_mb=2_000))
    harness.submit(
        *(task("j1", n, owner="first", entry="a") for n in range(5))
    )
    assert len(harness.start_tasks()) == 4
    harness.submit(task("j2", owner="second", entry="b"))
    evictions = harness.decide(50).evictions
    assert [item.action for item in evictions] == [EvictionAction.CHECKPOINT]
    harness.end(evictions[0].attempt_id, TaskOutcome.LOST)
    assert harness.start_tasks(50) == ["j2/0/0"]


def test_short_first_weight_orders_bulk_work_by_size() -> None:
    order = {}
    for short_first in (0.0, 1.0):
        weights = PolicyWeights(urgent_headroom=0.0, short_first=short_first)
        harness = SchedulerHarness(weights)
        harness.add_workers(1, cores=1)
        harness.submit(task("long", run_ms=600_000))
        harness.submit(task("short", run_ms=1_000))
        order[short_first] = harness.start_tasks()
    assert order == {0.0: ["long/0/0"], 1.0: ["short/0/0"]}


def test_capacity_beside_free_accelerators_is_protected(
    harness: SchedulerHarness,
) -> None:
    harness.add_workers(1, accelerators=2)
    harness.add_workers(1)
    harness.submit(*(task("bulk", number) for number in range(4)))
    harness.decide()
    assert set(harness.worker_by_attempt.values()) == {"w1"}
    harness.submit(task("photos", accelerators=2))
    assert harness.start_tasks(50) == ["photos/0/0"]


def test_small_tasks_do_not_fragment_large_workers(
    harness: SchedulerHarness,
) -> None:
    harness.add_workers(1, cores=16)
    harness.add_workers(1, cores=4)
    harness.submit(*(task("small", number) for number in range(4)))
    harness.submit(task("large", cores=16))
    assert len(harness.start_tasks()) == 5
    assert harness.worker_by_attempt["large/0/0"] == "w0"


def test_cancel_removes_queued_tasks_and_returns_running_ones(
    harness: SchedulerHarness,
) -> None:
    harness.add_workers(1)
    harness.submit(*(task("wave", number) for number in range(100)))
    harness.submit(task("other"))
    harness.decide()
    running = harness.scheduler.cancel("wave")
    assert (len(running), harness.scheduler.queued_count()) == (4, 1)
    for attempt_id in running:
        harness.end(attempt_id, TaskOutcome.CANCELLED)
    assert harness.start_tasks(50) == ["other/0/0"]
    assert harness.scheduler.cancel("wave") == ()


def test_explanation_has_limit_position_and_estimate(
    harness: SchedulerHarness,
) -> None:
    harness.add_workers(1, cores=1)
    harness.submit(task("first", number=0), task("first", number=1))
    harness.submit(task("second", submitted_ms=1))
    harness.decide()
    first = harness.scheduler.explain("first", harness.now_ms)
    assert first is not None
    assert (first.limit, first.position) == ("free capacity", 0)
    second = harness.scheduler.explain("second", harness.now_ms)
    assert second is not None
    assert (second.limit, second.position) == ("its turn", 1)
    assert second.estimate_ms > first.estimate_ms > 0
    assert harness.scheduler.explain("absent", harness.now_ms) is None


def test_has_more_ends_when_nothing_more_can_start(
    harness: SchedulerHarness,
) -> None:
    harness.add_workers(2)
    for number in range(300):
        size = Resources(100 + 37 * number % 3_900, 10 + 91 * number % 3_900)
        job = task(f"j{number}", owner=f"o{number % 40}", run_ms=number + 1)
        harness.submit(job._replace(resources=size))
    calls = 0
    while harness.decide().has_more:
        calls += 1
    assert calls < 100
    assert harness.decide().placements == ()


# Guards against a class that gets nothing while another one fits nowhere.
def test_urgent_tasks_that_fit_nowhere_do_not_hold_up_a_batch(
    harness: SchedulerHarness,
) -> None:
    """No task needs less than another one, so each is searched for."""
    harness.add_workers(2, cores=64)
    services = [
        task("service", number, work_class=WorkClass.SERVICE, cores=60)
        for number in range(2)
    ]
    harness.submit(*services)
    assert len(harness.start_tasks()) == 2
    for number in range(40):
        size = Resources(5_000 + 100 * number, 60_000 - 100 * number)
        urgent = task(f"urgent{number}", work_class=WorkClass.URGENT)
        harness.submit(urgent._replace(resources=size))
    batch = task("batch", work_class=WorkClass.BATCH)
    harness.submit(batch)
    assert harness.start_tasks(500) == [batch.attempt_id]
