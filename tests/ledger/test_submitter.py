from __future__ import annotations

import threading

from concurrent.futures import Future
from concurrent.futures import ThreadPoolExecutor
from concurrent.futures import wait
from typing import TYPE_CHECKING

import pytest

from result import Result

from magnoliapitch.clock import MonotonicClock
from magnoliapitch.ledger.health import DOWN_AFTER_MS
from magnoliapitch.ledger.health import StoreHealth
from magnoliapitch.ledger.stream import MAX_RECORD_BYTES
from magnoliapitch.ledger.stream import KeyedRecord
from magnoliapitch.ledger.submitter import MAX_RETRY_DELAY_MS
from magnoliapitch.ledger.submitter import SLOW_APPEND_MS
from magnoliapitch.ledger.submitter import SLOW_PERIOD_MS
from magnoliapitch.ledger.submitter import Submitter
from magnoliapitch.ledger.submitter import _PendingAppend
from magnoliapitch.verdict import Failure
from magnoliapitch.verdict import FailureCode
from magnoliapitch.verdict import Verdict
from magnoliapitch.verdict import may_have_run
from magnoliapitch.verdict import not_run


if TYPE_CHECKING:
    from collections.abc import Iterator

    from tests.ledger.memory_streams import MemoryStreams


TIMEOUT_MS = 5_000
Outcome = Future[Result[None, Failure]]


class Caller:
    """Appends from its own threads, while the test calls ``step``."""

    def __init__(self, streams: MemoryStreams) -> None:
        self.clock = _SkippableClock()
        self.health = StoreHealth(self.clock)
        self.health.note_success(0)
        self.submitter = Submitter(
            streams,
            "jobs",
            "me",
            self.clock,
            self.health,
            lambda: self.has_other_way,
            lambda records, offset: self.stored.append(
                ([record.key for record in records], offset)
            ),
        )
        self.stored: list[tuple[list[str], int]] = []
        self.has_other_way = False
        self.value = b"1"
        self._pool = ThreadPoolExecutor(64)

    def submit(self, key: str, timeout_ms: int = TIMEOUT_MS) -> Outcome:
        is_queued = threading.Event()

        def call() -> Result[None, Failure]:
            is_queued.set()
            record = KeyedRecord(key, self.value)
            return self.submitter.append(record, timeout_ms)

        future = self._pool.submit(call)
        assert is_queued.wait(5)
        return future

    def close(self) -> None:
        self._pool.shutdown(wait=False)


class _SkippableClock(MonotonicClock):
    skipped_ms = 0

    def now_ms(self) -> int:
        return super().now_ms() + self.skipped_ms


@pytest.fixture
def caller(streams: MemoryStreams) -> Iterator[Caller]:
    created = Caller(streams)
    yield created
    created.close()


def step_until_done(caller: Caller, outcomes: list[Outcome]) -> None:
    for _ in range(1_000):
        if all(outcome.done() for outcome in outcomes):
            return
        caller.submitter.step()
        # The callers' threads need a turn to take what the step resolved.
        wait(outcomes, timeout=0.001)
    raise AssertionError("some appends have no outcome after 1000 steps")


def test_records_of_several_callers_share_an_append(
    caller: Caller, streams: MemoryStreams
) -> None:
    outcomes = [caller.submit(f"k{number}") for number in range(20)]
    step_until_done(caller, outcomes)
    assert all(outcome.result().is_ok() for outcome in outcomes)
    assert sorted(streams.keys("jobs")) == sorted(
        f"k{number}" for number in range(20)
    )
    assert streams.appends < 20


def test_append_without_an_answer_is_repeated_and_stored_once(
    caller: Caller, streams: MemoryStreams
) -> None:
    streams.responses_to_lose = 2
    outcome = caller.submit("k")
    step_until_done(caller, [outcome])
    assert outcome.result().is_ok()
    assert streams.keys("jobs") == ["k"]


# One job that the store refused kept an instance from storing any other.
def test_a_refused_record_ends_its_own_append_only(
    caller: Caller, streams: MemoryStreams
) -> None:
    streams.invalid_keys = {"k3", "k11"}
    outcomes = [caller.submit(f"k{number}") for number in range(20)]
    step_until_done(caller, outcomes)
    refused = {
        f"k{number}": outcome.result().unwrap_err()
        for number, outcome in enumerate(outcomes)
        if outcome.result().is_err()
    }
    assert {
        (failure.verdict, failure.code) for failure in refused.values()
    } == {(Verdict.NOT_RUN, FailureCode.INVALID)}
    assert set(refused) == streams.invalid_keys
    assert len(streams.keys("jobs")) == 18


def test_large_records_are_divided_over_calls_that_the_store_accepts(
    caller: Caller, streams: MemoryStreams
) -> None:
    caller.value = b"1" * 200_000
    outcomes = [caller.submit(f"k{number}") for number in range(30)]
    step_until_done(caller, outcomes)
    assert all(outcome.result().is_ok() for outcome in outcomes)
    assert streams.appends >= 3
    appends = streams.appends
    caller.value = b"1" * MAX_RECORD_BYTES
    failure = caller.submit("k").result(5).unwrap_err()
    assert failure.code is FailureCode.INVALID
    assert str(MAX_RECORD_BYTES) in failure.detail
    assert streams.appends == appends


def test_append_is_refused_at_once_while_the_store_is_down(
    caller: Caller, streams: MemoryStreams
) -> None:
    outage = not_run(FailureCode.UNAVAILABLE, "the store is down")
    streams.outage = outage
    caller.health.note_failure(outage)
    caller.clock.skipped_ms = DOWN_AFTER_MS + 1
    failure = caller.submit("k").result(5).unwrap_err()
    assert failure.verdict is Verdict.NOT_RUN
    assert failure.retry_after_ms
    assert streams.appends == 0


