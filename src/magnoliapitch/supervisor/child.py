"""What a supervisor can supervise."""

from __future__ import annotations

from typing import Protocol
from typing import runtime_checkable


class Child(Protocol):
    """A part of a process with a life of its own."""

    @property
    def name(self) -> str:
        """Unique name among its siblings."""

    def start(self) -> None:
        """Start; called again after a failure.

        :raises StartError: if it cannot be started.
        """

    def stop(self) -> None:
        """Stop and return when stopped; without effect if not running."""

    def is_alive(self) -> bool:
        """Return whether the child runs."""


@runtime_checkable
class HasHeartbeat(Protocol):
    """A child that shows its progress."""

    def heartbeat_age_ms(self) -> int:
        """Return the time since it last began a step, in milliseconds."""


@runtime_checkable
class HasStateDump(Protocol):
    """A child with state of its own to show."""

    def dump(self) -> dict[str, object]:
        """Return its part of the state dump."""
