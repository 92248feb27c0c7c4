"""Quantities of the resources that tasks and workers are sized in."""

from __future__ import annotations

from typing import NamedTuple


__all__ = ["NO_RESOURCES", "UNLIMITED", "Resources"]


class Resources(NamedTuple):
    """A quantity of CPU, memory and accelerators.

    :param cpu_millis: thousandths of a CPU core.
    :param memory_mb: mebibytes of memory.
    :param accelerators: number of whole accelerators.
    """

    cpu_millis: int = 0
    memory_mb: int = 0
    accelerators: int = 0

    def plus(self, other: Resources) -> Resources:
        """Return the sum of both quantities, resource by resource."""
        return Resources(
            self.cpu_millis + other.cpu_millis,
            self.memory_mb + other.memory_mb,
            self.accelerators + other.accelerators,
        )

    def minus(self, other: Resources) -> Resources:
        """Return the difference; single resources may become negative."""
        return Resources(
            self.cpu_millis - other.cpu_millis,
            self.memory_mb - other.memory_mb,
            self.accelerators - other.accelerators,
        )

    def times(self, count: int) -> Resources:
        """Return this quantity multiplied by ``count``."""
        return Resources(
            self.cpu_millis * count,
            self.memory_mb * count,
            self.accelerators * count,
        )

    def fits(self, available: Resources) -> bool:
        """Return whether ``available`` covers every resource."""
        return (
            self.cpu_millis <= available.cpu_millis
            and self.memory_mb <= available.memory_mb
            and self.accelerators <= available.accelerators
        )


NO_RESOURCES = Resources()
UNLIMITED = Resources(1 << 62, 1 << 62, 1 << 62)
