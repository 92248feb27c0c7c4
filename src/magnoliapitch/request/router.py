"""Entry point of small requests: admission, routing and draining."""

from __future__ import annotations

import threading

from typing import TYPE_CHECKING

from result import Err
from result import Ok
from result import Result

from magnoliapitch.request.at_most_once import AtMostOnceExecutor
from magnoliapitch.request.dispatch_fence import DispatchFence
from magnoliapitch.request.dispatcher import Dispatcher
from magnoliapitch.request.dispatcher import Outcome
from magnoliapitch.request.dispatcher import RoutedRequest
from magnoliapitch.request.limit import RequestLimits
from magnoliapitch.request.peer_selector import PeerSelector
from magnoliapitch.request.slot_pool import SlotPool
from magnoliapitch.verdict import Failure
from magnoliapitch.verdict import FailureCode
from magnoliapitch.verdict import not_run


if TYPE_CHECKING:
    from magnoliapitch.backend.client import BackendClient
    from magnoliapitch.catalogue.entry import CatalogueEntry
    from magnoliapitch.clock import Clock
    from magnoliapitch.journal.journal import Journal
    from magnoliapitch.membership.instance_cache import InstanceCache
    from magnoliapitch.membership.membership import Membership
    from magnoliapitch.ownership.claimer import Claimer
    from magnoliapitch.peer.link import PeerLink
    from magnoliapitch.peer.message import ForwardedRequest
    from magnoliapitch.peer.message import UnitLoad
    from magnoliapitch.request.ticket import Ticket


DRAIN_RETRY_AFTER_MS = 1_000
START_RETRY_AFTER_MS = 1_000
MAX_FORWARDED_REQUESTS = 192
FORWARDED_RETRY_AFTER_MS = 100


