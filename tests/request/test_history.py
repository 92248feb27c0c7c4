from __future__ import annotations

import random

from typing import TYPE_CHECKING

import orjson
import pytest

from magnoliapitch.clock import ManualClock
from magnoliapitch.history.request import ExecutionEnded
from magnoliapitch.history.request import ExecutionStarted
from magnoliapitch.history.request import RequestEvent
from magnoliapitch.history.request import RequestSent
from magnoliapitch.history.request import ResponseReceived
from magnoliapitch.history.request import check_requests
from magnoliapitch.standin.backend import BackendFault
from tests.request.conftest import RequestClusterShape


if TYPE_CHECKING:
    from collections.abc import Callable

    from tests.request.conftest import RequestCluster


SEEDS = range(60)
STEPS = 60
SHAPE = RequestClusterShape(
    ("norte", "centro"), entries_per_zone=2, backends=2
)


class Schedule:
    """Requests with and without tickets, mixed with faults, from a seed."""

    def __init__(self, cluster: RequestCluster, seed: int) -> None:
        self.cluster = cluster
        self.random = random.Random(seed)
        self.events: list[RequestEvent] = []
        self.running = list(range(len(cluster.cores)))
        self.sent: list[tuple[str, str]] = []
        cluster.backends.observer = self.observe

    def observe(self, request_id: str, server: str, is_start: bool) -> None:
        kind = ExecutionStarted if is_start else ExecutionEnded
        self.events.append(kind(request_id, server))

    def run(self) -> None:
        actions = (
            *[self.send_new] * 6,
            *[self.send_again] * 4,
            self.break_server,
            self.toggle_link,
            self.toggle_log,
            self.pass_time,
            self.stop_instance,
        )
        for _ in range(STEPS):
            self.random.choice(actions)()

    def send_new(self) -> None:
        core = self.cluster.cores[self.random.choice(self.running)]
        entry = self.random.choice(("seat-check", "fee-match"))
        ticket = ""
        if self.random.random() < 0.7:
            ticket = str(core.router.issue_ticket(entry).unwrap())
            self.sent.append((ticket, entry))
        self.send(ticket, entry)

    def send_again(self) -> None:
        if self.sent:
            self.send(*self.random.choice(self.sent))

    def send(self, ticket: str, entry: str) -> None:
        attempt = f"r{len(self.events)}"
        name = ticket or attempt
        request = self.cluster.request(1, entry, ticket=ticket)._replace(
            request_id=attempt, body=name.encode()
        )
        self.events.append(
            RequestSent(attempt, name, request.body, entry == "seat-check")
        )
        core = self.cluster.cores[self.random.choice(self.running)]
        outcome = core.router.execute(request)
        if outcome.is_err():
            verdict = outcome.unwrap_err().verdict
            self.events.append(ResponseReceived(attempt, verdict))
            return
        echo = orjson.loads(outcome.unwrap().body)["echo"]
        self.events.append(ResponseReceived(attempt, None, echo.encode()))

    def break_server(self) -> None:
        zone = self.random.choice(SHAPE.zones)
        server = self.random.choice(self.cluster.server_ids(zone))
        fault = self.random.choice(list(BackendFault))
        self.cluster.backends.add_fault(server, fault)

    def toggle_link(self) -> None:
        addresses = sorted(self.cluster.network.handlers_by_address)
        pair = self.random.choice(addresses), self.random.choice(addresses)
        self.cluster.network.blocked_links ^= {pair}

    def toggle_log(self) -> None:
        self.cluster.standins.log.down = not self.cluster.standins.log.down

    def pass_time(self) -> None:
        assert isinstance(self.cluster.clock, ManualClock)
        self.cluster.clock.advance(self.random.choice((50, 1_000, 5_000)))
        for number in self.running:
            for item in self.cluster.cores[number].steps():
                item.step()

    def stop_instance(self) -> None:
        if len(self.running) > 2 and self.random.random() < 0.3:
            number = self.random.choice(self.running)
            self.running.remove(number)
            address = self.cluster.cores[number].identity.peer_address
            self.cluster.network.handlers_by_address.pop(address)


@pytest.mark.parametrize("seed", SEEDS)
def test_requests_keep_every_guarantee_under_faults(
    make_cluster: Callable[..., RequestCluster], seed: int
) -> None:
    schedule = Schedule(make_cluster(SHAPE), seed)
    schedule.run()
    assert check_requests(schedule.events, SHAPE.slots) == ()
    results = [
        event
        for event in schedule.events
        if isinstance(event, ResponseReceived) and event.verdict is None
    ]
    assert results
