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
from tests.request.conftest import RequestCellShape


if TYPE_CHECKING:
    from collections.abc import Callable

    from tests.request.conftest import RequestCell


WITHIN_EXCLUSION_MS = 3_000
SERVER = "norte-runner-1"


def _advance(cell: RequestCell, duration_ms: int) -> None:
    assert isinstance(cell.clock, ManualClock)
    cell.clock.advance(duration_ms)
    cell.settle(1)


def _run_count(cell: RequestCell) -> int:
    return sum(run.server_id == SERVER for run in cell.backends.history)


@pytest.mark.parametrize("how", ["list", "header", "refusal", "connection"])
def test_server_that_leaves_gets_no_new_requests(
    make_cell: Callable[..., RequestCell], how: str
) -> None:
    cell = make_cell(RequestCellShape(backends=2))
    if how == "list":
        cell.mark_leaving(SERVER)
        cell.settle(1)
    elif how == "header":
        cell.backends.add_fault(SERVER, BackendFault.ANNOUNCE_LEAVING)
    elif how == "refusal":
        cell.backends.leaving.add(SERVER)
    else:
        cell.backends.down.add(SERVER)
    for number in range(4):
        cell.execute(number=number).unwrap()
    runs = _run_count(cell)
    assert runs <= 1
    for number in range(60):
        _advance(cell, 500)
        cell.execute(number=number).unwrap()
    assert _run_count(cell) == runs


def test_server_is_probed_again_after_a_backoff(
    make_cell: Callable[..., RequestCell],
) -> None:
    cell = make_cell()
    calls: list[str] = []
    cell.backends.on_send = calls.append
    cell.backends.down.add(SERVER)
    assert cell.execute().is_err()
    assert len(calls) == 1 + PATIENCE_MS // (2 * BACKOFF_FIRST_MS)
    cell.backends.down.clear()
    _advance(cell, 4 * BACKOFF_FIRST_MS)
    cell.execute().unwrap()
    assert cell.cores[0].router.free_slots("norte-clubes-app-1") == 2


def test_server_that_keeps_failing_is_only_probed(
    make_cell: Callable[..., RequestCell],
) -> None:
    cell = make_cell(RequestCellShape(backends=2))
    for _ in range(40):
        cell.backends.add_fault(SERVER, BackendFault.TRUNCATE_ANSWER)
    for number in range(40):
        cell.execute(number=number, entry="fee-match")
        _advance(cell, 2_000)
    assert _run_count(cell) == FAILURE_COUNT_TO_OPEN
    for number in range(40):
        cell.execute(number=number).unwrap()
        _advance(cell, 2_000)
    probes = 4 + 80_000 // BACKOFF_MAX_MS
    assert (
        FAILURE_COUNT_TO_OPEN
        < _run_count(cell)
        <= FAILURE_COUNT_TO_OPEN + probes
    )


def test_server_keeps_the_slot_of_a_request_that_timed_out(
    make_cell: Callable[..., RequestCell],
) -> None:
    cell = make_cell()
    unit = "norte-clubes-app-1"
    cell.backends.add_fault(SERVER, BackendFault.LOSE_ANSWER)
    assert cell.execute(entry="fee-match").is_err()
    assert cell.cores[0].router.free_slots(unit) == 1
    _advance(cell, PATIENCE_MS)
    assert cell.cores[0].router.free_slots(unit) == 2


def test_server_that_returns_under_another_url_is_used_again(
    make_cell: Callable[..., RequestCell],
) -> None:
    cell = make_cell()
    cell.backends.add_fault(SERVER, BackendFault.ANNOUNCE_LEAVING)
    cell.execute().unwrap()
    assert cell.execute().is_err()
    infos = cell.deployment.instance_list.by_id
    infos[SERVER] = infos[SERVER]._replace(url="http://10.1.0.9:80")
    cell.settle(1)
    cell.execute().unwrap()


def test_server_that_stays_after_announcing_to_leave_is_used_again(
    make_cell: Callable[..., RequestCell],
) -> None:
    cell = make_cell()
    cell.backends.add_fault(SERVER, BackendFault.ANNOUNCE_LEAVING)
    cell.execute().unwrap()
    _advance(cell, WITHIN_EXCLUSION_MS)
    assert cell.execute().is_err()
    _advance(cell, LEAVING_EXCLUSION_MS)
    cell.execute().unwrap()
