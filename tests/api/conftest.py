from __future__ import annotations

import time

from concurrent.futures import ThreadPoolExecutor
from typing import TYPE_CHECKING

import orjson
import pytest
import urllib3

from magnoliapitch.standin.cluster import StandinCluster
from magnoliapitch.standin.demo import QUETZALTENANGO_SHAPE


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator
    from typing import Any


WAIT_S = 30


class RunningCluster:
    """Cluster with two entry instances in this process."""

    def __init__(self) -> None:
        self.cluster = StandinCluster(QUETZALTENANGO_SHAPE)
        for zone in QUETZALTENANGO_SHAPE.zones[:2]:
            self.cluster.add_entry(zone)

    def start(self) -> None:
        for node in self.cluster.entries:
            node.start()
        for node in self.cluster.entries:
            wait_until(node.core.is_ready)
            wait_until(node.core.membership.peers)

    def admin(
        self,
        method: str,
        path: str,
        value: object = None,
        if_match: str = "",
        entry_number: int = 0,
    ) -> urllib3.BaseHTTPResponse:
        node = self.cluster.entries[entry_number]
        headers = {"If-Match": if_match} if if_match else {}
        return urllib3.request(
            method,
            f"http://127.0.0.1:{node.admin_listener.port}{path}",
            body=None if value is None else orjson.dumps(value),
            headers=headers,
            timeout=WAIT_S,
            retries=False,
        )

    def stop(self) -> None:
        with ThreadPoolExecutor() as threads:
            list(threads.map(lambda node: node.stop(), self.cluster.entries))


def wait_until(condition: Callable[[], Any]) -> None:
    deadline_s = time.monotonic() + WAIT_S
    while time.monotonic() < deadline_s:
        if condition():
            return
        time.sleep(0.01)
    raise AssertionError("condition was not met in time")


@pytest.fixture
def running() -> Iterator[RunningCluster]:
    running = RunningCluster()
    running.start()
    yield running
    running.stop()
