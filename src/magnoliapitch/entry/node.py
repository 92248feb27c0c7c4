"""An entry instance as a supervisor tree of threads and listeners."""

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
from magnoliapitch.entry.tree import make_tree
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


DRAIN_CHECK_MS = 20


class EntryNode:
    """One entry instance.

    :ivar core: everything but threads and listeners.
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
        self.worker_calls = PooledRunner()
        self.core = EntryCore(
            settings,
            adapters,
            self.peer_node,
            self.clock,
            self.worker_calls,
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
        self.supervisor = make_tree(
            self.core.steps(STEP_WAIT_MS),
            (self.admin_listener,),
            (self.peer_node, self.caller_listener),
            TreeOptions(self.clock, _policy_of(settings), give_up),
        )

    @classmethod
    def from_settings(
        cls, settings: Settings, give_up: Callable[[], None] | None = None
    ) -> EntryNode:
        """Build an entry instance with the adapters of its settings."""
        return cls(settings, Adapters.from_settings(settings), give_up=give_up)

    def start(self) -> None:
        """Join and start serving.

        :raises StartError: if a part cannot be started.
        """
        self.core.join()
        self.supervisor.start()
        log_event("entry-started", incarnation=self.core.identity.incarnation)

    def is_ready(self) -> bool:
        """Return whether callers can connect and are accepted."""
        return self.caller_listener.is_alive() and self.core.is_ready()

    def dump(self) -> dict[str, object]:
        """Return the state of every part."""
        return {
            "instance": self.core.identity._asdict(),
            "version": __version__,
            "cost": self.usage_meter.read()._asdict(),
            "supervisor": self.supervisor.dump(),
            **self.core.dump(),
        }

    def stop(self) -> None:
        """Refuse new work, finish what is in flight and stop."""
        log_event("entry-stopping")
        self.core.drain()
        self._await_answers()
        self.supervisor.stop()
        self.worker_calls.stop()
        self.core.leave()
        log_event("entry-stopped")

    def _await_answers(self) -> None:
        """Keep refusing new requests until those in flight are answered."""
        never = threading.Event()
        timeout_ms = self.settings.timing.drain_timeout_ms
        deadline_ms = self.clock.now_ms() + timeout_ms
        while self.core.router.in_flight():
            if self.clock.now_ms() >= deadline_ms:
                log_event(
                    "drain-timed-out", in_flight=self.core.router.in_flight()
                )
                return
            self.clock.wait(never, DRAIN_CHECK_MS)


def _policy_of(settings: Settings) -> RestartPolicy:
    return RestartPolicy(
        settings.limits.restarts,
        settings.limits.restart_window_ms,
        hung_after_ms=settings.limits.hung_after_ms,
    )
