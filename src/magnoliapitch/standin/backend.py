"""In-memory stand-ins for backend servers, with faults to inject."""

from __future__ import annotations

import threading

from collections import deque
from enum import StrEnum
from typing import TYPE_CHECKING
from typing import NamedTuple

import orjson

from result import Err
from result import Ok
from result import Result

from magnoliapitch.backend.client import BackendRequest
from magnoliapitch.backend.client import BackendResponse
from magnoliapitch.clock import MonotonicClock
from magnoliapitch.verdict import Failure
from magnoliapitch.verdict import FailureCode
from magnoliapitch.verdict import may_have_run
from magnoliapitch.verdict import not_run


if TYPE_CHECKING:
    from collections.abc import Callable

    from magnoliapitch.clock import Clock
    from magnoliapitch.membership.instance import InstanceInfo


class Execution(NamedTuple):
    """Record of a request that was executed on a server."""

    server_id: str
    request_id: str
    entry: str
    body: bytes


class BackendFault(StrEnum):
    """Fault of one call to a server.

    - ``REFUSE``: the server is overloaded and does not run the request.
    - ``REFUSE_CONNECTION``: the connection is refused.
    - ``LOSE_RESPONSE``: the request runs, but its response never arrives.
    - ``TRUNCATE_RESPONSE``: the request runs, but its response is cut short.
    - ``ANNOUNCE_LEAVING``: the request runs, and the response says that the
      server is shutting down.
    - ``REFUSE_LEAVING``: the server is shutting down and does not run the
      request.
    """

    REFUSE = "refuse"
    REFUSE_CONNECTION = "refuse-connection"
    LOSE_RESPONSE = "lose-answer"
    TRUNCATE_RESPONSE = "truncate-answer"
    ANNOUNCE_LEAVING = "announce-leaving"
    REFUSE_LEAVING = "refuse-leaving"


class StandinBackends:
    """Backend client that executes requests by echoing their id and body.

    :ivar down: ids of servers that refuse connections.
    :ivar leaving: ids of servers that refuse requests because they are
        shutting down.
    :ivar faults_by_server: faults of the next calls to each server.
    :ivar duration_ms: run time of each request, in milliseconds.
    :ivar has_released: once set, running requests end at once.
    :ivar on_send: called with the server's id before each call.
    :ivar observer: called with the request's id, the server's id and whether
        the request starts (``True``) or ends.
    :ivar history: executed requests in the order of their starts.
    :ivar max_in_flight_by_server: largest number of requests that ran at
        once on each server.
    """

    def __init__(self, clock: Clock | None = None) -> None:
        self.down: set[str] = set()
        self.leaving: set[str] = set()
        self.faults_by_server: dict[str, deque[BackendFault]] = {}
        self.duration_ms = 0
        self.on_send: Callable[[str], None] | None = None
        self.observer: Callable[[str, str, bool], None] | None = None
        self.history: list[Execution] = []
        self.max_in_flight_by_server: dict[str, int] = {}
        self._clock = clock or MonotonicClock()
        self.has_released = threading.Event()
        self._never_set = threading.Event()
        self._in_flight_by_server: dict[str, int] = {}
        self._lock = threading.Lock()

    def add_fault(self, server_id: str, fault: BackendFault) -> None:
        """Add a fault for the next call to a server that has none yet."""
        self.faults_by_server.setdefault(server_id, deque()).append(fault)

    def send(
        self, server: InstanceInfo, request: BackendRequest
    ) -> Result[BackendResponse, Failure]:
        """Execute one request, with the next fault of the server if any."""
        server_id = server.instance_id
        if self.on_send is not None:
            self.on_send(server_id)
        fault = self._next_fault(server_id)
        refusal = self._find_refusal(server_id, fault)
        if refusal is not None:
            return Err(refusal)
        self._record_start(server_id, request)
        try:
            if self.duration_ms:
                self._clock.wait(self.has_released, self.duration_ms)
            return self._respond(server_id, request, fault)
        finally:
            self._record_end(server_id, request)

    def _next_fault(self, server_id: str) -> BackendFault | None:
        with self._lock:
            faults = self.faults_by_server.get(server_id)
            return faults.popleft() if faults else None

    def _find_refusal(
        self, server_id: str, fault: BackendFault | None
    ) -> Failure | None:
        if server_id in self.down or fault is BackendFault.REFUSE_CONNECTION:
            return not_run(
                FailureCode.UNAVAILABLE, f"{server_id} refused the connection"
            )
        if server_id in self.leaving or fault is BackendFault.REFUSE_LEAVING:
            return not_run(
                FailureCode.SHUTTING_DOWN, f"{server_id} is shutting down"
            )
        if fault is BackendFault.REFUSE:
            return not_run(
                FailureCode.OVERLOADED, f"{server_id} refused the request"
            )
        return None

    def _respond(
        self,
        server_id: str,
        request: BackendRequest,
        fault: BackendFault | None,
    ) -> Result[BackendResponse, Failure]:
        if fault is BackendFault.LOSE_RESPONSE:
            self._clock.wait(self._never_set, request.timeout_ms)
            return Err(
                may_have_run(
                    FailureCode.TIMEOUT, f"{server_id} did not respond"
                )
            )
        if fault is BackendFault.TRUNCATE_RESPONSE:
            return Err(
                may_have_run(
                    FailureCode.TRUNCATED,
                    f"the response of {server_id} is truncated",
                )
            )
        is_leaving = fault is BackendFault.ANNOUNCE_LEAVING
        body = _response_body(server_id, request)
        return Ok(BackendResponse(200, body, is_leaving))

    def _record_start(self, server_id: str, request: BackendRequest) -> None:
        with self._lock:
            count = self._in_flight_by_server.get(server_id, 0) + 1
            self._in_flight_by_server[server_id] = count
            previous_max = self.max_in_flight_by_server.get(server_id, 0)
            self.max_in_flight_by_server[server_id] = max(previous_max, count)
            self.history.append(
                Execution(
                    server_id, request.request_id, request.entry, request.body
                )
            )
            self._notify_observer(server_id, request, is_start=True)

    def _record_end(self, server_id: str, request: BackendRequest) -> None:
        with self._lock:
            self._in_flight_by_server[server_id] -= 1
            self._notify_observer(server_id, request, is_start=False)

    def _notify_observer(
        self, server_id: str, request: BackendRequest, *, is_start: bool
    ) -> None:
        if self.observer is not None:
            self.observer(request.request_id, server_id, is_start)


def _response_body(server_id: str, request: BackendRequest) -> bytes:
    return orjson.dumps(
        {
            "request_id": request.request_id,
            "entry": request.entry,
            "server": server_id,
            "echo": request.body.decode("utf-8", "replace"),
        }
    )
