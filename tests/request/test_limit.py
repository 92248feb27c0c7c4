from __future__ import annotations

import threading

from typing import TYPE_CHECKING

import pytest

from magnoliapitch.catalogue.entry import Limits
from magnoliapitch.clock import ManualClock
from magnoliapitch.request.limit import TokenBucket
from magnoliapitch.verdict import FailureCode
from magnoliapitch.verdict import Verdict
from tests.request.conftest import RequestCellShape


if TYPE_CHECKING:
    from collections.abc import Callable

    from magnoliapitch.request.dispatcher import Outcome
    from tests.request.conftest import RequestCell


JOIN_TIMEOUT_S = 30
THREE_ENTRIES = RequestCellShape(entries_per_zone=3, slots=64)


def test_bucket_allows_the_rate_and_a_burst_of_one_second() -> None:
    bucket = TokenBucket(10, 0)
    assert [bucket.take(10, 0) for _ in range(11)] == [0] * 10 + [101]
    assert sum(bucket.take(10, now_ms) == 0 for now_ms in range(2_000)) == 19


@pytest.mark.parametrize("limit", [1, 2, 7, 30])
def test_limits_hold_for_all_entries_together(
    make_cell: Callable[..., RequestCell], limit: int
) -> None:
    cell = make_cell(THREE_ENTRIES)
    limits = Limits(requests_per_second=limit)
    cell.put_entry("seat-check", 1, limits=limits)
    cell.settle()
    outcomes = [
        cell.execute(core, number) for core in range(3) for number in range(40)
    ]
    refused = [item.unwrap_err() for item in outcomes if item.is_err()]
    assert len(outcomes) - len(refused) == limit
    assert {item.code for item in refused} == {FailureCode.QUOTA}
    assert {item.verdict for item in refused} == {Verdict.NOT_RUN}
    assert all(item.retry_after_ms for item in refused)


def test_limits_keep_their_shares_while_a_member_is_silent(
    make_cell: Callable[..., RequestCell],
) -> None:
    cell = make_cell(THREE_ENTRIES)
    cell.put_entry("seat-check", 1, limits=Limits(requests_per_second=30))
    cell.settle()
    cell.cores = cell.cores[:1]
    assert isinstance(cell.clock, ManualClock)
    cell.clock.advance(10_000)
    cell.settle()
    answered = [cell.execute(number=n).is_ok() for n in range(40)]
    assert sum(answered) == 10


def test_concurrency_limit_queues_excess_requests(
    make_cell: Callable[..., RequestCell],
) -> None:
    cell = make_cell(RequestCellShape(slots=64), threads=True)
    cell.put_entry(
        "seat-check", 1, limits=Limits(concurrent_requests=3, queued=50)
    )
    cell.settle()
    cell.run_in_background()
    cell.backends.duration_ms = 5
    outcomes: list[Outcome] = []
    threads = [
        cell.spawn(lambda: outcomes.append(cell.execute())) for _ in range(30)
    ]
    for thread in threads:
        thread.join(JOIN_TIMEOUT_S)
    assert all(outcome.is_ok() for outcome in outcomes)
    assert cell.backends.max_in_flight_by_server == {"norte-runner-1": 3}


def test_concurrency_limit_bounds_the_queue(
    make_cell: Callable[..., RequestCell],
) -> None:
    cell = make_cell(RequestCellShape(slots=64), threads=True)
    cell.put_entry(
        "seat-check", 1, limits=Limits(concurrent_requests=1, queued=1)
    )
    cell.settle()
    cell.run_in_background()
    may_finish = threading.Event()

    def hold(server_id: str) -> None:
        may_finish.wait(JOIN_TIMEOUT_S)

    cell.backends.on_send = hold
    outcomes: list[Outcome] = []
    threads = [
        cell.spawn(lambda: outcomes.append(cell.execute())) for _ in range(6)
    ]
    while len(outcomes) < 4:
        assert any(thread.is_alive() for thread in threads)
    refused = [item.unwrap_err() for item in outcomes]
    may_finish.set()
    for thread in threads:
        thread.join(JOIN_TIMEOUT_S)
    assert {item.verdict for item in refused} == {Verdict.NOT_RUN}
    assert len(cell.backends.history) == 2
