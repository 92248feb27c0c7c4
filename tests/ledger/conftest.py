from __future__ import annotations

import random

from collections.abc import Callable

import pytest

from magnoliapitch.clock import ManualClock
from magnoliapitch.ledger.health import StoreHealth
from magnoliapitch.ledger.leadership import Leadership
from magnoliapitch.ledger.state_table import StateTable
from tests.ledger.memory_streams import MemoryStreams


MakeLeadership = Callable[[str], Leadership]


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
