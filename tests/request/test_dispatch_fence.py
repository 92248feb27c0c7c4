from __future__ import annotations

from typing import TYPE_CHECKING

from magnoliapitch.clock import ManualClock
from magnoliapitch.journal.codec import encode_record
from magnoliapitch.journal.record import UnitClaim
from magnoliapitch.request.dispatch_fence import FENCING_TIMEOUT_MS
from tests.request.conftest import PATIENCE_MS
from tests.request.conftest import RequestCellShape


if TYPE_CHECKING:
    from collections.abc import Callable

    from magnoliapitch.entry.core import EntryCore
    from tests.request.conftest import RequestCell


UNIT = "norte-clubes-app-1"
TWO_ENTRIES = RequestCellShape(entries_per_zone=2)
FIRST_ADDRESS = "10.0.0.1:8082"
SECOND_ADDRESS = "10.0.0.2:8082"


def _advance(cell: RequestCell, duration_ms: int) -> None:
    assert isinstance(cell.clock, ManualClock)
    cell.clock.advance(duration_ms)


def _may_use_unit(core: EntryCore) -> bool:
    return core.router.free_slots(UNIT) > 0


def _take_over(cell: RequestCell) -> None:
    identity = cell.cores[1].identity
    claim = UnitClaim(UNIT, "norte", identity.incarnation, 1)
    cell.deployment.log.append(encode_record((claim,)))


def test_new_owner_waits_until_the_former_one_has_finished(
    make_cell: Callable[..., RequestCell],
) -> None:
    cell = make_cell(TWO_ENTRIES)
    _take_over(cell)
    cell.settle()
    assert not _may_use_unit(cell.cores[1])
    for _ in range(FENCING_TIMEOUT_MS // 1_000):
        _advance(cell, 1_000)
        cell.settle()
    assert not _may_use_unit(cell.cores[1])
    _advance(cell, PATIENCE_MS)
    cell.settle()
    assert _may_use_unit(cell.cores[1])
    assert not _may_use_unit(cell.cores[0])


def test_owner_stops_when_it_reaches_neither_log_nor_neighbours(
    make_cell: Callable[..., RequestCell],
) -> None:
    cell = make_cell(TWO_ENTRIES)
    isolated = cell.cores[0]
    cell.cores = cell.cores[1:]
    _advance(cell, FENCING_TIMEOUT_MS + 1)
    assert not _may_use_unit(isolated)
    failure = isolated.router.execute_forwarded(cell.request(1)).unwrap_err()
    assert failure.verdict.value == "not_run"


def test_owner_continues_while_its_whole_zone_cannot_reach_the_log(
    make_cell: Callable[..., RequestCell],
) -> None:
    cell = make_cell(TWO_ENTRIES)
    cell.deployment.log.down = True
    for _ in range(10):
        _advance(cell, 1_000)
        cell.settle()
    assert _may_use_unit(cell.cores[0])
    cell.execute().unwrap()


def test_owner_alone_in_its_zone_continues_when_partitioned(
    make_cell: Callable[..., RequestCell],
) -> None:
    cell = make_cell(RequestCellShape(("norte", "sur")))
    cell.deployment.log.down = True
    cell.network.blocked_links |= {
        (FIRST_ADDRESS, SECOND_ADDRESS),
        (SECOND_ADDRESS, FIRST_ADDRESS),
    }
    for _ in range(10):
        _advance(cell, 30_000)
        cell.settle()
    cell.execute().unwrap()


def test_owner_stops_when_a_neighbour_has_read_more_of_the_log(
    make_cell: Callable[..., RequestCell],
) -> None:
    cell = make_cell(TWO_ENTRIES)
    _take_over(cell)
    first, second = cell.cores
    _advance(cell, FENCING_TIMEOUT_MS + 1)
    second.journal.follow_step()
    first.heartbeat(second.membership.beat())
    assert not _may_use_unit(first)
    assert not _may_use_unit(second)
