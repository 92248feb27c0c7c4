"""Validity of tickets, counted from the advisor's answer."""

from __future__ import annotations

import queue

from typing import TYPE_CHECKING
from typing import cast

import pytest

from result import Ok
from result import Result

from magnoliapitch.advice import AdvisorChannelPool
from magnoliapitch.clock import ManualClock
from magnoliapitch.control.advisor_calls import AdvisorCalls
from magnoliapitch.control.events import PermitsAnswered
from magnoliapitch.planner.plan import PlannedPermitRequest
from magnoliapitch.workload.job import StepKey


if TYPE_CHECKING:
    from collections.abc import Sequence

    from magnoliapitch.control.events import Event
    from magnoliapitch.http.client import HttpClient
    from magnoliapitch.verdict import Failure
    from magnoliapitch.workload.run import Permit


EXPECTED_MS = 850
REQUEST = PlannedPermitRequest(StepKey("a", 0, 0), ("w0",), 0, EXPECTED_MS)


class SlowAdvisor:
    """Answers after a set time."""

    def __init__(self, clock: ManualClock, call_ms: int) -> None:
        self._clock = clock
        self._call_ms = call_ms

    def permits(
        self,
        step: StepKey,
        worker_ids: Sequence[str],
        timeout_ms: int,
    ) -> Result[tuple[Permit, ...], Failure]:
        del step, worker_ids, timeout_ms
        self._clock.advance(self._call_ms)
        return Ok(())


# Guards against tickets that count as expired while the advisor still decides.
@pytest.mark.parametrize(
    ("call_ms", "issued_ms"),
    [(EXPECTED_MS, 850), (1_400, 850), (600, 600)],
)
def test_tickets_count_from_the_earliest_answer(
    call_ms: int, issued_ms: int
) -> None:
    clock = ManualClock()
    begun_ms = clock.now_ms()
    client = cast("HttpClient", None)
    channels = AdvisorChannelPool(SlowAdvisor(clock, call_ms), client, clock)
    events: queue.SimpleQueue[Event] = queue.SimpleQueue()
    assert AdvisorCalls(channels, clock).begin(REQUEST, 5_000, events.put)
    event = events.get(timeout=5)
    assert isinstance(event, PermitsAnswered)
    assert event.issued_ms - begun_ms == issued_ms
