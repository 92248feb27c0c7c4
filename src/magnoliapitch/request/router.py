"""Admits small requests and gives each of them one answer."""

from __future__ import annotations

import threading

from typing import TYPE_CHECKING

from result import Err
from result import Ok
from result import Result

from magnoliapitch.request.at_most_once import AtMostOnce
from magnoliapitch.request.dispatcher import Dispatcher
from magnoliapitch.request.dispatcher import Outcome
from magnoliapitch.request.dispatcher import Task
from magnoliapitch.request.fence import DispatchFence
from magnoliapitch.request.limit import RequestLimits
from magnoliapitch.request.peer_choice import PeerChoice
from magnoliapitch.request.slot_pool import SlotPool
from magnoliapitch.verdict import Failure
from magnoliapitch.verdict import FailureCode
from magnoliapitch.verdict import not_run


if TYPE_CHECKING:
    from magnoliapitch.backend.client import BackendClient
    from magnoliapitch.catalogue.entry import CatalogueEntry
    from magnoliapitch.clock import Clock
    from magnoliapitch.journal.journal import Journal
    from magnoliapitch.membership.fleet import Fleet
    from magnoliapitch.membership.membership import Membership
    from magnoliapitch.ownership.claimer import Claimer
    from magnoliapitch.peer.link import PeerLink
    from magnoliapitch.peer.message import ForwardedRequest
    from magnoliapitch.peer.message import UnitLoad
    from magnoliapitch.request.ticket import Ticket


DRAIN_RETRY_MS = 1_000
START_RETRY_MS = 1_000
FORWARDED_MAX = 192
FORWARDED_RETRY_MS = 100


class Router:
    """Executes small requests on backend servers of owned groups."""

    def __init__(
        self,
        journal: Journal,
        fleet: Fleet,
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
        self._pool = SlotPool(fleet, self._fence, clock)
        self._limits = RequestLimits(membership, clock)
        peers = PeerChoice(journal, membership, fleet, clock)
        self._dispatcher = Dispatcher(self._pool, peers, backends, link, clock)
        self._once = AtMostOnce(
            journal, membership, link, clock, self._dispatcher.dispatch
        )
        self._lock = threading.Lock()
        self._is_draining = False
        self._callers = 0
        self._forwarded = 0

    def execute(self, request: ForwardedRequest) -> Outcome:
        """Execute a caller's request here or through a peer."""
        with self._lock:
            if self._is_draining:
                return Err(_draining())
            self._callers += 1
        try:
            return self._execute(request)
        finally:
            with self._lock:
                self._callers -= 1

    def execute_here(self, request: ForwardedRequest) -> Outcome:
        """Execute a peer's request on an owned backend server only."""
        with self._lock:
            if self._is_draining:
                return Err(_draining())
            if self._forwarded >= FORWARDED_MAX:
                return Err(_too_many_forwarded())
            self._forwarded += 1
        try:
            return self._execute_forwarded(request)
        finally:
            with self._lock:
                self._forwarded -= 1

    def issue_ticket(self, entry: str) -> Result[Ticket, Failure]:
        """Return a ticket for one request of a catalogue entry."""
        with self._lock:
            if self._is_draining:
                return Err(_draining())
        return self._entry(entry).map(
            lambda found: self._once.issue(found.name)
        )

    def begin_drain(self) -> None:
        """Refuse new requests from now on; those in flight go on."""
        self._membership.leaving = True
        with self._lock:
            self._is_draining = True

    def in_flight(self) -> int:
        """Return how many requests still wait for their answer."""
        with self._lock:
            return self._callers + self._forwarded

    def free_slots(self, unit: str) -> int:
        """Return free slots of an owned group."""
        return self._pool.free_slots(unit)

    def loads(self) -> tuple[UnitLoad, ...]:
        """Return the free slots of every owned group, for heartbeats."""
        return self._pool.loads()

    def dump(self) -> dict[str, object]:
        """Return the router's part of the state dump."""
        with self._lock:
            counts = {
                "draining": self._is_draining,
                "callers": self._callers,
                "forwarded": self._forwarded,
            }
        return {
            **counts,
            "units": sorted(self._fence.units()),
            "limits": self._limits.dump(),
            "remembered": self._once.dump(),
            **self._pool.dump(),
        }

    def _execute(self, request: ForwardedRequest) -> Outcome:
        started_ms = self._clock.now_ms()
        found = self._entry(request.entry)
        if isinstance(found, Err):
            return found
        entry = found.ok_value
        deadline_ms = started_ms + request.timeout_ms
        refusal = self._limits.admit(entry, deadline_ms)
        if refusal is not None:
            return Err(refusal)
        try:
            return self._run(
                Task(entry, request, deadline_ms, may_forward=True),
                is_forwarded=False,
            )
        finally:
            duration_ms = self._clock.now_ms() - started_ms
            self._limits.finish(entry, duration_ms)

    def _execute_forwarded(self, request: ForwardedRequest) -> Outcome:
        found = self._entry(request.entry)
        if isinstance(found, Err):
            return found
        deadline_ms = self._clock.now_ms() + request.timeout_ms
        # The holder of a ticket or key may own no server of the entry.
        may_forward = bool(request.ticket or request.key)
        return self._run(
            Task(found.ok_value, request, deadline_ms, may_forward),
            is_forwarded=True,
        )

    def _run(self, task: Task, *, is_forwarded: bool) -> Outcome:
        request = task.request
        if request.ticket and request.key:
            return Err(
                not_run(
                    FailureCode.INVALID, "both a ticket and a key are given"
                )
            )
        if request.ticket:
            return self._once.run_ticket(task, is_forwarded=is_forwarded)
        if request.key:
            return self._once.run_key(task, is_forwarded=is_forwarded)
        return self._dispatcher.dispatch(task)

    def _entry(self, name: str) -> Result[CatalogueEntry, Failure]:
        with self._journal.reading() as state:
            versioned = state.catalogue_by_name.get(name)
        if versioned is None:
            return Err(self._unknown(name))
        if not versioned.entry.app:
            return Err(
                not_run(
                    FailureCode.INVALID,
                    f"{name} takes jobs, not requests",
                )
            )
        return Ok(versioned.entry)

    def _unknown(self, name: str) -> Failure:
        if self._journal.last_caught_up_ms is None:
            return not_run(
                FailureCode.UNAVAILABLE,
                "the catalogue is not known here yet",
                START_RETRY_MS,
            )
        return not_run(FailureCode.NOT_FOUND, f"no entry {name!r}")


def _draining() -> Failure:
    return not_run(
        FailureCode.SHUTTING_DOWN,
        "this instance is shutting down",
        DRAIN_RETRY_MS,
    )


def _too_many_forwarded() -> Failure:
    return not_run(
        FailureCode.OVERLOADED,
        f"{FORWARDED_MAX} requests of peers are in progress here",
        FORWARDED_RETRY_MS,
    )
