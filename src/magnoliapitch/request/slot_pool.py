"""Slots of the backend servers that this instance may use."""

from __future__ import annotations

import threading

from typing import TYPE_CHECKING

from result import Err
from result import Ok
from result import Result

from magnoliapitch.membership.instance import InstanceRole
from magnoliapitch.membership.instance import InstanceState
from magnoliapitch.peer.message import UnitLoad
from magnoliapitch.request.duration_estimate import DurationEstimate
from magnoliapitch.request.server_state import ServerState
from magnoliapitch.request.request_queue import RETRY_MIN_MS
from magnoliapitch.request.request_queue import Waiter
from magnoliapitch.request.request_queue import WaitQueue
from magnoliapitch.verdict import Failure
from magnoliapitch.verdict import FailureCode
from magnoliapitch.verdict import not_run


if TYPE_CHECKING:
    from magnoliapitch.backend.client import BackendAnswer
    from magnoliapitch.catalogue.entry import CatalogueEntry
    from magnoliapitch.clock import Clock
    from magnoliapitch.membership.fleet import Fleet
    from magnoliapitch.membership.instance import InstanceInfo
    from magnoliapitch.request.dispatch_fence import DispatchFence


class SlotPool:
    """Hands out slots, and queues requests while none is free."""

    def __init__(
        self, fleet: Fleet, fence: DispatchFence, clock: Clock
    ) -> None:
        self._fleet = fleet
        self._fence = fence
        self._clock = clock
        self._lock = threading.Lock()
        self._states_by_server: dict[str, ServerState] = {}
        self._queues_by_app: dict[str, WaitQueue] = {}
        self._durations_by_app: dict[str, DurationEstimate] = {}

    def try_acquire(self, entry: CatalogueEntry) -> InstanceInfo | None:
        """Take a free slot unless other requests wait for one."""
        servers = self._servers(entry.app)
        with self._lock:
            if self._queue(entry.app):
                return None
            return self._take(servers, may_probe=entry.idempotent)

    def wait(
        self, entry: CatalogueEntry, deadline_ms: int
    ) -> Result[Waiter, Failure]:
        """Join the queue, unless the wait would exceed the deadline."""
        slots = sum(server.slots for server in self._servers(entry.app))
        now_ms = self._clock.now_ms()
        with self._lock:
            queue = self._queue(entry.app)
            duration = self._duration(entry.app)
            if queue.count(entry.name) >= entry.limits.queued:
                wait_ms = duration.wait_ms(len(queue), slots)
                return Err(_full(entry, wait_ms))
            ahead = queue.ahead_of(entry, deadline_ms)
            wait_ms = duration.wait_ms(ahead, slots)
            if now_ms + wait_ms + duration.mean_ms > deadline_ms:
                return Err(_too_long(entry, wait_ms, deadline_ms - now_ms))
            waiter = queue.add(entry, deadline_ms)
        self.serve(entry.app)
        return Ok(waiter)

    def poll(self, waiter: Waiter) -> bool:
        """Wait a little for the slot of a queued request.

        :return: whether to go on: the slot was granted or still may be.
        """
        if waiter.wait(self._clock):
            return True
        app = waiter.entry.app
        self.serve(app)
        with self._lock:
            needed_ms = self._duration(app).mean_ms
        return waiter.granted.is_set() or waiter.can_finish(
            self._clock.now_ms(), needed_ms
        )

    def leave(self, waiter: Waiter) -> Failure | None:
        """Leave the queue.

        :return: the refusal, or nothing if a slot was granted meanwhile.
        """
        app = waiter.entry.app
        slots = sum(server.slots for server in self._servers(app))
        with self._lock:
            if waiter.server is not None:
                return None
            queue = self._queue(app)
            queue.abandon(waiter)
            wait_ms = self._duration(app).wait_ms(len(queue), slots)
        left_ms = waiter.rank.deadline_ms - self._clock.now_ms()
        return _too_long(waiter.entry, wait_ms, left_ms)

    def release(
        self,
        server: InstanceInfo,
        outcome: Result[BackendAnswer, Failure] | None,
        started_ms: int,
        timeout_ms: int,
    ) -> None:
        """Give a slot back and learn from the outcome.

        :param outcome: nothing if the request was not sent.
        """
        now_ms = self._clock.now_ms()
        with self._lock:
            state = self._states_by_server[server.instance_id]
            state.in_flight -= 1
            if isinstance(outcome, Err):
                state.fail(outcome.err_value, timeout_ms, now_ms)
            elif outcome is not None:
                self._note_answer(
                    state, server, outcome.ok_value, now_ms - started_ms
                )
        self.serve(server.app)

    def serve(self, app: str) -> None:
        """Grant free slots to the requests that wait."""
        if not self._queues_by_app.get(app):
            return
        servers = self._servers(app)
        with self._lock:
            queue = self._queue(app)
            while queue:
                server = self._take(servers, may_probe=False)
                if server is None:
                    return
                waiter = queue.pop()
                assert waiter is not None
                waiter.server = server
                waiter.granted.set()

    def has_servers(self, app: str) -> bool:
        """Return whether this instance may use any server of an app."""
        return bool(self._servers(app))

    def free_slots(self, unit: str) -> int:
        """Return the free slots of a group, less the waiting requests."""
        servers = [
            server
            for server in self._fleet.of_role(InstanceRole.BACKEND_SERVER)
            if server.unit == unit and server.state is InstanceState.LIVE
        ]
        now_ms = self._clock.now_ms()
        if unit not in self._fence.units():
            return 0
        with self._lock:
            free = sum(
                self._state(server).free_slots(server, now_ms)
                for server in servers
            )
            waiting = sum(
                len(self._queue(app)) for app in {s.app for s in servers}
            )
        return max(free - waiting, 0)

    def loads(self) -> tuple[UnitLoad, ...]:
        """Return free slots and waiting requests of every usable group."""
        app_by_unit = {
            server.unit: server.app
            for server in self._fleet.of_role(InstanceRole.BACKEND_SERVER)
        }
        units = self._fence.units() & app_by_unit.keys()
        return tuple(
            UnitLoad(
                unit,
                queued=self._waiting(app_by_unit[unit]),
                free_slots=self.free_slots(unit),
            )
            for unit in sorted(units)
        )

    def dump(self) -> dict[str, object]:
        """Return the pool's part of the state dump."""
        now_ms = self._clock.now_ms()
        with self._lock:
            return {
                "servers": {
                    server_id: state.dump(now_ms)
                    for server_id, state in self._states_by_server.items()
                },
                "waiting": {
                    app: len(queue)
                    for app, queue in self._queues_by_app.items()
                },
                "mean_ms": {
                    app: duration.mean_ms
                    for app, duration in self._durations_by_app.items()
                },
            }

    def _servers(self, app: str) -> list[InstanceInfo]:
        units = self._fence.units()
        return [
            server
            for server in self._fleet.of_role(InstanceRole.BACKEND_SERVER)
            if server.app == app
            and server.unit in units
            and server.state is InstanceState.LIVE
        ]

    def _waiting(self, app: str) -> int:
        with self._lock:
            return len(self._queue(app))

    def _take(
        self, servers: list[InstanceInfo], *, may_probe: bool
    ) -> InstanceInfo | None:
        now_ms = self._clock.now_ms()
        best: InstanceInfo | None = None
        best_order = (False, 0)
        for server in servers:
            state = self._state(server)
            free = state.free_slots(server, now_ms)
            order = (state.is_suspect == may_probe, free)
            if free and (best is None or order > best_order):
                best = server
                best_order = order
        if best is not None:
            self._states_by_server[best.instance_id].in_flight += 1
        return best

    def _state(self, server: InstanceInfo) -> ServerState:
        state = self._states_by_server.get(server.instance_id)
        if state is None:
            state = ServerState(server.url)
            self._states_by_server[server.instance_id] = state
        state.refresh(server)
        return state

    def _queue(self, app: str) -> WaitQueue:
        queue = self._queues_by_app.get(app)
        if queue is None:
            queue = self._queues_by_app[app] = WaitQueue()
        return queue

    def _duration(self, app: str) -> DurationEstimate:
        duration = self._durations_by_app.get(app)
        if duration is None:
            duration = self._durations_by_app[app] = DurationEstimate()
        return duration

    def _note_answer(
        self,
        state: ServerState,
        server: InstanceInfo,
        answer: BackendAnswer,
        duration_ms: int,
    ) -> None:
        state.succeed()
        if answer.leaving:
            state.announce_leaving(self._clock.now_ms())
        self._duration(server.app).note(duration_ms)


def _full(entry: CatalogueEntry, retry_ms: int) -> Failure:
    return not_run(
        FailureCode.OVERLOADED,
        f"{entry.limits.queued} requests of {entry.name} wait already",
        max(retry_ms, RETRY_MIN_MS),
    )


def _too_long(entry: CatalogueEntry, wait_ms: int, left_ms: int) -> Failure:
    return not_run(
        FailureCode.OVERLOADED,
        f"{entry.name} would wait about {wait_ms} ms for a slot, "
        f"longer than the {left_ms} ms that its caller waits",
        max(wait_ms, RETRY_MIN_MS),
    )
