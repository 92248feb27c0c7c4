from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from magnoliapitch.access import ConfigurationFreshness
from magnoliapitch.access.freshness import MAX_AGE_MS
from magnoliapitch.access.freshness import MAX_WAIT_MS
from magnoliapitch.clock import ManualClock


if TYPE_CHECKING:
    import threading

    from collections.abc import Callable


class WaitingClock(ManualClock):
    """Runs the next of its actions in place of a wait, after 10 ms.

    :ivar waits_ms: timeout of each wait.
    """

    def __init__(self) -> None:
        super().__init__(100_000)
        self.actions: list[Callable[[], None]] = []
        self.waits_ms: list[int] = []

    def wait(self, event: threading.Event, timeout_ms: int) -> bool:
        self.waits_ms.append(timeout_ms)
        if not self.actions:
            return super().wait(event, timeout_ms)
        self.advance(10)
        self.actions.pop(0)()
        return event.is_set()


def check_now(freshness: ConfigurationFreshness, has_succeeded: bool) -> None:
    freshness.end_check(freshness.begin_check(), has_succeeded)


@pytest.fixture
def clock() -> WaitingClock:
    return WaitingClock()


@pytest.fixture
def freshness(clock: WaitingClock) -> ConfigurationFreshness:
    found = ConfigurationFreshness(clock)
    found.end_check(found.begin_check(), has_succeeded=True)
    return found


def test_the_age_counts_from_the_start_of_the_newest_check(
    clock: WaitingClock,
) -> None:
    freshness = ConfigurationFreshness(clock)
    assert freshness.age_ms() is None
    assert freshness.is_stale()
    older = freshness.begin_check()
    clock.advance(500)
    newer = freshness.begin_check()
    clock.advance(700)
    freshness.end_check(newer, has_succeeded=True)
    freshness.end_check(older, has_succeeded=True)
    assert freshness.age_ms() == 700


def test_a_call_does_not_wait_while_the_last_check_is_young(
    clock: WaitingClock, freshness: ConfigurationFreshness
) -> None:
    clock.advance(MAX_AGE_MS)
    freshness.wait_for_check()
    assert clock.waits_ms == []
    assert not freshness.take_request(0)


def test_a_completed_poll_wakes_a_waiting_call(
    clock: WaitingClock, freshness: ConfigurationFreshness
) -> None:
    clock.advance(MAX_AGE_MS - 5)
    poll = freshness.begin_check()
    clock.advance(10)
    clock.actions = [lambda: freshness.end_check(poll, has_succeeded=True)]
    freshness.wait_for_check()
    assert clock.waits_ms == [MAX_WAIT_MS]
    assert not freshness.is_stale()


def test_the_wait_is_bounded_and_requests_a_check(
    clock: WaitingClock, freshness: ConfigurationFreshness
) -> None:
    clock.advance(MAX_AGE_MS + 1)
    arrived_ms = clock.now_ms()
    freshness.wait_for_check()
    assert clock.now_ms() == arrived_ms + MAX_WAIT_MS
    assert freshness.take_request(0)
    assert not freshness.take_request(0)


def test_a_check_from_before_a_pause_does_not_end_the_wait(
    clock: WaitingClock, freshness: ConfigurationFreshness
) -> None:
    """Its answer lay in a socket: a key withdrawn since would be accepted."""
    checks = [freshness.begin_check() for _ in range(2)]
    clock.advance(10_000)
    clock.actions = [
        lambda: freshness.end_check(checks[0], has_succeeded=True),
        lambda: freshness.end_check(checks[1], has_succeeded=False),
        lambda: check_now(freshness, has_succeeded=True),
    ]
    freshness.wait_for_check()
    assert clock.waits_ms == [300, 290, 280]
    assert not freshness.is_stale()


def test_a_failed_check_of_this_call_ends_the_wait(
    clock: WaitingClock, freshness: ConfigurationFreshness
) -> None:
    """The store is out of reach; the call is answered with what is known."""
    clock.advance(10_000)
    clock.actions = [lambda: check_now(freshness, has_succeeded=False)]
    freshness.wait_for_check()
    assert clock.waits_ms == [MAX_WAIT_MS]
    assert freshness.is_stale()


def test_each_wait_requests_a_check_of_its_own(
    clock: WaitingClock, freshness: ConfigurationFreshness
) -> None:
    """A call that comes during a check is not answered by a request before."""
    clock.advance(10_000)
    freshness.wait_for_check()
    assert freshness.take_request(0)
    clock.actions = [lambda: None]
    freshness.wait_for_check()
    assert freshness.take_request(0)
