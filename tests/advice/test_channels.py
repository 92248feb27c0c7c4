"""Choice of the channel for each call to the advisor."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import cast

import pytest

from magnoliapitch.advice import AdvisorChannelPool
from magnoliapitch.clock import ManualClock
from magnoliapitch.planner.plan import IdleCalls
from magnoliapitch.planner.plan import PlannedPermitRequest
from magnoliapitch.workload.job import StepKey


if TYPE_CHECKING:
    from magnoliapitch.http.client import HttpClient
    from magnoliapitch.workload.client import Advisor


STEP = StepKey("a", 0, 0)
LONG = PlannedPermitRequest(STEP, ("w0",), 0, 500.0)
SHORT = LONG._replace(expected_call_ms=10.0)


def make_pool(peer_count: int) -> AdvisorChannelPool:
    pool = AdvisorChannelPool(
        cast("Advisor", None), cast("HttpClient", None), ManualClock()
    )
    pool.set_peers(f"10.0.0.{number}:1" for number in range(peer_count))
    return pool


# Incident LOST: of two channels that were left, one served all long calls.
@pytest.mark.parametrize(
    ("peer_count", "long_calls"), [(0, 1), (1, 2), (2, 3), (3, 3), (6, 6)]
)
def test_few_peers_leave_no_channel_to_short_calls_alone(
    peer_count: int, long_calls: int
) -> None:
    assert make_pool(peer_count).idle_calls() == IdleCalls(
        peer_count + 1, long_calls
    )


def test_own_channel_takes_long_calls_after_those_of_peers() -> None:
    pool = make_pool(1)
    channels = [pool.reserve(LONG) for _ in range(2)]
    names = [channel.name for channel in channels if channel is not None]
    assert names == ["10.0.0.0:1", "own"]


# Incident LOST: the instance's own channel counted as idle for long calls,
# which it did not take.
@pytest.mark.parametrize("peer_count", [0, 1, 4, 6])
def test_as_many_calls_can_be_reserved_as_are_idle(peer_count: int) -> None:
    pool = make_pool(peer_count)
    for _ in range(pool.idle_calls().long):
        assert pool.reserve(LONG) is not None
    assert pool.idle_calls().long == 0
    assert pool.reserve(LONG) is None
    for _ in range(pool.idle_calls().total):
        assert pool.reserve(SHORT) is not None
    assert pool.idle_calls() == IdleCalls(0, 0)
    assert pool.reserve(SHORT) is None
