from __future__ import annotations

from magnoliapitch.catalogue.entry import CatalogueEntry
from magnoliapitch.catalogue.entry import WorkClass
from magnoliapitch.request.duration_estimate import DurationEstimate
from magnoliapitch.request.request_queue import Waiter
from magnoliapitch.request.request_queue import WaitQueue


URGENT = CatalogueEntry("seat-check", "clubs", WorkClass.URGENT)
BATCH = CatalogueEntry("report", "clubs", WorkClass.BATCH)


def _drain(queue: WaitQueue) -> list[Waiter]:
    found = []
    while (waiter := queue.pop()) is not None:
        found.append(waiter)
    return found


def test_queue_serves_by_urgency_then_deadline_then_arrival() -> None:
    queue = WaitQueue()
    batch = queue.add(BATCH, 100)
    late = queue.add(URGENT, 300)
    first = queue.add(URGENT, 200)
    second = queue.add(URGENT, 200)
    assert queue.ahead_of(URGENT, 250) == 2
    assert _drain(queue) == [first, second, late, batch]
    assert len(queue) == queue.count("report") == 0


def test_queue_skips_requests_that_gave_up() -> None:
    queue = WaitQueue()
    waiters = [queue.add(URGENT, 100 + number) for number in range(3)]
    queue.abandon(waiters[0])
    assert (len(queue), queue.count("seat-check")) == (2, 2)
    assert queue.ahead_of(URGENT, 500) == 2
    assert _drain(queue) == waiters[1:]


def test_estimate_follows_the_durations() -> None:
    estimate = DurationEstimate()
    for _ in range(100):
        estimate.note(200)
    assert 190 < estimate.mean_ms <= 200
    assert estimate.wait_ms(ahead=7, places=8) == int(estimate.mean_ms)
    assert estimate.wait_ms(ahead=0, places=0) == int(estimate.mean_ms)
