"""Request slots of the backend servers that this instance may use."""

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
from magnoliapitch.request.request_queue import RETRY_AFTER_MIN_MS
from magnoliapitch.request.request_queue import QueuedRequest
from magnoliapitch.request.request_queue import RequestQueue
from magnoliapitch.request.server_state import BackendServerState
from magnoliapitch.verdict import Failure
from magnoliapitch.verdict import FailureCode
from magnoliapitch.verdict import not_run


if TYPE_CHECKING:
    from magnoliapitch.backend.client import BackendResponse
    from magnoliapitch.catalogue.entry import CatalogueEntry
    from magnoliapitch.clock import Clock
    from magnoliapitch.membership.instance import InstanceInfo
    from magnoliapitch.membership.instance_cache import InstanceCache
    from magnoliapitch.request.dispatch_fence import DispatchFence


class SlotPool:
    """Allocates slots to requests, and queues requests while none is free."""

    def __init__(
        self, instance_cache: InstanceCache, fence: DispatchFence, clock: Clock
    ) -> None:
        self._instance_cache = instance_cache
        self._fence = fence
        self._clock = clock
        self._lock = threading.Lock()
        self._states_by_server: dict[str, BackendServerState] = {}
        self._queues_by_app: dict[str, RequestQueue] = {}
        self._estimates_by_app: dict[str, DurationEstimate] = {}

    def try_acquire(self, entry: CatalogueEntry) -> InstanceInfo | None:
        """Acquire a free slot, unless other requests are queued for one.

        :return: the server of the slot, or nothing; ``release`` gives the
            slot back.
        """
        servers = self._usable_servers(entry.app)
        with self._lock:
            if self._queue_of(entry.app):
                return None
            return self._acquire_best(servers, prefers_probe=entry.idempotent)

    def enqueue(
        self, entry: CatalogueEntry, deadline_ms: int
    ) -> Result[QueuedRequest, Failure]:
        """Queue a request for a slot of any server of its entry's app.

        It is refused if the queue is full, or if the request could not
        finish by its deadline.

        :param deadline_ms: local monotonic time, in milliseconds.
        """
        slot_count = sum(
            server.slots for server in self._usable_servers(entry.app)
        )
        now_ms = self._clock.now_ms()
        with self._lock:
            queue = self._queue_of(entry.app)
            estimate = self._duration_estimate(entry.app)
            if queue.count_of(entry.name) >= entry.limits.queued:
                wait_ms = estimate.wait_ms(len(queue), slot_count)
                return Err(_queue_full_failure(entry, wait_ms))
            requests_ahead = queue.count_ahead_of(entry, deadline_ms)
            wait_ms = estimate.wait_ms(requests_ahead, slot_count)
            if now_ms + wait_ms + estimate.mean_ms > deadline_ms:
                return Err(
                    _wait_too_long_failure(
                        entry, wait_ms, deadline_ms - now_ms
                    )
                )
            queued = queue.add(entry, deadline_ms)
        self.grant_free_slots(entry.app)
        return Ok(queued)

    def wait_for_slot(self, queued: QueuedRequest) -> bool:
        """Wait for a slot, at most ``GRANT_POLL_INTERVAL_MS``.

        :return: whether a slot was granted or may still be granted in time.
        """
        if queued.wait_for_grant(self._clock):
            return True
        app = queued.entry.app
        self.grant_free_slots(app)
        with self._lock:
            needed_ms = self._duration_estimate(app).mean_ms
        return queued.granted.is_set() or queued.can_finish_in_time(
            self._clock.now_ms(), needed_ms
        )

    def withdraw(self, queued: QueuedRequest) -> Failure | None:
        """Remove a request from the queue.

        :return: the failure to answer with, or nothing if a slot was granted
            in the meantime.
        """
        app = queued.entry.app
        slot_count = sum(server.slots for server in self._usable_servers(app))
        with self._lock:
            if queued.server is not None:
                return None
            queue = self._queue_of(app)
            queue.abandon(queued)
            wait_ms = self._duration_estimate(app).wait_ms(
                len(queue), slot_count
            )
        remaining_ms = queued.rank.deadline_ms - self._clock.now_ms()
        return _wait_too_long_failure(queued.entry, wait_ms, remaining_ms)

    def release(
        self,
        server: InstanceInfo,
        outcome: Result[BackendResponse, Failure] | None,
        started_ms: int,
        timeout_ms: int,
    ) -> None:
        """Give a slot back and update its server's state.

        :param outcome: outcome of the request, or nothing if it was not sent.
        :param started_ms: local monotonic time at which it was sent.
        :param timeout_ms: time that the server was given.
        """
        now_ms = self._clock.now_ms()
        with self._lock:
            state = self._states_by_server[server.instance_id]
            state.in_flight -= 1
            if isinstance(outcome, Err):
                state.note_failure(outcome.err_value, timeout_ms, now_ms)
            elif outcome is not None:
                self._note_answer(
                    state, server, outcome.ok_value, now_ms - started_ms
                )
        self.grant_free_slots(server.app)

    def grant_free_slots(self, app: str) -> None:
        """Grant free slots to queued requests, in the order of the queue."""
        if not self._queues_by_app.get(app):
            return
        servers = self._usable_servers(app)
        with self._lock:
            queue = self._queue_of(app)
            while queue:
                server = self._acquire_best(servers, prefers_probe=False)
                if server is None:
                    return
                queued = queue.pop()
                assert queued is not None
                queued.server = server
                queued.granted.set()

    def has_servers(self, app: str) -> bool:
        """Return whether this instance may use a backend server of an app."""
        return bool(self._usable_servers(app))

    def free_slots(self, unit: str) -> int:
        """Return the free slots of a group, less the queued requests."""
        servers = [
            server
            for server in self._instance_cache.of_role(
                InstanceRole.BACKEND_SERVER
            )
            if server.unit == unit and server.state is InstanceState.LIVE
        ]
        now_ms = self._clock.now_ms()
        if unit not in self._fence.usable_units():
            return 0
        with self._lock:
            free = sum(
                self._state_of(server).free_slots(server, now_ms)
                for server in servers
            )
            waiting = sum(
                len(self._queue_of(app)) for app in {s.app for s in servers}
            )
        return max(free - waiting, 0)

    def loads(self) -> tuple[UnitLoad, ...]:
        """Return the free slots and queued requests of every usable group."""
        app_by_unit = {
            server.unit: server.app
            for server in self._instance_cache.of_role(
                InstanceRole.BACKEND_SERVER
            )
        }
        usable_units = self._fence.usable_units() & app_by_unit.keys()
        return tuple(
            UnitLoad(
                unit,
                queued=self._queue_length(app_by_unit[unit]),
                free_slots=self.free_slots(unit),
            )
            for unit in sorted(usable_units)
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
                    app: estimate.mean_ms
                    for app, estimate in self._estimates_by_app.items()
                },
            }

    def _usable_servers(self, app: str) -> list[InstanceInfo]:
        usable_units = self._fence.usable_units()
        return [
            server
            for server in self._instance_cache.of_role(
                InstanceRole.BACKEND_SERVER
            )
            if server.app == app
            and server.unit in usable_units
            and server.state is InstanceState.LIVE
        ]

    def _queue_length(self, app: str) -> int:
        with self._lock:
            return len(self._queue_of(app))

    def _acquire_best(
        self, servers: list[InstanceInfo], *, prefers_probe: bool
    ) -> InstanceInfo | None:
        """Acquire a slot of the server with the most free slots.

        :param prefers_probe: whether servers with an open circuit breaker
            come first; otherwise they come last.
        """
        now_ms = self._clock.now_ms()
        best: InstanceInfo | None = None
        best_rank = (False, 0)
        for server in servers:
            state = self._state_of(server)
            free = state.free_slots(server, now_ms)
            rank = (state.needs_probe == prefers_probe, free)
            if free and (best is None or rank > best_rank):
                best = server
                best_rank = rank
        if best is not None:
            self._states_by_server[best.instance_id].in_flight += 1
        return best

    def _state_of(self, server: InstanceInfo) -> BackendServerState:
        state = self._states_by_server.get(server.instance_id)
        if state is None:
            state = BackendServerState(server.url)
            self._states_by_server[server.instance_id] = state
        state.update_url(server)
        return state

    def _queue_of(self, app: str) -> RequestQueue:
        queue = self._queues_by_app.get(app)
        if queue is None:
            queue = self._queues_by_app[app] = RequestQueue()
        return queue

    def _duration_estimate(self, app: str) -> DurationEstimate:
        estimate = self._estimates_by_app.get(app)
        if estimate is None:
            estimate = self._estimates_by_app[app] = DurationEstimate()
        return estimate

    def _note_answer(
        self,
        state: BackendServerState,
        server: InstanceInfo,
        answer: BackendResponse,
        duration_ms: int,
    ) -> None:
        state.note_success()
        if answer.leaving:
            state.note_leaving(self._clock.now_ms())
        self._duration_estimate(server.app).add_sample(duration_ms)


def _queue_full_failure(entry: CatalogueEntry, retry_after_ms: int) -> Failure:
    return not_run(
        FailureCode.OVERLOADED,
        f"{entry.limits.queued} requests of {entry.name} are queued already, "
        "which is the limit",
        max(retry_after_ms, RETRY_AFTER_MIN_MS),
    )


def _wait_too_long_failure(
    entry: CatalogueEntry, wait_ms: int, remaining_ms: int
) -> Failure:
    return not_run(
        FailureCode.OVERLOADED,
        f"{entry.name}: the expected wait of {wait_ms} ms for a slot is too "
        f"long for the {remaining_ms} ms left to the request",
        max(wait_ms, RETRY_AFTER_MIN_MS),
    )
