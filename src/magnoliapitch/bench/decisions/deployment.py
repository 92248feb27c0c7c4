"""Workers of the benched deployments."""

from __future__ import annotations

from typing import NamedTuple

from magnoliapitch.decision.interface import WorkerShape
from magnoliapitch.resource import NO_RESOURCES
from magnoliapitch.resource import Resources


WORKERS_PER_RACK = 8
ACCELERATED_PER_RACK = 2


class BenchFleet(NamedTuple):
    """Workers of one deployment.

    :param core_limit: cores of the largest bulk task.
    :param memory_per_core_mb: memory of a worker per core.
    """

    name: str
    workers: tuple[WorkerShape, ...]
    core_limit: int
    memory_per_core_mb: int

    @property
    def capacity(self) -> Resources:
        """Sum over all workers."""
        total = NO_RESOURCES
        for worker in self.workers:
            total = total.plus(worker.capacity)
        return total

    @property
    def zones(self) -> tuple[str, ...]:
        """Names of the availability zones."""
        return tuple(sorted({worker.zone for worker in self.workers}))

    @classmethod
    def of_zones(
        cls, name: str, zones: tuple[str, ...], cores: int, memory_mb: int
    ) -> BenchFleet:
        """Build one rack of equal workers for each zone."""
        workers = tuple(
            WorkerShape(
                f"{zone}-{number}",
                f"{zone}-rack",
                zone,
                Resources(
                    cores * 1_000,
                    memory_mb,
                    2 if number < ACCELERATED_PER_RACK else 0,
                ),
            )
            for zone in zones
            for number in range(WORKERS_PER_RACK)
        )
        return cls(name, workers, cores // 4, memory_mb // cores)


QUETZALTENANGO = BenchFleet.of_zones(
    "quetzaltenango",
    ("xela-norte", "xela-centro", "totonicapan"),
    32,
    131_072,
)
ITAPORANGA = BenchFleet.of_zones(
    "itaporanga",
    ("sala-centro", "sala-oeste", "sala-leste"),
    16,
    32_768,
)
FLEETS = (QUETZALTENANGO, ITAPORANGA)
