from __future__ import annotations

import threading

from functools import partial
from typing import TYPE_CHECKING

import orjson
import pytest

from result import Err

from magnoliapitch.catalogue.entry import Limits
from magnoliapitch.clock import ManualClock
from magnoliapitch.standin.backend import BackendFault
from magnoliapitch.verdict import FailureCode
from magnoliapitch.verdict import Verdict
from tests.request.conftest import PATIENCE_MS
from tests.request.conftest import RequestCell
from tests.request.conftest import RequestCellShape


if TYPE_CHECKING:
    from collections.abc import Callable

    from magnoliapitch.request.dispatcher import Outcome


TWO_ZONES = RequestCellShape(("norte", "centro"), backends=1)
JOIN_TIMEOUT_S = 30


def _server_of(outcome: Outcome) -> str:
    return str(orjson.loads(outcome.unwrap().body)["server"])


def test_router_answers_with_the_result_of_an_own_server(
    make_cell: Callable[..., RequestCell],
) -> None:
    cell = make_cell(TWO_ZONES)
    answer = cell.execute(number=7).unwrap()
    assert answer.request_id == "r7"
    assert orjson.loads(answer.body)["echo"] == "b7"
    assert _server_of(cell.execute()).startswith("norte")


@pytest.mark.parametrize(
    ("entry", "code"),
    [("nothing", FailureCode.NOT_FOUND), ("roster", FailureCode.INVALID)],
)
def test_router_refuses_unknown_entries_and_entries_for_jobs(
    make_cell: Callable[..., RequestCell], entry: str, code: FailureCode
) -> None:
    cell = make_cell()
    if code is FailureCode.INVALID:
        with cell.cores[0].journal.locked_state() as state:
            versioned = state.catalogue_by_name["seat-check"]
            state.catalogue_by_name[entry] = versioned._replace(
                entry=versioned.entry._replace(app="")
            )
    failure = cell.execute(entry=entry).unwrap_err()
    assert (failure.verdict, failure.code) == (Verdict.NOT_RUN, code)


def test_router_without_servers_forwards_to_the_owner(
    make_cell: Callable[..., RequestCell],
) -> None:
    cell = make_cell(RequestCellShape(("norte", "centro"), entries_per_zone=2))
    for core in range(4):
        zone = cell.cores[core].identity.zone
        assert _server_of(cell.execute(core)).startswith(zone)


def test_router_forwards_to_another_zone_when_its_own_is_full(
    make_cell: Callable[..., RequestCell],
) -> None:
    cell = make_cell(TWO_ZONES)
    servers: list[str] = []

    def send_more(server_id: str) -> None:
        servers.append(server_id)
        if len(servers) < 4:
            cell.execute(number=len(servers) + 1).unwrap()

    cell.backends.on_send = send_more
    cell.execute().unwrap()
    assert servers[:2] == ["norte-runner-1"] * 2
    assert servers[2:] == ["centro-runner-1"] * 2


def test_router_never_forwards_a_forwarded_request(
    make_cell: Callable[..., RequestCell],
) -> None:
    cell = make_cell(TWO_ZONES)
    cell.backends.down = {"norte-runner-1"}
    router = cell.cores[0].router
    failure = router.execute_forwarded(cell.request(1)).unwrap_err()
    assert failure.verdict is Verdict.NOT_RUN
    assert cell.backends.history == []


def test_router_tries_another_peer_when_one_is_unreachable(
    make_cell: Callable[..., RequestCell],
) -> None:
    cell = make_cell(RequestCellShape(("norte", "centro", "sur"), backends=1))
    cell.backends.down = {"norte-runner-1"}
    cell.network.blocked_links.add(("10.0.0.1:8082", "10.0.0.2:8082"))
    assert _server_of(cell.execute()).startswith("sur")


def test_router_lets_a_request_wait_for_a_slot(
    make_cell: Callable[..., RequestCell],
) -> None:
    cell = make_cell(RequestCellShape(slots=1), threads=True)
    cell.run_in_background()
    may_finish = threading.Event()
    entered = threading.Event()
    outcomes: list[Outcome] = []

    def hold(server_id: str) -> None:
        entered.set()
        may_finish.wait(JOIN_TIMEOUT_S)

    cell.backends.on_send = hold
    first = cell.spawn(lambda: outcomes.append(cell.execute(number=1)))
    assert entered.wait(JOIN_TIMEOUT_S)
    second = cell.spawn(lambda: outcomes.append(cell.execute(number=2)))
    while cell.cores[0].router.dump()["waiting"] != {"clubes-app": 1}:
        assert second.is_alive()
    may_finish.set()
    first.join(JOIN_TIMEOUT_S)
    second.join(JOIN_TIMEOUT_S)
    assert [outcome.unwrap().request_id for outcome in outcomes] == [
        "r1",
        "r2",
    ]
    assert cell.backends.max_in_flight_by_server == {"norte-runner-1": 1}


