from __future__ import annotations

from typing import TYPE_CHECKING

from magnoliapitch.clock import ManualClock
from magnoliapitch.journal.codec import encode_record
from magnoliapitch.journal.record import UnitClaim
from magnoliapitch.request.dispatch_fence import FENCING_TIMEOUT_MS
from tests.request.conftest import PATIENCE_MS
from tests.request.conftest import RequestClusterShape


if TYPE_CHECKING:
    from collections.abc import Callable

    from magnoliapitch.entry.core import EntryCore
    from tests.request.conftest import RequestCluster


UNIT = "norte-clubes-app-1"
TWO_ENTRIES = RequestClusterShape(entries_per_zone=2)
FIRST_ADDRESS = "10.0.0.1:8082"
SECOND_ADDRESS = "10.0.0.2:8082"


def _advance(cluster: RequestCluster, duration_ms: int) -> None:
    assert isinstance(cluster.clock, ManualClock)
    cluster.clock.advance(duration_ms)


def _may_use_unit(core: EntryCore) -> bool:
    return core.router.free_slots(UNIT) > 0


def _take_over(cluster: RequestCluster) -> None:
    identity = cluster.cores[1].identity
    claim = UnitClaim(UNIT, "norte", identity.incarnation, 1)
    cluster.standins.log.append(encode_record((claim,)))


def test_new_owner_waits_until_the_former_one_has_finished(
    make_cluster: Callable[..., RequestCluster],
) -> None:
    cluster = make_cluster(TWO_ENTRIES)
    _take_over(cluster)
    cluster.settle()
    assert not _may_use_unit(cluster.cores[1])
    for _ in range(FENCING_TIMEOUT_MS // 1_000):
        _advance(cluster, 1_000)
        cluster.settle()
    assert not _may_use_unit(cluster.cores[1])
    _advance(cluster, PATIENCE_MS)
    cluster.settle()
    assert _may_use_unit(cluster.cores[1])
    assert not _may_use_unit(cluster.cores[0])


def test_owner_stops_when_it_reaches_neither_log_nor_neighbours(
    make_cluster: Callable[..., RequestCluster],
) -> None:
    cluster = make_cluster(TWO_ENTRIES)
    isolated = cluster.cores[0]
    cluster.cores = cluster.cores[1:]
    _advance(cluster, FENCING_TIMEOUT_MS + 1)
    assert not _may_use_unit(isolated)
    failure = isolated.router.execute_forwarded(
        cluster.request(1)
    ).unwrap_err()
    assert failure.verdict.value == "not_run"


def test_owner_continues_while_its_whole_zone_cannot_reach_the_log(
    make_cluster: Callable[..., RequestCluster],
) -> None:
    cluster = make_cluster(TWO_ENTRIES)
    cluster.standins.log.down = True
    for _ in range(10):
        _advance(cluster, 1_000)
        cluster.settle()
    assert _may_use_unit(cluster.cores[0])
    cluster.execute().unwrap()


def test_owner_alone_in_its_zone_continues_when_partitioned(
    make_cluster: Callable[..., RequestCluster],
) -> None:
    cluster = make_cluster(RequestClusterShape(("norte", "sur")))
    cluster.standins.log.down = True
    cluster.network.blocked_links |= {
        (FIRST_ADDRESS, SECOND_ADDRESS),
        (SECOND_ADDRESS, FIRST_ADDRESS),
    }
    for _ in range(10):
        _advance(cluster, 30_000)
        cluster.settle()
    cluster.execute().unwrap()


def test_owner_stops_when_a_neighbour_has_read_more_of_the_log(
    make_cluster: Callable[..., RequestCluster],
) -> None:
    cluster = make_cluster(TWO_ENTRIES)
    _take_over(cluster)
    first, second = cluster.cores
    _advance(cluster, FENCING_TIMEOUT_MS + 1)
    second.journal.follow_step()
    first.heartbeat(second.membership.own_heartbeat())
    assert not _may_use_unit(first)
    assert not _may_use_unit(second)
