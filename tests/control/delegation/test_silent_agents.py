"""Instances that are listed, but answer nothing, as agents; virtual time."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any
from typing import cast

import pytest

from result import Err
from result import Ok
from result import Result

from magnoliapitch.advice import AdvisorChannelPool
from magnoliapitch.advice.channels import PROBE_TIMEOUT_MS
from magnoliapitch.clock import ManualClock
from magnoliapitch.control.delegation import router as router_module
from magnoliapitch.control.delegation.candidates import MAX_PROBE_WAIT_MS
from magnoliapitch.control.delegation.candidates import SETTLE_MS
from magnoliapitch.control.delegation.link import LOST_AFTER_MS
from magnoliapitch.control.delegation.link import RETRY_DELAY_MS
from magnoliapitch.control.delegation.router import WorkerRouter
from magnoliapitch.http.client import MAX_CONNECT_TIMEOUT_MS
from magnoliapitch.http.client import HttpReply
from magnoliapitch.verdict import FailureCode
from magnoliapitch.verdict import not_run
from tests.control.delegation.fakes import member
from tests.control.delegation.fakes import worker


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator

    from magnoliapitch.advice.channel import PeerChannel
    from magnoliapitch.control.delegation.session import AgentSession
    from magnoliapitch.control.events import Event
    from magnoliapitch.ledger.members import Member
    from magnoliapitch.verdict import Failure


START_MS = 1_000
WORKER_COUNT = 8
WEAK_LEADER_CORES = 0.01
UPKEEP_MS = 500
STEP_MS = 50
# A task may stand for this time beside free workers (rule LOST).
MAX_STANDSTILL_MS = 3_000
# When a link gives up an agent to which no connection can be made: at the
# first call that fails later than LOST_AFTER_MS, here the third.
GIVEN_UP_MS = 3 * MAX_CONNECT_TIMEOUT_MS + 2 * RETRY_DELAY_MS


class FakeLink:
    """Link that gives its agent up as a real one does, without threads."""

    def __init__(
        self,
        address: str,
        session: AgentSession,
        _client: object,
        clock: ManualClock,
        _interval_ms: object,
        on_lost: Callable[[str, Failure], None],
    ) -> None:
        self.address = address
        self.session = session
        self.opened_ms = clock.now_ms()
        self.is_stopped = False
        self._on_lost = on_lost

    def start(self) -> None:
        OPENED.append(self)

    def stop(self) -> None:
        self.is_stopped = True

    def give_up(self) -> None:
        if not self.is_stopped:
            self.is_stopped = True
            failure = not_run(FailureCode.UNAVAILABLE, "no connection")
            self._on_lost(self.address, failure)


OPENED: list[FakeLink] = []


@pytest.fixture(autouse=True)
def _fake_links(monkeypatch: pytest.MonkeyPatch) -> Iterator[None]:
    OPENED.clear()
    monkeypatch.setattr(router_module, "AgentLink", FakeLink)
    yield
    OPENED.clear()


class Fleet:
    """A new leader's router, with instances of which some become silent.

    :ivar silent_since_ms: when they become silent, from the start on.
    :ivar answering_from_ms: when they answer again.
    """

    def __init__(
        self, agents: list[Member], silent: set[str], silent_since_ms: int = 0
    ) -> None:
        self.clock = ManualClock(START_MS)
        self.events: list[Event] = []
        self.silent_since_ms = silent_since_ms
        self.answering_from_ms = 1_000_000
        self._agents = agents
        self._silent_addresses = silent
        self._probes: list[tuple[int, PeerChannel]] = []
        self._pool = AdvisorChannelPool(
            cast("Any", None), cast("Any", self), self.clock
        )
        self._router = WorkerRouter(
            7,
            cast("Any", None),
            cast("Any", None),
            self._pool,
            self.clock,
            WEAK_LEADER_CORES,
            self.events.append,
        )
        for number in range(WORKER_COUNT):
            self._router.start_lease_renewal(worker(f"w{number}"), 7)

    def exchange(
        self, _method: str, url: str, _timeout_ms: int
    ) -> Result[HttpReply, Failure]:
        """Answer a probe, or end it without an answer."""
        if url.split("/")[2] in self._silent():
            return Err(not_run(FailureCode.UNAVAILABLE, "no connection"))
        return Ok(HttpReply(405, b""))

    def uncalled_ms(self, duration_ms: int) -> int:
        """Run for a time; return how long some worker had no caller.

        The leader calls no worker itself.
        """
        uncalled_ms = 0
        begin_ms = self.clock.now_ms()
        while self.clock.now_ms() < begin_ms + duration_ms:
            self._step()
            callers = self.callers()
            assert len(callers) == len({worker for worker, _ in callers})
            called = [
                worker_id
                for worker_id, address in callers
                if address not in self._silent()
            ]
            uncalled_ms += STEP_MS * (len(called) < WORKER_COUNT)
            self.clock.advance(STEP_MS)
        return uncalled_ms

    def callers(self) -> list[tuple[str, str]]:
        """Return each worker with the address of each of its agents."""
        return [
            (worker_id, link.address)
            for link in OPENED
            if not link.is_stopped
            for worker_id in link.session._worker_ids
        ]

    def _step(self) -> None:
        if (self.clock.now_ms() - START_MS) % UPKEEP_MS == 0:
            self._pool.set_peers(agent.address for agent in self._agents)
            self._router.set_agents(self._agents)
        self._give_up_silent()
        self._probe()
        if self._router.is_waiting:
            self._router.assign()

    def _silent(self) -> set[str]:
        elapsed_ms = self.clock.now_ms() - START_MS
        if self.silent_since_ms <= elapsed_ms < self.answering_from_ms:
            return self._silent_addresses
        return set()

    def _give_up_silent(self) -> None:
        for link in tuple(OPENED):
            answered_ms = max(link.opened_ms, START_MS + self.silent_since_ms)
            silent_ms = self.clock.now_ms() - answered_ms
            if link.address in self._silent() and silent_ms >= GIVEN_UP_MS:
                link.give_up()

    def _probe(self) -> None:
        """Begin the probes that are due, and end those that are answered."""
        end_ms = self.clock.now_ms() + PROBE_TIMEOUT_MS
        self._probes += [(end_ms, due) for due in self._pool.due_probes()]
        under_way, self._probes = self._probes, []
        for end_ms, channel in under_way:
            is_silent = channel.name in self._silent()
            if is_silent and self.clock.now_ms() < end_ms:
                self._probes.append((end_ms, channel))
            else:
                self._pool.probe(channel)


# A worker whose zone has no other agent than one without power was taken from
# its working agent each 5 s, and nobody called it until that one was given up.
def test_workers_do_not_return_to_an_agent_that_is_silent() -> None:
    agents = [member("x", "a"), member("y", "b")]
    fleet = Fleet(agents, {"x"}, silent_since_ms=1_000)
    assert LOST_AFTER_MS < fleet.uncalled_ms(4_000) < MAX_STANDSTILL_MS
    assert fleet.uncalled_ms(60_000) == 0


def test_workers_return_to_an_agent_that_answers_again() -> None:
    agents = [member("x", "a"), member("y", "b")]
    fleet = Fleet(agents, {"x"}, silent_since_ms=1_000)
    fleet.answering_from_ms = 10_000
    fleet.uncalled_ms(10_000)
    assert {address for _, address in fleet.callers()} == {"y"}
    fleet.uncalled_ms(3_000)
    assert {address for _, address in fleet.callers()} == {"x"}


# A new leader gives workers to one agent without power after the other, for
# as many as are listed.
@pytest.mark.parametrize("silent_count", [1, 2, 3])
def test_silent_agents_do_not_follow_each_other(silent_count: int) -> None:
    agents = [member(f"x{number}", "a") for number in range(5)]
    silent = {agent.address for agent in agents[:silent_count]}
    fleet = Fleet(agents, silent)
    assert fleet.uncalled_ms(20_000) <= SETTLE_MS + STEP_MS


# As above, for agents that lose their power together while they are used.
@pytest.mark.parametrize("silent_count", [1, 2, 3])
def test_agents_lost_together_do_not_follow_each_other(
    silent_count: int,
) -> None:
    agents = [member(f"x{number}", "a") for number in range(5)]
    silent = {agent.address for agent in agents[:silent_count]}
    fleet = Fleet(agents, silent, silent_since_ms=2_000)
    assert LOST_AFTER_MS < fleet.uncalled_ms(20_000) < MAX_STANDSTILL_MS


# A leader would call a whole large fleet itself until the first probe is
# answered.
def test_workers_wait_until_it_is_known_who_answers() -> None:
    fleet = Fleet([member("x", "a"), member("y", "a")], {"x"})
    assert fleet.uncalled_ms(SETTLE_MS) == SETTLE_MS
    assert fleet.uncalled_ms(MAX_PROBE_WAIT_MS) == 0