def test_router_refuses_at_once_when_the_wait_exceeds_the_timeout(
    make_cell: Callable[..., RequestCell],
) -> None:
    cell = make_cell(RequestCellShape(slots=1))
    cell.backends.duration_ms = PATIENCE_MS - 100
    for number in range(40):
        cell.execute(number=number).unwrap()
    refused: list[tuple[int, Outcome]] = []

    def arrive(server_id: str) -> None:
        if not refused:
            refused.append((-1, Err(None)))  # type: ignore[arg-type]
            before_ms = cell.clock.now_ms()
            outcome = cell.execute(number=100)
            refused.append((cell.clock.now_ms() - before_ms, outcome))

    cell.backends.on_send = arrive
    cell.execute(number=99).unwrap()
    waited_ms, outcome = refused[1]
    failure = outcome.unwrap_err()
    assert waited_ms == 0
    assert failure.verdict is Verdict.NOT_RUN
    assert failure.retry_after_ms is not None
    assert 500 <= failure.retry_after_ms <= PATIENCE_MS
    assert [run.request_id for run in cell.backends.history].count("r100") == 0


def test_router_bounds_the_queue_of_an_entry(
    make_cell: Callable[..., RequestCell],
) -> None:
    cell = make_cell(RequestCellShape(slots=1))
    cell.put_entry("seat-check", 1, limits=Limits(queued=1))
    cell.settle()
    pool = cell.cores[0].router._pool
    with cell.cores[0].journal.locked_state() as state:
        entry = state.catalogue_by_name["seat-check"].entry
    deadline_ms = cell.clock.now_ms() + PATIENCE_MS
    assert pool.try_acquire(entry) is not None
    pool.enqueue(entry, deadline_ms).unwrap()
    failure = pool.enqueue(entry, deadline_ms).unwrap_err()
    assert failure.code is FailureCode.OVERLOADED
    assert failure.verdict is Verdict.NOT_RUN


@pytest.mark.parametrize(
    "fault", [BackendFault.LOSE_ANSWER, BackendFault.TRUNCATE_ANSWER]
)
def test_router_never_repeats_a_non_idempotent_request(
    make_cell: Callable[..., RequestCell], fault: BackendFault
) -> None:
    cell = make_cell(RequestCellShape(backends=3))
    for server_id in cell.server_ids():
        cell.backends.add_fault(server_id, fault)
    failure = cell.execute(entry="fee-match").unwrap_err()
    assert failure.verdict is Verdict.MAY_HAVE_RUN
    assert len(cell.backends.history) == 1


def test_router_repeats_an_idempotent_request(
    make_cell: Callable[..., RequestCell],
) -> None:
    cell = make_cell(RequestCellShape(backends=3))
    for server_id in cell.server_ids():
        cell.backends.add_fault(server_id, BackendFault.TRUNCATE_ANSWER)
    cell.execute().unwrap()
    assert len(cell.backends.history) == 4


def test_router_keeps_the_verdict_of_an_earlier_attempt(
    make_cell: Callable[..., RequestCell],
) -> None:
    cell = make_cell()
    cell.backends.add_fault("norte-runner-1", BackendFault.TRUNCATE_ANSWER)
    for _ in range(3):
        cell.backends.add_fault("norte-runner-1", BackendFault.REFUSE)
    failure = cell.execute().unwrap_err()
    assert failure.verdict is Verdict.MAY_HAVE_RUN
    assert len(cell.backends.history) == 1


def test_router_bounds_retries_by_a_budget(
    make_cell: Callable[..., RequestCell],
) -> None:
    cell = make_cell(RequestCellShape(backends=8))
    calls: list[str] = []
    cell.backends.on_send = calls.append
    count = 200
    for number in range(count):
        for server_id in cell.server_ids():
            if not cell.backends.faults_by_server.get(server_id):
                cell.backends.add_fault(server_id, BackendFault.REFUSE)
        cell.execute(number=number)
        assert isinstance(cell.clock, ManualClock)
        cell.clock.advance(20_000)
        cell.settle(1)
    assert len(calls) <= count + 50 + count // 5


def test_router_refuses_while_draining_and_finishes_requests_in_flight(
    make_cell: Callable[..., RequestCell],
) -> None:
    cell = make_cell()
    router = cell.cores[0].router
    seen: list[tuple[int, Outcome]] = []

    def drain(server_id: str) -> None:
        router.begin_drain()
        seen.append((router.in_flight(), cell.execute(number=2)))

    cell.backends.on_send = drain
    cell.execute(number=1).unwrap()
    in_flight, refused = seen[0]
    failure = refused.unwrap_err()
    assert in_flight == 1
    assert failure.verdict is Verdict.NOT_RUN
    assert failure.code is FailureCode.SHUTTING_DOWN
    assert router.in_flight() == 0
    assert isinstance(router.execute_forwarded(cell.request(3)), Err)


def test_router_keeps_slots_within_bounds_under_concurrent_load(
    make_cell: Callable[..., RequestCell],
) -> None:
    cell = make_cell(
        RequestCellShape(("norte", "centro"), entries_per_zone=2, backends=2),
        threads=True,
    )
    cell.run_in_background()
    cell.backends.duration_ms = 2
    outcomes: list[Outcome] = []

    def call(core: int) -> None:
        outcomes.extend(cell.execute(core, number) for number in range(25))

    threads = [cell.spawn(partial(call, n % 4)) for n in range(24)]
    for thread in threads:
        thread.join(JOIN_TIMEOUT_S)
    assert len(outcomes) == 600
    assert sum(outcome.is_ok() for outcome in outcomes) == len(
        cell.backends.history
    )
    assert max(cell.backends.max_in_flight_by_server.values()) <= 2
    assert all(
        outcome.unwrap_err().verdict is Verdict.NOT_RUN
        for outcome in outcomes
        if outcome.is_err()
    )
