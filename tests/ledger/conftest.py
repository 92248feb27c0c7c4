from __future__ import annotations

import random

from collections.abc import Callable

import pytest

from magnoliapitch.clock import ManualClock
from magnoliapitch.ledger.claim_delay import LEADER_TIMEOUT_MS
from magnoliapitch.ledger.health import StoreHealth
from magnoliapitch.ledger.leader_appender import Batch
from magnoliapitch.ledger.leadership import Leadership
from magnoliapitch.ledger.state_table import StateTable
from magnoliapitch.ledger.stream import KeyedRecord
from tests.ledger.memory_streams import MemoryStreams


MakeLeadership = Callable[[str], Leadership]
AFTER_TIMEOUT_MS = 2 * LEADER_TIMEOUT_MS
BATCH = Batch((KeyedRecord("p.0", b"1"),), (KeyedRecord("s.0", b"pq"),))


def become_leader(leadership: Leadership, clock: ManualClock) -> None:
    """Let an instance claim once the leader has been silent for long."""
    leadership.step()
    clock.advance(AFTER_TIMEOUT_MS)
    leadership.step()
    assert leadership.claim is not None


@pytest.fixture
def streams() -> MemoryStreams:
    return MemoryStreams()


@pytest.fixture
def clock() -> ManualClock:
    return ManualClock(1_000)


@pytest.fixture
def make_leadership(
    streams: MemoryStreams, clock: ManualClock
) -> MakeLeadership:
    def make(name: str) -> Leadership:
        return Leadership(
            streams,
            name,
            StateTable(),
            clock,
            StoreHealth(clock),
            random.Random(name),
            lambda: True,
        )

    return make