def test_record_that_may_be_stored_is_not_reported_as_not_run(
    caller: Caller, streams: MemoryStreams
) -> None:
    streams.outage = may_have_run(
        FailureCode.TIMEOUT, "the store has not answered"
    )
    outcome = caller.submit("k", timeout_ms=300)
    caller.submitter.step()
    streams.outage = not_run(FailureCode.UNAVAILABLE, "the store is down")
    caller.clock.skipped_ms = DOWN_AFTER_MS + 1
    caller.submitter.step()
    failure = outcome.result(5).unwrap_err()
    assert failure.verdict is Verdict.MAY_HAVE_RUN


def test_batch_that_is_certainly_not_stored_is_refused_as_not_run(
    caller: Caller, streams: MemoryStreams
) -> None:
    streams.outage = not_run(FailureCode.UNAVAILABLE, "the store is down")
    outcome = caller.submit("k")
    caller.submitter.step()
    caller.clock.skipped_ms = DOWN_AFTER_MS + 1
    step_until_done(caller, [outcome])
    assert outcome.result().unwrap_err().verdict is Verdict.NOT_RUN
    streams.outage = None
    caller.submitter.step()
    assert streams.keys("jobs") == []


def test_a_caller_with_another_way_does_not_wait_for_a_lost_answer(
    caller: Caller, streams: MemoryStreams
) -> None:
    caller.has_other_way = True
    streams.outage = may_have_run(
        FailureCode.TIMEOUT, "the store has not answered"
    )
    outcome = caller.submit("k", timeout_ms=60_000)
    caller.submitter.step()
    caller.clock.skipped_ms = DOWN_AFTER_MS + 1
    step_until_done(caller, [outcome])
    assert outcome.result().unwrap_err().verdict is Verdict.MAY_HAVE_RUN
    streams.outage = None
    caller.submitter.step()
    assert streams.keys("jobs") == ["k"]


@pytest.mark.parametrize("key", ["", "j." + "x" * 254, "\u20ac" * 86])
def test_a_key_that_the_store_does_not_take_is_refused(
    caller: Caller, streams: MemoryStreams, key: str
) -> None:
    """It raised an error in every append of its batch, until the process
    was given up.
    """
    failure = caller.submit(key).result(5).unwrap_err()
    assert failure.verdict is Verdict.NOT_RUN
    assert failure.code is FailureCode.INVALID
    outcome = caller.submit("k")
    step_until_done(caller, [outcome])
    assert streams.keys("jobs") == ["k"]


def test_a_refused_record_is_never_unqueued_and_unresolved(
    caller: Caller, streams: MemoryStreams, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A caller whose time was up just then raised an error."""
    outage = not_run(FailureCode.UNAVAILABLE, "the store is down")
    streams.outage = outage
    outcomes = [caller.submit("k"), caller.submit("m")]
    submitter = caller.submitter
    resolve = submitter._resolve
    was_locked: list[bool] = []

    def try_lock() -> None:
        condition = submitter._condition
        is_free = condition.acquire(blocking=False)
        if is_free:
            condition.release()
        was_locked.append(not is_free)

    def resolve_checked(
        pending_appends: list[_PendingAppend],
        outcome: Result[None, Failure],
    ) -> None:
        if any(not pending.is_sent for pending in pending_appends):
            thread = threading.Thread(target=try_lock)
            thread.start()
            thread.join()
        resolve(pending_appends, outcome)

    monkeypatch.setattr(submitter, "_resolve", resolve_checked)
    submitter._queued[0].is_sent = True
    submitter._batch = [submitter._queued.pop(0)]
    caller.clock.skipped_ms = DOWN_AFTER_MS + 1
    caller.health.note_failure(outage)
    caller.clock.skipped_ms = 2 * DOWN_AFTER_MS + 2
    step_until_done(caller, outcomes)
    assert was_locked == [True]


def test_the_store_counts_as_slow_during_and_after_a_slow_append(
    caller: Caller, streams: MemoryStreams
) -> None:
    """Other instances' appends to the stream then have to wait as well."""
    assert not caller.submitter.is_slow()
    slow_by: list[bool] = []

    def delay() -> None:
        caller.clock.skipped_ms += SLOW_APPEND_MS
        slow_by.append(caller.submitter.is_slow())

    streams.before_append = delay
    outcome = caller.submit("k")
    step_until_done(caller, [outcome])
    assert slow_by == [True]
    assert caller.submitter.is_slow()
    caller.clock.skipped_ms += SLOW_PERIOD_MS
    assert not caller.submitter.is_slow()


# Many instances that retry every 60 ms reached the store's limit of calls.
def test_appends_that_fail_again_and_again_are_sent_ever_more_seldom(
    caller: Caller, streams: MemoryStreams
) -> None:
    streams.outage = not_run(FailureCode.OVERLOADED, "too many calls")
    caller.submit("k")
    delays_ms = [caller.submitter.step() for _ in range(6)]
    assert delays_ms == sorted(delays_ms)
    assert delays_ms[-1] == MAX_RETRY_DELAY_MS
    streams.outage = None
    caller.submitter.step()
    streams.outage = not_run(FailureCode.OVERLOADED, "too many calls")
    caller.submit("l")
    assert caller.submitter.step() == delays_ms[0]


def test_stored_records_are_reported_once_with_their_offset(
    caller: Caller, streams: MemoryStreams
) -> None:
    streams.append("jobs", [KeyedRecord("before", b"1")])
    streams.responses_to_lose = 1
    outcome = caller.submit("k")
    step_until_done(caller, [outcome])
    assert caller.stored == [(["k"], 1)]