class Router:
    """Executes small requests on owned backend servers or through peers."""

    def __init__(
        self,
        journal: Journal,
        instance_cache: InstanceCache,
        claimer: Claimer,
        membership: Membership,
        backends: BackendClient,
        link: PeerLink,
        clock: Clock,
    ) -> None:
        self._journal = journal
        self._membership = membership
        self._clock = clock
        self._fence = DispatchFence(journal, claimer, membership, clock)
        self._pool = SlotPool(instance_cache, self._fence, clock)
        self._limits = RequestLimits(membership, clock)
        peer_selector = PeerSelector(
            journal, membership, instance_cache, clock
        )
        self._dispatcher = Dispatcher(
            self._pool, peer_selector, backends, link, clock
        )
        self._at_most_once = AtMostOnceExecutor(
            journal, membership, link, clock, self._dispatcher.dispatch
        )
        self._lock = threading.Lock()
        self._is_draining = False
        self._caller_requests = 0
        self._forwarded_requests = 0

    def execute(self, request: ForwardedRequest) -> Outcome:
        """Execute a caller's request here or through a peer.

        :return: the answer, or why there is none and whether it may have run.
        """
        with self._lock:
            if self._is_draining:
                return Err(_draining_failure())
            self._caller_requests += 1
        try:
            return self._execute(request)
        finally:
            with self._lock:
                self._caller_requests -= 1

    def execute_forwarded(self, request: ForwardedRequest) -> Outcome:
        """Execute a request that a peer forwarded.

        It runs on an owned backend server. Only a request with a ticket or
        key may be forwarded once more.
        """
        with self._lock:
            if self._is_draining:
                return Err(_draining_failure())
            if self._forwarded_requests >= MAX_FORWARDED_REQUESTS:
                return Err(_forwarded_limit_failure())
            self._forwarded_requests += 1
        try:
            return self._execute_forwarded(request)
        finally:
            with self._lock:
                self._forwarded_requests -= 1

    def issue_ticket(self, entry: str) -> Result[Ticket, Failure]:
        """Return a ticket for one request of a catalogue entry.

        :param entry: name of the catalogue entry.
        """
        with self._lock:
            if self._is_draining:
                return Err(_draining_failure())
        return self._find_entry(entry).map(
            lambda found: self._at_most_once.issue(found.name)
        )

    def begin_drain(self) -> None:
        """Refuse new requests from now on; those in progress continue."""
        self._membership.leaving = True
        with self._lock:
            self._is_draining = True

    def in_flight(self) -> int:
        """Return the number of requests in progress."""
        with self._lock:
            return self._caller_requests + self._forwarded_requests

    def free_slots(self, unit: str) -> int:
        """Return the free slots of an owned group of backend servers."""
        return self._pool.free_slots(unit)

    def loads(self) -> tuple[UnitLoad, ...]:
        """Return the free slots of every owned group, for heartbeats."""
        return self._pool.loads()

    def dump(self) -> dict[str, object]:
        """Return the router's part of the state dump."""
        with self._lock:
            counts = {
                "draining": self._is_draining,
                "callers": self._caller_requests,
                "forwarded": self._forwarded_requests,
            }
        return {
            **counts,
            "units": sorted(self._fence.usable_units()),
            "limits": self._limits.dump(),
            "remembered": self._at_most_once.dump(),
            **self._pool.dump(),
        }

    def _execute(self, request: ForwardedRequest) -> Outcome:
        started_ms = self._clock.now_ms()
        found = self._find_entry(request.entry)
        if isinstance(found, Err):
            return found
        entry = found.ok_value
        deadline_ms = started_ms + request.timeout_ms
        refusal = self._limits.admit(entry, deadline_ms)
        if refusal is not None:
            return Err(refusal)
        try:
            return self._run(
                RoutedRequest(entry, request, deadline_ms, may_forward=True),
                is_forwarded=False,
            )
        finally:
            duration_ms = self._clock.now_ms() - started_ms
            self._limits.finish(entry, duration_ms)

    def _execute_forwarded(self, request: ForwardedRequest) -> Outcome:
        found = self._find_entry(request.entry)
        if isinstance(found, Err):
            return found
        deadline_ms = self._clock.now_ms() + request.timeout_ms
        # The instance that must run a ticketed or keyed request may own no
        # backend server of the entry.
        may_forward = bool(request.ticket or request.key)
        return self._run(
            RoutedRequest(found.ok_value, request, deadline_ms, may_forward),
            is_forwarded=True,
        )

    def _run(self, routed: RoutedRequest, *, is_forwarded: bool) -> Outcome:
        request = routed.request
        if request.ticket and request.key:
            return Err(
                not_run(
                    FailureCode.INVALID,
                    "the request has a ticket and an idempotency key; only "
                    "one of them is allowed",
                )
            )
        if request.ticket:
            return self._at_most_once.run_ticket(
                routed, is_forwarded=is_forwarded
            )
        if request.key:
            return self._at_most_once.run_key(
                routed, is_forwarded=is_forwarded
            )
        return self._dispatcher.dispatch(routed)

    def _find_entry(self, name: str) -> Result[CatalogueEntry, Failure]:
        with self._journal.locked_state() as state:
            versioned = state.catalogue_by_name.get(name)
        if versioned is None:
            return Err(self._unknown_entry(name))
        if not versioned.entry.app:
            return Err(
                not_run(
                    FailureCode.INVALID,
                    f"catalogue entry {name} accepts jobs, not requests",
                )
            )
        return Ok(versioned.entry)

    def _unknown_entry(self, name: str) -> Failure:
        if self._journal.last_caught_up_ms is None:
            return not_run(
                FailureCode.UNAVAILABLE,
                "this instance has not read the catalogue yet",
                START_RETRY_AFTER_MS,
            )
        return not_run(FailureCode.NOT_FOUND, f"no catalogue entry {name!r}")


def _draining_failure() -> Failure:
    return not_run(
        FailureCode.SHUTTING_DOWN,
        "this instance is shutting down; send the request to another one",
        DRAIN_RETRY_AFTER_MS,
    )


def _forwarded_limit_failure() -> Failure:
    return not_run(
        FailureCode.OVERLOADED,
        f"{MAX_FORWARDED_REQUESTS} requests forwarded by peers are in "
        "progress here already, which is the limit",
        FORWARDED_RETRY_AFTER_MS,
    )
