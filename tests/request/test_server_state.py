from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from magnoliapitch.clock import ManualClock
from magnoliapitch.request.server_state import BACKOFF_FIRST_MS
from magnoliapitch.request.server_state import BACKOFF_MAX_MS
from magnoliapitch.request.server_state import FAILURE_COUNT_TO_OPEN
from magnoliapitch.request.server_state import LEAVING_EXCLUSION_MS
from magnoliapitch.standin.backend import BackendFault
from tests.request.conftest import PATIENCE_MS
from tests.request.conftest import RequestClusterShape


if TYPE_CHECKING:
    from collections.abc import Callable

    from tests.request.conftest import RequestCluster


WITHIN_EXCLUSION_MS = 3_000
SERVER = "norte-runner-1"


def _advance(cluster: RequestCluster, duration_ms: int) -> None:
    assert isinstance(cluster.clock, ManualClock)
    cluster.clock.advance(duration_ms)
    cluster.settle(1)


def _run_count(cluster: RequestCluster) -> int:
    return sum(run.server_id == SERVER for run in cluster.backends.history)


@pytest.mark.parametrize("how", ["list", "header", "refusal", "connection"])
def test_server_that_leaves_gets_no_new_requests(
    make_cluster: Callable[..., RequestCluster], how: str
) -> None:
    cluster = make_cluster(RequestClusterShape(backends=2))
    if how == "list":
        cluster.mark_leaving(SERVER)
        cluster.settle(1)
    elif how == "header":
        cluster.backends.add_fault(SERVER, BackendFault.ANNOUNCE_LEAVING)
    elif how == "refusal":
        cluster.backends.leaving.add(SERVER)
    else:
        cluster.backends.down.add(SERVER)
    for number in range(4):
        cluster.execute(number=number).unwrap()
    runs = _run_count(cluster)
    assert runs <= 1
    for number in range(60):
        _advance(cluster, 500)
        cluster.execute(number=number).unwrap()
    assert _run_count(cluster) == runs


def test_server_is_probed_again_after_a_backoff(
    make_cluster: Callable[..., RequestCluster],
) -> None:
    cluster = make_cluster()
    calls: list[str] = []
    cluster.backends.on_send = calls.append
    cluster.backends.down.add(SERVER)
    assert cluster.execute().is_err()
    assert len(calls) == 1 + PATIENCE_MS // (2 * BACKOFF_FIRST_MS)
    cluster.backends.down.clear()
    _advance(cluster, 4 * BACKOFF_FIRST_MS)
    cluster.execute().unwrap()
    assert cluster.cores[0].router.free_slots("norte-clubes-app-1") == 2


def test_server_that_keeps_failing_is_only_probed(
    make_cluster: Callable[..., RequestCluster],
) -> None:
    cluster = make_cluster(RequestClusterShape(backends=2))
    for _ in range(40):
        cluster.backends.add_fault(SERVER, BackendFault.TRUNCATE_RESPONSE)
    for number in range(40):
        cluster.execute(number=number, entry="fee-match")
        _advance(cluster, 2_000)
    assert _run_count(cluster) == FAILURE_COUNT_TO_OPEN
    for number in range(40):
        cluster.execute(number=number).unwrap()
        _advance(cluster, 2_000)
    probes = 4 + 80_000 // BACKOFF_MAX_MS
    assert (
        FAILURE_COUNT_TO_OPEN
        < _run_count(cluster)
        <= FAILURE_COUNT_TO_OPEN + probes
    )


def test_server_keeps_the_slot_of_a_request_that_timed_out(
    make_cluster: Callable[..., RequestCluster],
) -> None:
    cluster = make_cluster()
    unit = "norte-clubes-app-1"
    cluster.backends.add_fault(SERVER, BackendFault.LOSE_RESPONSE)
    assert cluster.execute(entry="fee-match").is_err()
    assert cluster.cores[0].router.free_slots(unit) == 1
    _advance(cluster, PATIENCE_MS)
    assert cluster.cores[0].router.free_slots(unit) == 2


def test_server_that_returns_under_another_url_is_used_again(
    make_cluster: Callable[..., RequestCluster],
) -> None:
    cluster = make_cluster()
    cluster.backends.add_fault(SERVER, BackendFault.ANNOUNCE_LEAVING)
    cluster.execute().unwrap()
    assert cluster.execute().is_err()
    infos = cluster.standins.instance_list.by_id
    infos[SERVER] = infos[SERVER]._replace(url="http://10.1.0.9:80")
    cluster.settle(1)
    cluster.execute().unwrap()


def test_server_that_stays_after_announcing_to_leave_is_used_again(
    make_cluster: Callable[..., RequestCluster],
) -> None:
    cluster = make_cluster()
    cluster.backends.add_fault(SERVER, BackendFault.ANNOUNCE_LEAVING)
    cluster.execute().unwrap()
    _advance(cluster, WITHIN_EXCLUSION_MS)
    assert cluster.execute().is_err()
    _advance(cluster, LEAVING_EXCLUSION_MS)
    cluster.execute().unwrap()
