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
from tests.request.conftest import RequestCluster
from tests.request.conftest import RequestClusterShape


if TYPE_CHECKING:
    from collections.abc import Callable

    from magnoliapitch.request.dispatcher import Outcome


TWO_ZONES = RequestClusterShape(("norte", "centro"), backends=1)
JOIN_TIMEOUT_S = 30


def _server_of(outcome: Outcome) -> str:
    return str(orjson.loads(outcome.unwrap().body)["server"])


def test_router_answers_with_the_result_of_an_own_server(
    make_cluster: Callable[..., RequestCluster],
) -> None:
    cluster = make_cluster(TWO_ZONES)
    answer = cluster.execute(number=7).unwrap()
    assert answer.request_id == "r7"
    assert orjson.loads(answer.body)["echo"] == "b7"
    assert _server_of(cluster.execute()).startswith("norte")


@pytest.mark.parametrize(
    ("entry", "code"),
    [("nothing", FailureCode.NOT_FOUND), ("roster", FailureCode.INVALID)],
)
def test_router_refuses_unknown_entries_and_entries_for_jobs(
    make_cluster: Callable[..., RequestCluster], entry: str, code: FailureCode
) -> None:
    cluster = make_cluster()
    if code is FailureCode.INVALID:
        with cluster.cores[0].journal.locked_state() as state:
            versioned = state.catalogue_by_name["seat-check"]
            state.catalogue_by_name[entry] = versioned._replace(
                entry=versioned.entry._replace(app="")
            )
    failure = cluster.execute(entry=entry).unwrap_err()
    assert (failure.verdict, failure.code) == (Verdict.NOT_RUN, code)


def test_router_without_servers_forwards_to_the_owner(
    make_cluster: Callable[..., RequestCluster],
) -> None:
    cluster = make_cluster(
        RequestClusterShape(("norte", "centro"), entries_per_zone=2)
    )
    for core in range(4):
        zone = cluster.cores[core].identity.zone
        assert _server_of(cluster.execute(core)).startswith(zone)


def test_router_forwards_to_another_zone_when_its_own_is_full(
    make_cluster: Callable[..., RequestCluster],
) -> None:
    cluster = make_cluster(TWO_ZONES)
    servers: list[str] = []

    def send_more(server_id: str) -> None:
        servers.append(server_id)
        if len(servers) < 4:
            cluster.execute(number=len(servers) + 1).unwrap()

    cluster.backends.on_send = send_more
    cluster.execute().unwrap()
    assert servers[:2] == ["norte-runner-1"] * 2
    assert servers[2:] == ["centro-runner-1"] * 2


def test_router_never_forwards_a_forwarded_request(
    make_cluster: Callable[..., RequestCluster],
) -> None:
    cluster = make_cluster(TWO_ZONES)
    cluster.backends.down = {"norte-runner-1"}
    router = cluster.cores[0].router
    failure = router.execute_forwarded(cluster.request(1)).unwrap_err()
    assert failure.verdict is Verdict.NOT_RUN
    assert cluster.backends.history == []


def test_router_tries_another_peer_when_one_is_unreachable(
    make_cluster: Callable[..., RequestCluster],
) -> None:
    cluster = make_cluster(
        RequestClusterShape(("norte", "centro", "sur"), backends=1)
    )
    cluster.backends.down = {"norte-runner-1"}
    cluster.network.blocked_links.add(("10.0.0.1:8082", "10.0.0.2:8082"))
    assert _server_of(cluster.execute()).startswith("sur")


def test_router_lets_a_request_wait_for_a_slot(
    make_cluster: Callable[..., RequestCluster],
) -> None:
    cluster = make_cluster(RequestClusterShape(slots=1), threads=True)
    cluster.run_in_background()
    may_finish = threading.Event()
    entered = threading.Event()
    outcomes: list[Outcome] = []

    def hold(server_id: str) -> None:
        entered.set()
        may_finish.wait(JOIN_TIMEOUT_S)

    cluster.backends.on_send = hold
    first = cluster.spawn(lambda: outcomes.append(cluster.execute(number=1)))
    assert entered.wait(JOIN_TIMEOUT_S)
    second = cluster.spawn(lambda: outcomes.append(cluster.execute(number=2)))
    while cluster.cores[0].router.dump()["waiting"] != {"clubes-app": 1}:
        assert second.is_alive()
    may_finish.set()
    first.join(JOIN_TIMEOUT_S)
    second.join(JOIN_TIMEOUT_S)
    assert [outcome.unwrap().request_id for outcome in outcomes] == [
        "r1",
        "r2",
    ]
    assert cluster.backends.max_in_flight_by_server == {"norte-runner-1": 1}


def test_router_refuses_at_once_when_the_wait_exceeds_the_timeout(
    make_cluster: Callable[..., RequestCluster],
) -> None:
    cluster = make_cluster(RequestClusterShape(slots=1))
    cluster.backends.duration_ms = PATIENCE_MS - 100
    for number in range(40):
        cluster.execute(number=number).unwrap()
    refused: list[tuple[int, Outcome]] = []

    def arrive(server_id: str) -> None:
        if not refused:
            refused.append((-1, Err(None)))  # type: ignore[arg-type]
            before_ms = cluster.clock.now_ms()
            outcome = cluster.execute(number=100)
            refused.append((cluster.clock.now_ms() - before_ms, outcome))

    cluster.backends.on_send = arrive
    cluster.execute(number=99).unwrap()
    waited_ms, outcome = refused[1]
    failure = outcome.unwrap_err()
    assert waited_ms == 0
    assert failure.verdict is Verdict.NOT_RUN
    assert failure.retry_after_ms is not None
    assert 500 <= failure.retry_after_ms <= PATIENCE_MS
    assert [run.request_id for run in cluster.backends.history].count(
        "r100"
    ) == 0


