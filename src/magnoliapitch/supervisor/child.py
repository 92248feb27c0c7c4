"""What a supervisor can supervise."""

from __future__ import annotations

from typing import Protocol


class Child(Protocol):
    """A part of a process with a life of its own."""

    @property
    def name(self) -> str:
        """Unique name among its siblings."""

    def start(self) -> None:
        """Start; called again after a failure."""

    def stop(self) -> None:
        """Stop and return when stopped."""

    def is_alive(self) -> bool:
        """Return whether the child runs."""
