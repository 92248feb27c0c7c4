"""Events are applied for a limited time between two rounds."""

from __future__ import annotations

from typing import Any

from magnoliapitch.clock import ManualClock
from magnoliapitch.control.event_dispatch import MAX_APPLYING_MS
from magnoliapitch.control.event_dispatch import EventIntake
from magnoliapitch.control.event_dispatch import Leading
from magnoliapitch.control.events import MAX_JOBS_PER_EVENT
from magnoliapitch.control.events import JobsRead
from magnoliapitch.ledger.claim_delay import LEADER_TIMEOUT_MS


ADDING_MS = 60


class SlowController:
    """Takes time for each event.

    :ivar handled: the events so far.
    """

    def __init__(self, clock: ManualClock) -> None:
        self.handled: list[JobsRead] = []
        self._clock = clock

    def handle_jobs_read(self, event: JobsRead, _now_ms: int) -> None:
        self.handled.append(event)
        self._clock.advance(ADDING_MS)


def jobs_read(count: int) -> JobsRead:
    ids = frozenset(f"j{number:03}" for number in range(count))
    return JobsRead(ids, 1_000, 7)


# A leader that read many jobs at once, or was asked much while a round
# lasted, made no round for seconds, and others claimed.
def test_a_round_follows_in_time_however_many_events_have_come() -> None:
    clock = ManualClock(0)
    controller: Any = SlowController(clock)
    intake = EventIntake()
    events = list(jobs_read(100).parts())
    for event in events:
        intake.put(event)
    applied_count = 0
    while applied_count < len(events):
        began_ms = clock.now_ms()
        intake.wait(LEADER_TIMEOUT_MS)
        count = intake.apply(Leading(controller, None), clock)
        assert count
        assert clock.now_ms() - began_ms <= MAX_APPLYING_MS + ADDING_MS
        applied_count += count
    assert controller.handled == events
    assert MAX_APPLYING_MS <= LEADER_TIMEOUT_MS / 4


def test_events_that_come_meanwhile_are_left_to_the_next_call() -> None:
    clock = ManualClock(0)
    intake = EventIntake()

    class _Asking(SlowController):
        def handle_jobs_read(self, event: JobsRead, now_ms: int) -> None:
            super().handle_jobs_read(event, now_ms)
            intake.put(event)

    controller: Any = _Asking(clock)
    intake.put(jobs_read(1))
    assert intake.apply(Leading(controller, None), clock) == 1
    assert intake.apply(Leading(controller, None), clock) == 1


def test_a_wait_without_an_event_ends() -> None:
    intake = EventIntake()
    intake.wait(1)
    clock = ManualClock(0)
    controller: Any = SlowController(clock)
    assert intake.apply(Leading(controller, None), clock) == 0


def test_the_parts_of_a_read_have_all_jobs_and_the_last_one_the_end() -> None:
    event = jobs_read(2 * MAX_JOBS_PER_EVENT + 1)
    parts = list(event.parts())
    assert [part.end for part in parts] == [None, None, 1_000]
    assert all(len(part.job_ids) <= MAX_JOBS_PER_EVENT for part in parts)
    assert all(part.read_ms == 7 for part in parts)
    assert frozenset().union(*(part.job_ids for part in parts)) == (
        event.job_ids
    )
    empty = JobsRead(frozenset(), 3, 4)
    assert list(empty.parts()) == [empty]
