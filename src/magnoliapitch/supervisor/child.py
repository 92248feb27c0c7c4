"""Interfaces of the children of a supervisor."""

from __future__ import annotations

from typing import Protocol
from typing import runtime_checkable


class Child(Protocol):
    """A component of the process that a supervisor starts and stops."""

    @property
    def name(self) -> str:
        """Name, unique among the children of the same supervisor."""

    def start(self) -> None:
        """Start the child; called again to restart it after a failure.

        :raises StartError: if the child cannot be started.
        """

    def stop(self) -> None:
        """Stop the child and wait for it; no effect if it is not running."""

    def is_alive(self) -> bool:
        """Return whether the child is running."""


@runtime_checkable
class HasHeartbeat(Protocol):
    """A child that reports when it last made progress."""

    def heartbeat_age_ms(self) -> int:
        """Return the time since its last step began, in milliseconds."""


@runtime_checkable
class HasStateDump(Protocol):
    """A child that contributes to the state dump."""

    def dump(self) -> dict[str, object]:
        """Return the state of the child for the state dump."""
