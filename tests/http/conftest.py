from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from tests.http.running_server import LIMITS
from tests.http.running_server import TIMEOUT_S
from tests.http.running_server import RunningServer


if TYPE_CHECKING:
    from collections.abc import Iterator


@pytest.fixture
def server() -> Iterator[RunningServer]:
    server = RunningServer()
    server.listener.start()
    yield server
    server.release_handlers.set()
    server.listener.stop()


@pytest.fixture
def patient_server() -> Iterator[RunningServer]:
    """Return a server that waits for a request for longer than its clients."""
    limits = LIMITS._replace(read_timeout_ms=3_000 * TIMEOUT_S)
    server = RunningServer(limits)
    server.listener.start()
    yield server
    server.listener.stop()
