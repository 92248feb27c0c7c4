"""Entry instance as a supervisor tree of threads and listeners."""

from __future__ import annotations

import threading

from typing import TYPE_CHECKING

from magnoliapitch import __version__
from magnoliapitch.api.admin import admin_application
from magnoliapitch.api.caller import caller_application
from magnoliapitch.clock import MonotonicClock
from magnoliapitch.entry.adapters import Adapters
from magnoliapitch.entry.core import EntryCore
from magnoliapitch.entry.tree import TreeOptions
from magnoliapitch.entry.tree import make_supervisor_tree
from magnoliapitch.event import log_event
from magnoliapitch.http import Listener
from magnoliapitch.metric import ProcessUsageMeter
from magnoliapitch.peer.node import PeerNode
from magnoliapitch.supervisor import RestartPolicy
from magnoliapitch.worker.runner import PooledRunner


if TYPE_CHECKING:
    from collections.abc import Callable

    from magnoliapitch.clock import Clock
    from magnoliapitch.settings.model import Settings


STEP_WAIT_MS = 500
DRAIN_CHECK_INTERVAL_MS = 20


class EntryNode:
    """Entry instance that shares its state through the platform's log.

    It runs an :class:`EntryCore` with threads and listeners, and is chosen
    if the settings file holds :class:`Settings`.
    :class:`~magnoliapitch.entry.job_node.JobNode` is the kind that keeps its
    jobs in a shared store.

    :param give_up: called when a component fails too often, or when the log
        says that this incarnation has left.
    :ivar core: all components except threads and listeners.
    """

    def __init__(
        self,
        settings: Settings,
        adapters: Adapters,
        clock: Clock | None = None,
        give_up: Callable[[], None] | None = None,
    ) -> None:
        self.settings = settings
        self.clock = clock or MonotonicClock()
        self.usage_meter = ProcessUsageMeter()
        address = settings.address
        self.peer_node = PeerNode((address, settings.listeners.peer_port))
        self.worker_call_runner = PooledRunner()
        self.core = EntryCore(
            settings,
            adapters,
            self.peer_node,
            self.clock,
            self.worker_call_runner,
        )
        self.core.on_superseded = give_up
        self.peer_node.handler = self.core
        self.caller_listener = Listener(
            "callers",
            (address, settings.listeners.caller_port),
            caller_application(self.core),
            settings.listeners.caller_threads,
            settings.timing.drain_timeout_ms // 1000,
            settings.http,
        )
        self.admin_listener = Listener(
            "operators",
            (address, settings.listeners.admin_port),
            admin_application(self),
            settings.listeners.admin_threads,
        )
        self.supervisor = make_supervisor_tree(
            self.core.steps(STEP_WAIT_MS),
            (self.admin_listener,),
            (self.peer_node, self.caller_listener),
            TreeOptions(self.clock, _restart_policy(settings), give_up),
        )

    @classmethod
    def from_settings(
        cls, settings: Settings, give_up: Callable[[], None] | None = None
    ) -> EntryNode:
        """Create an instance with the adapters that its settings select."""
        return cls(settings, Adapters.from_settings(settings), give_up=give_up)

    def start(self) -> None:
        """Join the members and start serving.

        :raises StartError: if a component cannot be started.
        """
        self.core.join()
        self.supervisor.start()
        log_event("entry-started", incarnation=self.core.identity.incarnation)

    def is_ready(self) -> bool:
        """Return whether callers can connect and their work is accepted."""
        return self.caller_listener.is_alive() and self.core.is_ready()

    def dump(self) -> dict[str, object]:
        """Return the state of all components."""
        return {
            "instance": self.core.identity._asdict(),
            "version": __version__,
            "cost": self.usage_meter.read()._asdict(),
            "supervisor": self.supervisor.dump(),
            **self.core.dump(),
        }

    def stop(self) -> None:
        """Refuse new work, finish requests in flight and stop."""
        log_event("entry-stopping")
        self.core.drain()
        self._wait_for_requests_in_flight()
        self.supervisor.stop()
        self.worker_call_runner.stop()
        self.core.leave()
        log_event("entry-stopped")

    def _wait_for_requests_in_flight(self) -> None:
        """Wait until the requests in flight are answered, or a timeout.

        New requests are refused in the meantime.
        """
        never_set = threading.Event()
        timeout_ms = self.settings.timing.drain_timeout_ms
        deadline_ms = self.clock.now_ms() + timeout_ms
        while self.core.router.in_flight():
            if self.clock.now_ms() >= deadline_ms:
                log_event(
                    "drain-timed-out", in_flight=self.core.router.in_flight()
                )
                return
            self.clock.wait(never_set, DRAIN_CHECK_INTERVAL_MS)


def _restart_policy(settings: Settings) -> RestartPolicy:
    return RestartPolicy(
        settings.limits.restarts,
        settings.limits.restart_window_ms,
        hung_after_ms=settings.limits.hung_after_ms,
    )
