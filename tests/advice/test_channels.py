"""Choice of the channel for each call to the advisor."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import cast

import pytest

from result import Err
from result import Ok
from result import Result

from magnoliapitch.advice import AdvisorChannelPool
from magnoliapitch.advice.channel import MAX_ANSWER_AGE_MS
from magnoliapitch.advice.channel import MAX_UNPROBED_AGE_MS
from magnoliapitch.advice.channel import PROBE_INTERVAL_MS
from magnoliapitch.advice.channel import PeerChannel
from magnoliapitch.advice.peer_health import PeerHealth
from magnoliapitch.clock import ManualClock
from magnoliapitch.http.client import MAX_CONNECT_TIMEOUT_MS
from magnoliapitch.http.client import HttpReply
from magnoliapitch.planner.plan import IdleCalls
from magnoliapitch.planner.plan import PlannedPermitRequest
from magnoliapitch.verdict import Failure
from magnoliapitch.verdict import FailureCode
from magnoliapitch.verdict import may_have_run
from magnoliapitch.verdict import not_run
from magnoliapitch.workload.job import StepKey


if TYPE_CHECKING:
    from collections.abc import Mapping
    from collections.abc import Sequence

    from magnoliapitch.advice import PeerAdvisor
    from magnoliapitch.http.client import HttpClient
    from magnoliapitch.workload.client import Advisor
    from magnoliapitch.workload.run import Permit


STEP = StepKey("a", 0, 0)
LONG = PlannedPermitRequest(STEP, ("w0",), 0, 500.0)
SHORT = LONG._replace(expected_call_ms=10.0)


class BrokenAdvisor:
    """Ends each call with an unexpected error."""

    def permits(
        self, step: StepKey, worker_ids: Sequence[str], timeout_ms: int
    ) -> Result[tuple[Permit, ...], Failure]:
        del step, worker_ids, timeout_ms
        raise ValueError("unexpected")


class Peers:
    """Other instances, some of which do not answer.

    :ivar gone: addresses of those that do not answer.
    :ivar call_count: number of calls to them, without probes.
    :ivar silent_ms: how long a call to one that is gone takes at most; over a
        kept connection it waits for an answer.
    """

    def __init__(self, clock: ManualClock, count: int) -> None:
        self.clock = clock
        self.addresses = [f"10.0.0.{number}:1" for number in range(count)]
        self.gone: set[str] = set()
        self.call_count = 0
        self.silent_ms = MAX_CONNECT_TIMEOUT_MS
        self.pool = AdvisorChannelPool(
            cast("Advisor", None), cast("HttpClient", self), clock
        )
        self.pool.set_peers(self.addresses)

    def exchange(
        self,
        method: str,
        url: str,
        timeout_ms: int,
        body: bytes | None = None,
        headers: Mapping[str, str] | None = None,
    ) -> Result[HttpReply, Failure]:
        del body, headers
        is_gone = url.split("/")[2] in self.gone
        if method == "POST":
            self.call_count += 1
        if is_gone:
            self.clock.advance(min(timeout_ms, self.silent_ms))
            if self.silent_ms > MAX_CONNECT_TIMEOUT_MS:
                return Err(may_have_run(FailureCode.TIMEOUT, "no answer"))
            return Err(not_run(FailureCode.UNAVAILABLE, "no connection"))
        return Ok(HttpReply(200, b"[]"))

    def probe(self) -> None:
        """Carry out the probes that are due."""
        for channel in self.pool.due_probes():
            self.pool.probe(channel)

    def probe_by_threads(self) -> None:
        """Begin the probes that are due; those of peers that answer end."""
        for channel in self.pool.due_probes():
            if channel.name not in self.gone:
                self.pool.probe(channel)

    def lose(self, *addresses: str) -> None:
        self.gone.update(addresses)

    def call(self) -> bool:
        """Make a long call; return whether it succeeded."""
        channel = self.pool.reserve(LONG)
        assert channel is not None
        return self.pool.call(channel, LONG, 1_700).is_ok()


# A peer would lose its part as an agent whenever the advisor refuses calls.
def test_failed_calls_do_not_show_that_a_peer_is_silent() -> None:
    peers = Peers(ManualClock(1_000), 1)
    (address,) = peers.addresses
    assert not peers.pool.health_of(address).is_known
    peers.probe()
    assert peers.pool.health_of(address) == PeerHealth(
        is_known=True, answered_ms=1_000
    )
    peers.lose(address)
    assert not peers.call()
    assert peers.pool.health_of(address).answered_ms == 1_000
    peers.clock.advance(PROBE_INTERVAL_MS)
    peers.probe()
    assert peers.pool.health_of(address) == PeerHealth(
        is_known=True, answered_ms=None
    )


def test_doubted_answers_are_unknown_until_a_probe_is_answered() -> None:
    peers = Peers(ManualClock(1_000), 2)
    silent, answering = peers.addresses
    peers.lose(silent)
    peers.probe()
    peers.pool.doubt_answers(peers.clock.now_ms())
    assert not peers.pool.health_of(answering).is_known
    assert peers.pool.health_of(silent).is_known
    peers.probe()
    assert peers.pool.health_of(answering).answered_ms is not None


# The workers of a lost agent waited for peers that were busy with calls.
def test_a_doubted_peer_is_probed_during_a_call() -> None:
    peers = Peers(ManualClock(1_000), 1)
    peers.probe()
    assert peers.pool.reserve(LONG) is not None
    peers.clock.advance(MAX_UNPROBED_AGE_MS)
    assert peers.pool.due_probes() == []
    peers.pool.doubt_answers(peers.clock.now_ms())
    peers.probe()
    assert peers.pool.health_of(peers.addresses[0]).is_known


# An instance that leads again after a long time knew peers by old answers.
def test_health_is_unknown_after_a_long_time_without_probes() -> None:
    peers = Peers(ManualClock(1_000), 1)
    peers.probe()
    peers.clock.advance(MAX_ANSWER_AGE_MS + 1)
    assert not peers.pool.health_of(peers.addresses[0]).is_known


def make_pool(peer_count: int) -> AdvisorChannelPool:
    peers = Peers(ManualClock(), peer_count)
    peers.probe()
    return peers.pool


# Incident LOST: of two channels that were left, one served all long calls.
@pytest.mark.parametrize(
    ("peer_count", "long_calls"),
    [(0, 1), (1, 2), (2, 3), (3, 4), (4, 4), (6, 6)],
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


# Incident LOST: each new leader sent the calls of steps through instances that
# were gone, each for 0.5 s, and again 2 s after each failure.
def test_a_peer_that_never_answered_gets_no_call() -> None:
    peers = Peers(ManualClock(), 6)
    peers.lose(*peers.addresses[:2])
    assert peers.pool.idle_calls() == IdleCalls(1, 1)
    for _ in range(20):
        peers.probe()
        assert peers.call()
        peers.clock.advance(1_000)
    assert peers.pool.idle_calls() == IdleCalls(5, 4)


def test_a_peer_that_is_gone_costs_one_call_at_most() -> None:
    peers = Peers(ManualClock(), 4)
    peers.probe()
    peers.lose(peers.addresses[0])
    succeeded = []
    for _ in range(60):
        peers.probe()
        succeeded.append(peers.call())
        peers.clock.advance(500)
    assert succeeded.count(False) <= 1


def test_a_peer_that_answers_again_is_used_after_a_probe() -> None:
    peers = Peers(ManualClock(), 3)
    peers.probe()
    peers.lose(peers.addresses[0])
    assert not peers.call()
    for _ in range(10):
        peers.probe()
        peers.clock.advance(PROBE_INTERVAL_MS)
    assert peers.pool.idle_calls().total == 3
    peers.gone.clear()
    peers.clock.advance(PROBE_INTERVAL_MS)
    assert peers.pool.idle_calls().total == 3
    peers.probe()
    assert peers.pool.idle_calls().total == 4


# An instance that leads again after a while must not trust what it knew.
def test_a_peer_whose_answer_is_old_is_probed_first() -> None:
    peers = Peers(ManualClock(), 3)
    peers.probe()
    peers.lose(peers.addresses[0])
    peers.clock.advance(MAX_ANSWER_AGE_MS + 1)
    assert peers.pool.idle_calls().total == 1
    peers.probe()
    assert peers.pool.idle_calls().total == 3


def test_an_idle_peer_is_probed_before_its_answer_is_too_old() -> None:
    peers = Peers(ManualClock(), 3)
    peers.probe()
    peers.clock.advance(MAX_UNPROBED_AGE_MS - 1)
    assert not peers.pool.due_probes()
    peers.clock.advance(1)
    assert len(peers.pool.due_probes()) == 3
    assert not peers.pool.due_probes()
    assert peers.pool.idle_calls().total == 4


def test_a_peer_that_fails_calls_but_answers_probes_rests_longer() -> None:
    peers = Peers(ManualClock(), 3)
    peers.probe()
    failures = 0
    for _ in range(300):
        peers.gone.clear()
        peers.probe()
        peers.lose(peers.addresses[0])
        failures += not peers.call()
        peers.clock.advance(100)
    assert failures <= 6


# The channel stayed busy for good, and so did the step that was asked about.
def test_an_unexpected_error_of_a_call_releases_its_channel() -> None:
    client = cast("HttpClient", None)
    pool = AdvisorChannelPool(BrokenAdvisor(), client, ManualClock())
    for _ in range(2):
        channel = pool.reserve(LONG)
        assert channel is not None
        assert pool.call(channel, LONG, 1_700).is_err()


# A step waited for one call after the other, each through another peer that
# was gone, as long as it stayed unknown which of the others were.
def test_a_step_waits_for_no_two_peers_that_are_gone() -> None:
    peers = Peers(ManualClock(), 5)
    peers.silent_ms = 1_700
    peers.probe()
    peers.lose(*peers.addresses[:2])
    failed_ms = 0
    for _ in range(4):
        started_ms = peers.clock.now_ms()
        if peers.call():
            break
        failed_ms += peers.clock.now_ms() - started_ms
        peers.clock.advance(10)
        peers.probe_by_threads()
    # A step may stand for 3 s beside free workers.
    assert failed_ms < 3_000


# One call without an answer is no sign that all others are gone.
def test_peers_are_used_after_a_probe_once_a_call_had_no_answer() -> None:
    peers = Peers(ManualClock(), 5)
    peers.silent_ms = 1_700
    peers.probe()
    peers.lose(peers.addresses[0])
    peers.clock.advance(10)
    assert not peers.call()
    assert peers.pool.idle_calls().total == 1
    peers.probe_by_threads()
    assert peers.pool.idle_calls().total == 5


def test_an_answer_later_than_a_lost_call_is_not_doubted() -> None:
    channel = PeerChannel("x", cast("PeerAdvisor", None), 0)
    channel.record_call(2_000, is_ok=True)
    channel.doubt(1_999, 3_000)
    assert channel.is_usable(3_000)
    channel.doubt(2_000, 3_000)
    assert not channel.is_usable(3_000)
    assert channel.is_probe_due(3_000)
