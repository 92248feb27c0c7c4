"""Choice of the instances that may be given workers; virtual time."""

from __future__ import annotations

from magnoliapitch.advice.peer_health import UNKNOWN_HEALTH
from magnoliapitch.advice.peer_health import PeerHealth
from magnoliapitch.clock import ManualClock
from magnoliapitch.control.delegation.candidates import LOST_AGENT_BACKOFF_MS
from magnoliapitch.control.delegation.candidates import MAX_PROBE_WAIT_MS
from magnoliapitch.control.delegation.candidates import SETTLE_MS
from magnoliapitch.control.delegation.candidates import AgentCandidates
from tests.control.delegation.fakes import member


class Peers:
    """What is known of each peer, as a test sets it."""

    def __init__(self) -> None:
        self.health_by_address: dict[str, PeerHealth] = {}
        self.doubted_ms: list[int] = []

    def health_of(self, address: str) -> PeerHealth:
        return self.health_by_address.get(address, UNKNOWN_HEALTH)

    def doubt_answers(self, since_ms: int) -> None:
        self.doubted_ms.append(since_ms)

    def answer(self, address: str, now_ms: int) -> None:
        self.health_by_address[address] = PeerHealth(
            is_known=True, answered_ms=now_ms
        )


class Case:
    """Two listed instances, ``x`` and ``y``, of a new leader."""

    def __init__(self) -> None:
        self.clock = ManualClock(1_000)
        self.peers = Peers()
        self.candidates = AgentCandidates(self.peers, self.clock)

    def list_both(self) -> None:
        self.candidates.set_listed([member("x"), member("y")])

    def answer(self, *addresses: str) -> None:
        for address in addresses:
            self.peers.answer(address, self.clock.now_ms())

    def usable(self) -> tuple[set[str], bool]:
        found = self.candidates.now()
        return set(found.by_address), found.is_complete


def test_candidates_are_complete_once_all_have_answered() -> None:
    case = Case()
    assert case.usable() == (set(), False)
    case.list_both()
    case.answer("x")
    assert case.usable() == (set(), False)
    case.answer("y")
    assert case.usable() == ({"x", "y"}, True)


# One instance that does not answer would delay the whole fleet.
def test_candidates_are_not_kept_back_for_one_that_is_silent() -> None:
    case = Case()
    case.list_both()
    case.answer("x")
    case.clock.advance(SETTLE_MS)
    assert case.usable() == ({"x"}, False)
    case.clock.advance(MAX_PROBE_WAIT_MS - SETTLE_MS)
    assert case.usable() == ({"x"}, True)


def test_candidates_are_complete_without_any_answer_after_a_time() -> None:
    case = Case()
    case.list_both()
    case.clock.advance(MAX_PROBE_WAIT_MS)
    assert case.usable() == (set(), True)


def test_a_lost_agent_is_usable_again_after_an_answer_and_a_time() -> None:
    case = Case()
    case.list_both()
    case.answer("x", "y")
    case.candidates.record_loss("x", is_silent=True)
    assert case.peers.doubted_ms == [1_000]
    assert case.usable() == ({"y"}, True)
    case.clock.advance(LOST_AGENT_BACKOFF_MS)
    assert case.usable() == ({"y"}, True)
    case.answer("x")
    assert case.usable() == ({"x", "y"}, True)
    case.candidates.record_loss("x", is_silent=False)
    case.clock.advance(1)
    case.answer("x")
    assert case.usable() == ({"y"}, True)
    assert len(case.peers.doubted_ms) == 1
