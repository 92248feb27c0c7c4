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


PAGE = Path(__file__).parents[2] / "docs" / "openapi.json"
TIMEOUT_S = 30
DRAIN = ("POST", "/v1/drain")


def _documented() -> dict[tuple[str, str], Any]:
    paths = orjson.loads(PAGE.read_bytes())["paths"]
    return {
        (method.upper(), path): operation
        for path, methods in paths.items()
        for method, operation in methods.items()
    }


def _registered(running: RunningCluster) -> dict[tuple[str, str], Listener]:
    node = running.cluster.entries[0]
    return {
        (route.method, route.path): listener
        for listener in (node.caller_listener, node.admin_listener)
        for route in listener.application.routes
    }


def test_openapi_lists_exactly_the_registered_routes(
    running: RunningCluster,
) -> None:
    assert set(_documented()) == set(_registered(running))


def test_openapi_lists_every_status_that_is_answered(
    running: RunningCluster,
) -> None:
    listener_by_route = _registered(running)
    operations = _documented()
    order = sorted(operations, key=lambda route: route == DRAIN)
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
