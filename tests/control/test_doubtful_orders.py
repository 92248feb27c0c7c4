from __future__ import annotations

from magnoliapitch.control.doubtful_orders import LATE_ORDER_MS
from magnoliapitch.control.doubtful_orders import DoubtfulOrders
from magnoliapitch.planner.plan import PlannedStart
from magnoliapitch.workload.job import TaskKey


KEY = TaskKey("job", 0, 0, 0)


def planned(worker_id: str) -> PlannedStart:
    return PlannedStart(KEY, 1, worker_id, "")


def test_orders_are_found_by_the_name_of_the_worker() -> None:
    orders = DoubtfulOrders()
    orders.add(planned("w@1"), 0)
    orders.add(planned("v@1"), 0)
    assert orders.of("w", 10) == [planned("w@1")]


def test_orders_are_forgotten_once_they_cannot_be_late_any_more() -> None:
    orders = DoubtfulOrders()
    orders.add(planned("w@1"), 0)
    orders.add(planned("w@1"), 500)
    assert len(orders.of("w", LATE_ORDER_MS)) == 2
    assert len(orders.of("w", LATE_ORDER_MS + 1)) == 1


def test_old_orders_are_forgotten_though_no_worker_restarts() -> None:
    orders = DoubtfulOrders()
    for number in range(100):
        orders.add(planned("w@1"), number * LATE_ORDER_MS)
    assert len(orders) == 2
