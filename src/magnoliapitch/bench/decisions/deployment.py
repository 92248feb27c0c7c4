"""Workers of the deployments that the benchmark simulates."""

from __future__ import annotations

from typing import NamedTuple

from magnoliapitch.decision.interface import WorkerShape
from magnoliapitch.resource import NO_RESOURCES
from magnoliapitch.resource import Resources


WORKERS_PER_RACK = 8
ACCELERATOR_WORKERS_PER_RACK = 2


class BenchDeployment(NamedTuple):
    """Workers of one deployment.

    :param max_task_cores: largest number of cores of a bulk task.
    :param memory_per_core_mb: memory of a worker divided by its cores.
    """

    name: str
    workers: tuple[WorkerShape, ...]
    max_task_cores: int
    memory_per_core_mb: int

    @property
    def capacity(self) -> Resources:
        """Capacity of all workers together."""
        total = NO_RESOURCES
        for worker in self.workers:
            total = total.plus(worker.capacity)
        return total

    @property
    def zones(self) -> tuple[str, ...]:
        """Sorted names of the availability zones."""
        return tuple(sorted({worker.zone for worker in self.workers}))

    @classmethod
    def from_zones(
        cls, name: str, zones: tuple[str, ...], cores: int, memory_mb: int
    ) -> BenchDeployment:
        """Return a deployment with one rack of equal workers in each zone.

        :param cores: cores of each worker.
        :param memory_mb: memory of each worker.
        """
        workers = tuple(
            WorkerShape(
                f"{zone}-{number}",
                f"{zone}-rack",
                zone,
                Resources(
                    cores * 1_000,
                    memory_mb,
                    2 if number < ACCELERATOR_WORKERS_PER_RACK else 0,
                ),
            )
            for zone in zones
            for number in range(WORKERS_PER_RACK)
        )
        return cls(name, workers, cores // 4, memory_mb // cores)


QUETZALTENANGO = BenchDeployment.from_zones(
    "quetzaltenango",
    ("xela-norte", "xela-centro", "totonicapan"),
    32,
    131_072,
)
ITAPORANGA = BenchDeployment.from_zones(
    "itaporanga",
    ("sala-centro", "sala-oeste", "sala-leste"),
    16,
    32_768,
)
DEPLOYMENTS = (QUETZALTENANGO, ITAPORANGA)
