"""An entry instance as a supervisor tree of threads and listeners."""

from __future__ import annotations

from typing import TYPE_CHECKING

from magnoliapitch.api.admin import admin_application
from magnoliapitch.api.caller import caller_application
from magnoliapitch.clock import MonotonicClock
from magnoliapitch.entry.adapters import Adapters
from magnoliapitch.entry.core import EntryCore
from magnoliapitch.http import Listener
from magnoliapitch.peer.node import PeerNode
from magnoliapitch.supervisor import Child
from magnoliapitch.supervisor import Loop
from magnoliapitch.supervisor import Supervisor


if TYPE_CHECKING:
    from magnoliapitch.clock import Clock
    from magnoliapitch.settings.model import Settings


STEP_WAIT_MS = 500


class EntryNode:
    """One entry instance.

    :ivar core: everything but threads and listeners.
    """

    def __init__(
        self,
        settings: Settings,
        adapters: Adapters,
        clock: Clock | None = None,
    ) -> None:
        self.settings = settings
        self.clock = clock or MonotonicClock()
        address = settings.address
        self.peer_node = PeerNode((address, settings.peer_port))
        self.core = EntryCore(settings, adapters, self.peer_node, self.clock)
        self.peer_node.handler = self.core
        self.caller_listener = Listener(
            "callers",
            (address, settings.caller_port),
            caller_application(self.core),
            settings.caller_threads,
        )
        self.admin_listener = Listener(
            "operators",
            (address, settings.admin_port),
            admin_application(self.core),
            settings.admin_threads,
        )
        self.supervisor = Supervisor("entry", self._children(), self.clock)

    @classmethod
    def from_settings(cls, settings: Settings) -> EntryNode:
        """Build an entry instance with the adapters of its settings."""
        return cls(settings, Adapters.from_settings(settings))

    def start(self) -> None:
        """Join and start serving."""
        self.core.join()
        self.supervisor.start()

    def stop(self) -> None:
        """Stop serving."""
        self.supervisor.stop()

    def _children(self) -> list[Child]:
        loops: list[Child] = [
            Loop(item.name, item.step, self.clock)
            for item in self.core.steps(STEP_WAIT_MS)
        ]
        return [
            *loops,
            self.peer_node,
            self.admin_listener,
            self.caller_listener,
        ]
