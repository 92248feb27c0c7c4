"""In-memory backend servers."""

from __future__ import annotations

import threading

from typing import TYPE_CHECKING
from typing import NamedTuple

import orjson

from result import Err
from result import Ok
from result import Result

from magnoliapitch.backend.client import BackendAnswer
from magnoliapitch.backend.client import BackendRequest
from magnoliapitch.verdict import Failure
from magnoliapitch.verdict import FailureCode
from magnoliapitch.verdict import not_run


if TYPE_CHECKING:
    from magnoliapitch.platform.instance import InstanceInfo


class Execution(NamedTuple):
    """History entry: a request was executed on a server."""

    server_id: str
    request_id: str
    entry: str
    body: bytes


class StandinBackends:
    """Executes requests by answering with the request's id and body.

    :ivar down: ids of servers that refuse connections.
    :ivar leaving: ids of servers that refuse new work as leaving.
    :ivar most_in_flight_by_server: highest concurrency seen.
    """

    def __init__(self) -> None:
        self.down: set[str] = set()
        self.leaving: set[str] = set()
        self.history: list[Execution] = []
        self.most_in_flight_by_server: dict[str, int] = {}
        self._in_flight_by_server: dict[str, int] = {}
        self._lock = threading.Lock()

    def send(
        self, server: InstanceInfo, request: BackendRequest
    ) -> Result[BackendAnswer, Failure]:
        """Execute one request."""
        server_id = server.instance_id
        if server_id in self.down:
            return Err(not_run(FailureCode.UNAVAILABLE, "connection refused"))
        if server_id in self.leaving:
            return Err(not_run(FailureCode.SHUTTING_DOWN, "server is leaving"))
        self._enter(server_id, request)
        try:
            return Ok(BackendAnswer(200, _answer_body(server_id, request)))
        finally:
            self._leave(server_id)

    def _enter(self, server_id: str, request: BackendRequest) -> None:
        with self._lock:
            count = self._in_flight_by_server.get(server_id, 0) + 1
            self._in_flight_by_server[server_id] = count
            most = self.most_in_flight_by_server.get(server_id, 0)
            self.most_in_flight_by_server[server_id] = max(most, count)
            self.history.append(
                Execution(
                    server_id, request.request_id, request.entry, request.body
                )
            )

    def _leave(self, server_id: str) -> None:
        with self._lock:
            self._in_flight_by_server[server_id] -= 1


def _answer_body(server_id: str, request: BackendRequest) -> bytes:
    return orjson.dumps(
        {
            "request_id": request.request_id,
            "entry": request.entry,
            "server": server_id,
            "echo": request.body.decode("utf-8", "replace"),
        }
    )
