"""Instances that are listed, but answer nothing, as agents; virtual time."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any
from typing import cast

import pytest

from magnoliapitch.clock import ManualClock
from magnoliapitch.control.delegation import router as router_module
from magnoliapitch.control.delegation.link import LOST_AFTER_MS
from magnoliapitch.control.delegation.link import RETRY_DELAY_MS
from magnoliapitch.control.delegation.router import WorkerRouter
from magnoliapitch.http.client import MAX_CONNECT_TIMEOUT_MS
from magnoliapitch.verdict import FailureCode
from magnoliapitch.verdict import not_run
from tests.control.delegation.fakes import member
from tests.control.delegation.fakes import worker


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator

    from magnoliapitch.control.delegation.session import AgentSession
    from magnoliapitch.control.events import Event
    from magnoliapitch.ledger.members import Member
    from magnoliapitch.verdict import Failure


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
    """A new leader's router, with instances of which some are silent."""

    def __init__(self, agents: list[Member], silent: set[str]) -> None:
        self.clock = ManualClock(1_000)
        self.events: list[Event] = []
        self._agents = agents
        self._silent = silent
        self._router = WorkerRouter(
            7,
            cast("Any", None),
            cast("Any", None),
            self.clock,
            WEAK_LEADER_CORES,
            self.events.append,
        )
        self._router.set_agents(agents)
        for number in range(8):
            self._router.start_lease_renewal(worker(f"w{number}"), 7)

    def silent_ms(self, duration_ms: int) -> int:
        """Run for a time; return how long a silent agent had the workers."""
        silent_ms = 0
        for now_ms in range(0, duration_ms, STEP_MS):
            if now_ms % UPKEEP_MS == 0:
                self._router.set_agents(self._agents)
            for link in tuple(OPENED):
                age_ms = self.clock.now_ms() - link.opened_ms
                if link.address in self._silent and age_ms >= GIVEN_UP_MS:
                    link.give_up()
            used = {
                link.address
                for link in OPENED
                if not (link.is_stopped or link.session.is_idle)
            }
            silent_ms += STEP_MS * bool(used & self._silent)
            self.clock.advance(STEP_MS)
        return silent_ms


# A worker whose zone has no other agent than one without power was taken from
# its working agent each 5 s, and nobody called it until that one was given up.
def test_workers_do_not_return_to_an_agent_that_is_silent() -> None:
    fleet = Fleet([member("x", "a"), member("y", "b")], {"x"})
    assert LOST_AFTER_MS < fleet.silent_ms(2_500) < MAX_STANDSTILL_MS
    assert fleet.silent_ms(60_000) == 0


# A new leader gives workers to one agent without power after the other, for
# as many as are listed.
@pytest.mark.parametrize("silent_count", [1, 2, 3])
def test_silent_agents_do_not_follow_each_other(silent_count: int) -> None:
    agents = [member(f"x{number}", "a") for number in range(5)]
    silent = {agent.address for agent in agents[:silent_count]}
    fleet = Fleet(agents, silent)
    assert fleet.silent_ms(20_000) < MAX_STANDSTILL_MS