def test_router_bounds_the_queue_of_an_entry(
    make_cluster: Callable[..., RequestCluster],
) -> None:
    cluster = make_cluster(RequestClusterShape(slots=1))
    cluster.put_entry("seat-check", 1, limits=Limits(queued=1))
    cluster.settle()
    pool = cluster.cores[0].router._pool
    with cluster.cores[0].journal.locked_state() as state:
        entry = state.catalogue_by_name["seat-check"].entry
    deadline_ms = cluster.clock.now_ms() + PATIENCE_MS
    assert pool.try_acquire(entry) is not None
    pool.enqueue(entry, deadline_ms).unwrap()
    failure = pool.enqueue(entry, deadline_ms).unwrap_err()
    assert failure.code is FailureCode.OVERLOADED
    assert failure.verdict is Verdict.NOT_RUN


@pytest.mark.parametrize(
    "fault", [BackendFault.LOSE_RESPONSE, BackendFault.TRUNCATE_RESPONSE]
)
def test_router_never_repeats_a_non_idempotent_request(
    make_cluster: Callable[..., RequestCluster], fault: BackendFault
) -> None:
    cluster = make_cluster(RequestClusterShape(backends=3))
    for server_id in cluster.server_ids():
        cluster.backends.add_fault(server_id, fault)
    failure = cluster.execute(entry="fee-match").unwrap_err()
    assert failure.verdict is Verdict.MAY_HAVE_RUN
    assert len(cluster.backends.history) == 1


def test_router_repeats_an_idempotent_request(
    make_cluster: Callable[..., RequestCluster],
) -> None:
    cluster = make_cluster(RequestClusterShape(backends=3))
    for server_id in cluster.server_ids():
        cluster.backends.add_fault(server_id, BackendFault.TRUNCATE_RESPONSE)
    cluster.execute().unwrap()
    assert len(cluster.backends.history) == 4


def test_router_keeps_the_verdict_of_an_earlier_attempt(
    make_cluster: Callable[..., RequestCluster],
) -> None:
    cluster = make_cluster()
    cluster.backends.add_fault(
        "norte-runner-1", BackendFault.TRUNCATE_RESPONSE
    )
    for _ in range(3):
        cluster.backends.add_fault("norte-runner-1", BackendFault.REFUSE)
    failure = cluster.execute().unwrap_err()
    assert failure.verdict is Verdict.MAY_HAVE_RUN
    assert len(cluster.backends.history) == 1


def test_router_bounds_retries_by_a_budget(
    make_cluster: Callable[..., RequestCluster],
) -> None:
    cluster = make_cluster(RequestClusterShape(backends=8))
    calls: list[str] = []
    cluster.backends.on_send = calls.append
    count = 200
    for number in range(count):
        for server_id in cluster.server_ids():
            if not cluster.backends.faults_by_server.get(server_id):
                cluster.backends.add_fault(server_id, BackendFault.REFUSE)
        cluster.execute(number=number)
        assert isinstance(cluster.clock, ManualClock)
        cluster.clock.advance(20_000)
        cluster.settle(1)
    assert len(calls) <= count + 50 + count // 5


def test_router_refuses_while_draining_and_finishes_requests_in_flight(
    make_cluster: Callable[..., RequestCluster],
) -> None:
    cluster = make_cluster()
    router = cluster.cores[0].router
    seen: list[tuple[int, Outcome]] = []

    def drain(server_id: str) -> None:
        router.begin_drain()
        seen.append((router.in_flight(), cluster.execute(number=2)))

    cluster.backends.on_send = drain
    cluster.execute(number=1).unwrap()
    in_flight, refused = seen[0]
    failure = refused.unwrap_err()
    assert in_flight == 1
    assert failure.verdict is Verdict.NOT_RUN
    assert failure.code is FailureCode.SHUTTING_DOWN
    assert router.in_flight() == 0
    assert isinstance(router.execute_forwarded(cluster.request(3)), Err)


def test_router_keeps_slots_within_bounds_under_concurrent_load(
    make_cluster: Callable[..., RequestCluster],
) -> None:
    cluster = make_cluster(
        RequestClusterShape(
            ("norte", "centro"), entries_per_zone=2, backends=2
        ),
        threads=True,
    )
    cluster.run_in_background()
    cluster.backends.duration_ms = 2
    outcomes: list[Outcome] = []

    def call(core: int) -> None:
        outcomes.extend(cluster.execute(core, number) for number in range(25))

    threads = [cluster.spawn(partial(call, n % 4)) for n in range(24)]
    for thread in threads:
        thread.join(JOIN_TIMEOUT_S)
    assert len(outcomes) == 600
    assert sum(outcome.is_ok() for outcome in outcomes) == len(
        cluster.backends.history
    )
    assert max(cluster.backends.max_in_flight_by_server.values()) <= 2
    assert all(
        outcome.unwrap_err().verdict is Verdict.NOT_RUN
        for outcome in outcomes
        if outcome.is_err()
    )
