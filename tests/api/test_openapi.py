from __future__ import annotations

import re

from pathlib import Path
from typing import TYPE_CHECKING
from typing import Any

import orjson
import urllib3


if TYPE_CHECKING:
    from magnoliapitch.http import Listener
    from tests.api.conftest import RunningCluster


OPENAPI_PATH = Path(__file__).parents[2] / "docs" / "openapi.json"
TIMEOUT_S = 30
DRAIN_ROUTE = ("POST", "/v1/drain")


def _documented_operations() -> dict[tuple[str, str], Any]:
    paths = orjson.loads(OPENAPI_PATH.read_bytes())["paths"]
    return {
        (method.upper(), path): operation
        for path, methods in paths.items()
        for method, operation in methods.items()
    }


def _registered_listeners(
    running: RunningCluster,
) -> dict[tuple[str, str], Listener]:
    node = running.cluster.entries[0]
    return {
        (route.method, route.path): listener
        for listener in (node.caller_listener, node.admin_listener)
        for route in listener.application.routes
    }


def test_openapi_lists_exactly_the_registered_routes(
    running: RunningCluster,
) -> None:
    assert set(_documented_operations()) == set(_registered_listeners(running))


def test_openapi_lists_every_status_that_is_answered(
    running: RunningCluster,
) -> None:
    listener_by_route = _registered_listeners(running)
    operations = _documented_operations()
    order = sorted(operations, key=lambda route: route == DRAIN_ROUTE)
    for method, path in order:
        port = listener_by_route[method, path].port
        for name in ("nothing", "a%00b", "x" * 300):
            filled = re.sub(r"\{\w+\}", name, path)
            answer = urllib3.request(
                method,
                f"http://127.0.0.1:{port}{filled}",
                body=b"{}",
                retries=False,
                redirect=False,
                timeout=TIMEOUT_S,
            )
            statuses = operations[method, path]["responses"]
            assert str(answer.status) in statuses, (method, path, answer.data)
            assert answer.headers["X-Request-Id"]
            if answer.status >= 400 and answer.status != 503:
                assert answer.json()["verdict"] == "not_run"
