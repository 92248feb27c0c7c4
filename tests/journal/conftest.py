from __future__ import annotations

import pytest

from magnoliapitch.clock import ManualClock
from magnoliapitch.standin import StandinLog


@pytest.fixture
def log() -> StandinLog:
    return StandinLog()


@pytest.fixture
def clock() -> ManualClock:
    return ManualClock()
