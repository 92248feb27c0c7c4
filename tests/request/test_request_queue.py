from __future__ import annotations

from magnoliapitch.catalogue.entry import CatalogueEntry
from magnoliapitch.catalogue.entry import WorkClass
from magnoliapitch.request.duration_estimate import DurationEstimate
from magnoliapitch.request.request_queue import QueuedRequest
from magnoliapitch.request.request_queue import RequestQueue


URGENT = CatalogueEntry("seat-check", "clubs", WorkClass.URGENT)
BATCH = CatalogueEntry("report", "clubs", WorkClass.BATCH)


def _pop_all(queue: RequestQueue) -> list[QueuedRequest]:
    popped = []
    while (queued := queue.pop()) is not None:
        popped.append(queued)
    return popped


def test_queue_serves_by_urgency_then_deadline_then_arrival() -> None:
    queue = RequestQueue()
    batch = queue.add(BATCH, 100)
    late = queue.add(URGENT, 300)
    first = queue.add(URGENT, 200)
    second = queue.add(URGENT, 200)
    assert queue.count_ahead_of(URGENT, 250) == 2
    assert _pop_all(queue) == [first, second, late, batch]
    assert len(queue) == queue.count_of("report") == 0


def test_queue_skips_abandoned_requests() -> None:
    queue = RequestQueue()
    queued_requests = [queue.add(URGENT, 100 + number) for number in range(3)]
    queue.abandon(queued_requests[0])
    assert (len(queue), queue.count_of("seat-check")) == (2, 2)
    assert queue.count_ahead_of(URGENT, 500) == 2
    assert _pop_all(queue) == queued_requests[1:]


def test_estimate_follows_the_durations() -> None:
    estimate = DurationEstimate()
    for _ in range(100):
        estimate.add_sample(200)
    assert 190 < estimate.mean_ms <= 200
    assert estimate.wait_ms(requests_ahead=7, concurrency=8) == int(
        estimate.mean_ms
    )
    assert estimate.wait_ms(requests_ahead=0, concurrency=0) == int(
        estimate.mean_ms
    )
