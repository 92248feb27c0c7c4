from __future__ import annotations

from magnoliapitch.control.order_window import INITIAL_LIMIT
from magnoliapitch.control.order_window import MAX_LIMIT
from magnoliapitch.control.order_window import MIN_LIMIT
from magnoliapitch.control.order_window import OrderWindow
from magnoliapitch.ledger.state_table import JobState
from magnoliapitch.resource import Resources
from magnoliapitch.workload.job import JobSpec
from magnoliapitch.workload.job import StepSpec
from tests.control.simulation import Simulation
from tests.control.simulation import queue
from tests.control.simulation import workers


BURST_JOB_COUNT = 60
TASKS_PER_JOB = 10
ORDER_DURATION_MS = 10.0
# Stops of runs whose start got no answer; each costs two more orders.
MAX_SUPERSEDED_SHARE = 0.05


def play_burst(window: OrderWindow | None) -> Simulation:
    """Submit more tasks at once than the leader's machine can order.

    600 tasks of 10 ms are 6 s of work for the machine, and orders are given
    up after 0.7 s.
    """
    simulation = Simulation([queue("q")], workers(40))
    simulation.order_queue.order_duration_ms = ORDER_DURATION_MS
    simulation.order_queue.window = window
    simulation.actual_duration_ms = lambda _: 5_000.0
    step = StepSpec(TASKS_PER_JOB, Resources(2_000, 2_000), 5_000)
    for number in range(BURST_JOB_COUNT):
        simulation.submit(JobSpec(f"a{number}", "q", "text", (step,)))
    simulation.run(30_000)
    return simulation


def superseded_share(simulation: Simulation) -> float:
    task_count = BURST_JOB_COUNT * TASKS_PER_JOB
    return sum(simulation.stop_orders.values()) / task_count


def test_without_a_window_a_slow_machine_causes_a_retry_storm() -> None:
    """The storm that the window prevents, so that the test below can fail."""
    simulation = play_burst(None)
    assert superseded_share(simulation) > MAX_SUPERSEDED_SHARE
    assert simulation.violations == []


def test_a_burst_on_a_slow_machine_causes_no_retry_storm() -> None:
    simulation = play_burst(OrderWindow())
    assert superseded_share(simulation) <= MAX_SUPERSEDED_SHARE
    outcomes = [done.outcome for done in simulation.finished.values()]
    assert outcomes == [JobState.COMPLETED] * BURST_JOB_COUNT
    assert simulation.violations == []


def test_window_shrinks_once_for_orders_that_were_in_flight_together() -> None:
    window = OrderWindow()
    for _ in range(30):
        window.record_sent()
    for _ in range(30):
        window.record_answered(sent_ms=0, now_ms=1_000)
    assert INITIAL_LIMIT / 2 < window.available() < INITIAL_LIMIT


def test_window_grows_only_while_it_is_used() -> None:
    window = OrderWindow()
    window.record_sent()
    window.record_answered(0, 1)
    assert window.available() == INITIAL_LIMIT
    for _ in range(2_000):
        while window.available():
            window.record_sent()
        window.record_answered(0, 1)
    while window.available() < MAX_LIMIT:
        window.record_answered(0, 1)
    assert window.available() == MAX_LIMIT


def test_window_never_closes_for_good() -> None:
    window = OrderWindow()
    for second in range(100):
        window.record_sent()
        window.record_answered(1_000 * second, 1_000 * second + 900)
    assert window.available() == MIN_LIMIT


def test_silent_workers_do_not_shrink_the_window() -> None:
    """A zone of three is cut off."""
    window = OrderWindow()
    for _ in range(100):
        for _ in range(3):
            window.record_sent()
        window.record_unanswered(700)
        window.record_answered(699, 700)
        window.record_answered(699, 700)
    assert window.available() == INITIAL_LIMIT


def test_window_shrinks_while_most_orders_stay_unanswered() -> None:
    window = OrderWindow()
    for number in range(200):
        window.record_sent()
        window.record_unanswered(number)
    assert window.available() == MIN_LIMIT
