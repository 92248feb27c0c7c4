from __future__ import annotations

import threading
import time

from typing import TYPE_CHECKING

from result import Err
from result import Ok
from result import Result

from magnoliapitch.clock import MonotonicClock
from magnoliapitch.control.delegation.agent import Agent
from magnoliapitch.control.delegation.router import WorkerRouter
from magnoliapitch.control.events import Event
from magnoliapitch.control.events import StartAnswered
from magnoliapitch.control.events import WorkerReported
from magnoliapitch.control.order_sender import OrderSender
from magnoliapitch.control.worker_group import WorkerGroup
from magnoliapitch.metric import Metrics
from magnoliapitch.verdict import FailureCode
from magnoliapitch.verdict import Verdict
from tests.control.delegation.fakes import AnsweringPeers
from tests.control.delegation.fakes import FakeWorkers
from tests.control.delegation.fakes import LossyAgents
from tests.control.delegation.fakes import member
from tests.control.delegation.fakes import start_order
from tests.control.delegation.fakes import worker


if TYPE_CHECKING:
    from collections.abc import Callable

    from magnoliapitch.verdict import Failure


WAIT_S = 15.0
WEAK_LEADER_CORES = 0.01


class Fleet:
    """A leader with two agents, ``x`` and ``y``, and one worker ``w``."""

    def __init__(self) -> None:
        self.clock = MonotonicClock()
        self.workers = FakeWorkers()
        self.agents = LossyAgents()
        self.events: list[Event] = []
        for address in ("x", "y"):
            self.agents.agent_by_address[address] = Agent(
                self.workers,  # type: ignore[arg-type]
                self.clock,
                self._order_sender(),
            )
        self.router = self.new_router(7)
        self.router.set_agents([member("x", "a", 2.0), member("y", "a")])
        self.router.start_lease_renewal(worker("w"), 7)
        self.router.assign()

    def new_router(self, epoch: int) -> WorkerRouter:
        local_group = WorkerGroup(
            self.workers,  # type: ignore[arg-type]
            self.clock,
            self._order_sender(),
            lambda *_: 1_000,
            self.events.append,
        )
        return WorkerRouter(
            epoch,
            local_group,
            self.agents,  # type: ignore[arg-type]
            AnsweringPeers(self.clock),
            self.clock,
            WEAK_LEADER_CORES,
            self.events.append,
        )

    def wait_until(self, is_reached: Callable[[], object]) -> None:
        end_s = time.monotonic() + WAIT_S
        while not is_reached():
            assert time.monotonic() < end_s
            time.sleep(0.01)

    def failures(self) -> list[object]:
        return [
            event.outcome.err_value
            for event in list(self.events)
            if isinstance(event, WorkerReported | StartAnswered)
            and isinstance(event.outcome, Err)
        ]

    def answers(self) -> list[StartAnswered]:
        return [
            event
            for event in list(self.events)
            if isinstance(event, StartAnswered)
        ]

    def _order_sender(self) -> OrderSender:
        return OrderSender(self.workers, self.clock, Metrics())  # type: ignore[arg-type]


def test_orders_go_through_the_agent_even_if_a_reply_is_lost() -> None:
    fleet = Fleet()
    fleet.agents.replies_to_lose = 2
    fleet.router.start(worker("w"), *start_order(0, "w"))
    fleet.wait_until(fleet.answers)
    assert len(fleet.workers.started) == 1
    fleet.router.close()


def test_the_workers_of_a_lost_agent_get_another_one() -> None:
    fleet = Fleet()
    fleet.wait_until(lambda: fleet.events)
    fleet.agents.silent_addresses = {"x"}
    fleet.router.start(worker("w"), *start_order(0, "w"))
    fleet.wait_until(fleet.answers)
    (answer,) = fleet.answers()
    assert isinstance(answer.outcome, Err)
    assert answer.outcome.err_value.verdict is Verdict.MAY_HAVE_RUN
    fleet.events.clear()
    fleet.router.start(worker("w"), *start_order(1, "w"))
    fleet.wait_until(fleet.answers)
    assert fleet.answers()[0].outcome.is_ok()
    fleet.router.close()


def test_an_agent_that_leaves_passes_its_workers_on() -> None:
    fleet = Fleet()
    fleet.wait_until(lambda: fleet.events)
    fleet.router.set_agents([member("y", "a")])
    fleet.router.start(worker("w"), *start_order(0, "w"))
    fleet.wait_until(fleet.answers)
    assert fleet.answers()[0].outcome.is_ok()
    assert fleet.failures() == []
    fleet.router.close()


def test_a_former_leader_learns_from_its_agent_that_it_is_replaced() -> None:
    fleet = Fleet()
    fleet.wait_until(lambda: fleet.events)
    successor = fleet.new_router(8)
    successor.set_agents([member("x", "a", 2.0)])
    successor.start_lease_renewal(worker("w"), 8)
    successor.assign()
    fleet.wait_until(fleet.failures)
    codes = {failure.code for failure in fleet.failures()}  # type: ignore[attr-defined]
    assert codes == {FailureCode.FENCED}
    fleet.router.close()
    successor.close()


def test_orders_in_flight_count_against_what_may_be_sent_now() -> None:
    fleet = Fleet()
    try:
        limit = fleet.router.max_start_orders()
        assert limit == fleet.router.available_start_orders()
        fleet.agents.silent_addresses.update(("x", "y"))
        for position in range(5):
            order = start_order(position, "w")
            fleet.router.start(worker("w"), *order)
        assert fleet.router.available_start_orders() == limit - 5
        assert fleet.router.max_start_orders() == limit
    finally:
        fleet.router.close()


# The room of an agent that was not reached yet was used for orders to another
# one, beyond the limit of that one.
def test_an_agent_gets_no_orders_for_one_that_is_not_reached_yet() -> None:
    fleet = Fleet()
    try:
        fleet.wait_until(lambda: fleet.events)
        limit = fleet.router.max_start_orders()
        fleet.agents.silent_addresses.add("y")
        fleet.router.set_agents([member("x", "a", 2.0), member("y", "b")])
        fleet.router.start_lease_renewal(worker("v", "b"), 7)
        fleet.router.assign()
        assert fleet.router.available_start_orders() == limit
        assert fleet.router.max_start_orders() == limit
        fleet.agents.silent_addresses.clear()
        fleet.wait_until(lambda: fleet.router.max_start_orders() > limit)
    finally:
        fleet.router.close()


# A leader took itself for replaced: an agent without workers, but with an
# order still unanswered, got a worker again and so a second session.
def test_an_agent_that_is_used_again_at_once_replaces_no_leader() -> None:
    fleet = Fleet()
    fleet.wait_until(lambda: fleet.events)
    has_begun, may_end = threading.Event(), threading.Event()

    def start(*_: object) -> Result[int, Failure]:
        has_begun.set()
        return Ok(int(may_end.wait(WAIT_S)))

    fleet.workers.start = start  # type: ignore[assignment, method-assign]
    fleet.router.start(worker("w"), *start_order(0, "w"))
    assert has_begun.wait(WAIT_S)
    fleet.router.set_agents([member("y", "a")])
    fleet.events.clear()
    fleet.wait_until(lambda: fleet.events)
    fleet.router.set_agents([member("x", "a", 2.0)])
    fleet.events.clear()
    fleet.wait_until(lambda: len(fleet.events) >= 2)
    may_end.set()
    fleet.wait_until(fleet.answers)
    fleet.router.close()
    assert fleet.failures() == []
