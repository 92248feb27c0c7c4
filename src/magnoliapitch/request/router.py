"""Routes small requests to backend servers, directly or through a peer."""

from __future__ import annotations

import threading

from typing import TYPE_CHECKING

from result import Err
from result import Ok
from result import Result

from magnoliapitch.backend.client import BackendClient
from magnoliapitch.backend.client import BackendRequest
from magnoliapitch.peer.message import ForwardedAnswer
from magnoliapitch.peer.message import ForwardedRequest
from magnoliapitch.platform.instance import InstanceInfo
from magnoliapitch.platform.instance import InstanceRole
from magnoliapitch.platform.instance import InstanceState
from magnoliapitch.verdict import Failure
from magnoliapitch.verdict import FailureCode
from magnoliapitch.verdict import Verdict
from magnoliapitch.verdict import not_run


if TYPE_CHECKING:
    from magnoliapitch.catalogue.entry import CatalogueEntry
    from magnoliapitch.journal.journal import Journal
    from magnoliapitch.membership.membership import Membership
    from magnoliapitch.ownership.claimer import Claimer
    from magnoliapitch.peer.link import PeerLink
    from magnoliapitch.platform.fleet import Fleet


RETRY_AFTER_MS = 1_000


class Router:
    """Executes small requests on the backend servers of owned groups."""

    def __init__(
        self,
        journal: Journal,
        fleet: Fleet,
        claimer: Claimer,
        membership: Membership,
        backends: BackendClient,
        link: PeerLink,
    ) -> None:
        self._journal = journal
        self._fleet = fleet
        self._claimer = claimer
        self._membership = membership
        self._backends = backends
        self._link = link
        self._in_flight_by_server: dict[str, int] = {}
        self._lock = threading.Lock()

    def execute(
        self, request: ForwardedRequest
    ) -> Result[ForwardedAnswer, Failure]:
        """Execute a caller's request here or through a peer."""
        outcome = self.execute_here(request)
        if isinstance(outcome, Ok):
            return outcome
        if outcome.err_value.verdict is not Verdict.NOT_RUN:
            return outcome
        for peer in self._membership.peers():
            forwarded = self._link.forward(
                peer.join.peer_address, request, request.timeout_ms
            )
            if isinstance(forwarded, Ok):
                return forwarded
            if forwarded.err_value.verdict is not Verdict.NOT_RUN:
                return forwarded
        return outcome

    def execute_here(
        self, request: ForwardedRequest
    ) -> Result[ForwardedAnswer, Failure]:
        """Execute a request on an owned backend server only."""
        entry = self._entry(request.entry)
        if entry is None:
            return Err(
                not_run(FailureCode.NOT_FOUND, f"no entry {request.entry}")
            )
        server = self._acquire(entry.app)
        if server is None:
            return Err(
                not_run(
                    FailureCode.OVERLOADED,
                    f"no free slot of {entry.app}",
                    RETRY_AFTER_MS,
                )
            )
        try:
            outcome = self._backends.send(
                server,
                BackendRequest(
                    request.request_id,
                    request.entry,
                    request.body,
                    request.timeout_ms,
                ),
            )
        finally:
            self._release(server)
        return outcome.map(
            lambda answer: ForwardedAnswer(
                request.request_id, answer.status, answer.body
            )
        )

    def free_slots(self, unit: str) -> int:
        """Return free slots of an owned group."""
        with self._lock:
            return sum(
                server.slots
                - self._in_flight_by_server.get(server.instance_id, 0)
                for server in self._fleet.of_role(InstanceRole.BACKEND_SERVER)
                if server.unit == unit
            )

    def dump(self) -> dict[str, object]:
        """Return the router's part of the state dump."""
        with self._lock:
            return {"in_flight": dict(self._in_flight_by_server)}

    def _entry(self, name: str) -> CatalogueEntry | None:
        with self._journal.reading() as state:
            versioned = state.catalogue_by_name.get(name)
        return versioned.entry if versioned else None

    def _acquire(self, app: str) -> InstanceInfo | None:
        owned = self._claimer.owned()
        with self._lock:
            for server in self._fleet.of_role(InstanceRole.BACKEND_SERVER):
                if server.app != app or server.unit not in owned:
                    continue
                if server.state is not InstanceState.LIVE:
                    continue
                count = self._in_flight_by_server.get(server.instance_id, 0)
                if count < server.slots:
                    self._in_flight_by_server[server.instance_id] = count + 1
                    return server
        return None

    def _release(self, server: InstanceInfo) -> None:
        with self._lock:
            self._in_flight_by_server[server.instance_id] -= 1
