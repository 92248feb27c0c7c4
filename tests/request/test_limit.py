from __future__ import annotations

import threading

from typing import TYPE_CHECKING
from typing import Any

import pytest

from magnoliapitch.catalogue.entry import Limits
from magnoliapitch.clock import ManualClock
from magnoliapitch.request.limit import TokenBucket
from magnoliapitch.verdict import FailureCode
from magnoliapitch.verdict import Verdict
from tests.request.conftest import RequestClusterShape


if TYPE_CHECKING:
    from collections.abc import Callable

    from magnoliapitch.request.dispatcher import Outcome
    from magnoliapitch.standin.backend import StandinBackends
    from tests.request.conftest import RequestCluster


JOIN_TIMEOUT_S = 30
THREE_ENTRIES = RequestClusterShape(entries_per_zone=3, slots=64)


def test_bucket_allows_the_rate_and_a_burst_of_one_second() -> None:
    bucket = TokenBucket(10, 0)
    assert [bucket.take(10, 0) for _ in range(11)] == [0] * 10 + [101]
    assert sum(bucket.take(10, now_ms) == 0 for now_ms in range(2_000)) == 19


@pytest.mark.parametrize("limit", [1, 2, 7, 30])
def test_limits_hold_for_all_entries_together(
    make_cluster: Callable[..., RequestCluster], limit: int
) -> None:
    cluster = make_cluster(THREE_ENTRIES)
    limits = Limits(requests_per_second=limit)
    cluster.put_entry("seat-check", 1, limits=limits)
    cluster.settle()
    outcomes = [
        cluster.execute(core, number)
        for core in range(3)
        for number in range(40)
    ]
    refused = [item.unwrap_err() for item in outcomes if item.is_err()]
    assert len(outcomes) - len(refused) == limit
    assert {item.code for item in refused} == {FailureCode.QUOTA}
    assert {item.verdict for item in refused} == {Verdict.NOT_RUN}
    assert all(item.retry_after_ms for item in refused)


def test_limits_keep_their_shares_while_a_member_is_silent(
    make_cluster: Callable[..., RequestCluster],
) -> None:
    cluster = make_cluster(THREE_ENTRIES)
    cluster.put_entry("seat-check", 1, limits=Limits(requests_per_second=30))
    cluster.settle()
    cluster.cores = cluster.cores[:1]
    assert isinstance(cluster.clock, ManualClock)
    cluster.clock.advance(10_000)
    cluster.settle()
    answered = [cluster.execute(number=n).is_ok() for n in range(40)]
    assert sum(answered) == 10


def test_concurrency_limit_queues_excess_requests(
    make_cluster: Callable[..., RequestCluster],
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    cluster = make_cluster(RequestClusterShape(slots=64), threads=True)
    cluster.put_entry(
        "seat-check", 1, limits=Limits(concurrent_requests=3, queued=50)
    )
    cluster.settle()
    cluster.run_in_background()
    cluster.backends.duration_ms = 5
    hold_until_running(cluster.backends, 3, monkeypatch)
    outcomes: list[Outcome] = []
    threads = [
        cluster.spawn(lambda: outcomes.append(cluster.execute()))
        for _ in range(30)
    ]
    for thread in threads:
        thread.join(JOIN_TIMEOUT_S)
    assert len(outcomes) == 30
    assert all(outcome.is_ok() for outcome in outcomes)
    assert cluster.backends.max_in_flight_by_server == {"norte-runner-1": 3}


def hold_until_running(
    backends: StandinBackends, count: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Let the first requests end only once so many run at the same time."""
    respond = backends._respond
    are_running = threading.Barrier(count, timeout=JOIN_TIMEOUT_S / 2)
    first_calls = iter(range(count))

    def respond_together(*args: Any) -> Any:
        if next(first_calls, None) is not None:
            are_running.wait()
        return respond(*args)

    monkeypatch.setattr(backends, "_respond", respond_together)


def test_concurrency_limit_bounds_the_queue(
    make_cluster: Callable[..., RequestCluster],
) -> None:
    cluster = make_cluster(RequestClusterShape(slots=64), threads=True)
    cluster.put_entry(
        "seat-check", 1, limits=Limits(concurrent_requests=1, queued=1)
    )
    cluster.settle()
    cluster.run_in_background()
    may_finish = threading.Event()

    def hold(server_id: str) -> None:
        may_finish.wait(JOIN_TIMEOUT_S)

    cluster.backends.on_send = hold
    outcomes: list[Outcome] = []
    threads = [
        cluster.spawn(lambda: outcomes.append(cluster.execute()))
        for _ in range(6)
    ]
    while len(outcomes) < 4:
        assert any(thread.is_alive() for thread in threads)
    refused = [item.unwrap_err() for item in outcomes]
    may_finish.set()
    for thread in threads:
        thread.join(JOIN_TIMEOUT_S)
    assert {item.verdict for item in refused} == {Verdict.NOT_RUN}
    assert len(cluster.backends.history) == 2
