"""How many starts may be planned while the store is fast or slow."""

from __future__ import annotations

from magnoliapitch.control.start_queue import StartQueue
from magnoliapitch.planner.plan import PlannedStart
from magnoliapitch.resource import Resources
from magnoliapitch.workload.job import JobSpec
from magnoliapitch.workload.job import StepSpec
from magnoliapitch.workload.job import TaskKey
from tests.control.simulation import Simulation
from tests.control.simulation import queue
from tests.control.simulation import workers


LIMIT = 32
SLOW_STORE_MS = 1_000


def _starts(count: int) -> list[PlannedStart]:
    return [
        PlannedStart(TaskKey("a", 0, 0, number), 1, "w", "")
        for number in range(count)
    ]


def test_a_fast_store_adds_nothing_to_the_limit_of_orders() -> None:
    starts = StartQueue()
    starts.add(_starts(10))
    starts.begin_commit(0)
    starts.record_stored(11)
    assert starts.available(LIMIT, LIMIT, 11) == LIMIT - 10


def test_orders_in_flight_and_unsent_starts_use_up_the_limit() -> None:
    starts = StartQueue()
    starts.add(_starts(10))
    assert starts.available(LIMIT - 20, LIMIT, 0) == 2
    starts.add(_starts(10))
    assert starts.available(LIMIT - 20, LIMIT, 0) == 0


def test_more_starts_may_be_planned_while_the_store_is_slow() -> None:
    starts = StartQueue()
    starts.add(_starts(1))
    starts.begin_commit(0)
    assert starts.available(LIMIT, LIMIT, SLOW_STORE_MS) >= 5 * LIMIT
    starts.record_stored(SLOW_STORE_MS)
    assert starts.available(LIMIT, LIMIT, SLOW_STORE_MS) >= 5 * LIMIT


def test_stored_starts_are_sent_in_order_as_the_limit_allows() -> None:
    starts = StartQueue()
    starts.add(_starts(5))
    starts.begin_commit(0)
    assert starts.take_stored(3) == []
    starts.record_stored(11)
    assert starts.take_stored(3) == _starts(5)[:3]
    assert starts.take_stored(3) == _starts(5)[3:]


# One window of orders followed each answer of the store, whatever waited.
def test_a_burst_starts_within_two_answers_of_a_slow_store() -> None:
    simulation = Simulation([queue("q")], workers(24))
    simulation.run(1_000)
    simulation.progress_commit_ms = SLOW_STORE_MS
    size = Resources(1_000, 1_000)
    simulation.submit(JobSpec("a", "q", "text", (StepSpec(1, size, 10_000),)))
    simulation.run(SLOW_STORE_MS // 2)
    for number in range(40):
        step = StepSpec(6, size, 10_000)
        simulation.submit(JobSpec(f"b{number}", "q", "text", (step,)))
    simulation.run(2 * SLOW_STORE_MS)
    assert len(simulation.starts) == 241
    assert simulation.violations == []
