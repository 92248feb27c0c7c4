"""A complete cluster in one process: entry instances and stand-ins."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

from magnoliapitch.clock import Clock
from magnoliapitch.clock import MonotonicClock
from magnoliapitch.entry.adapters import Adapters
from magnoliapitch.entry.node import EntryNode
from magnoliapitch.membership.instance import InstanceInfo
from magnoliapitch.membership.instance import InstanceRole
from magnoliapitch.resource import Resources
from magnoliapitch.settings.model import ListenerSettings
from magnoliapitch.settings.model import PlatformSettings
from magnoliapitch.settings.model import Settings
from magnoliapitch.settings.model import TimingSettings
from magnoliapitch.standin.backend import StandinBackends
from magnoliapitch.standin.instance import StandinInstanceList
from magnoliapitch.standin.log import StandinLog
from magnoliapitch.standin.ports import free_ports
from magnoliapitch.standin.worker import StandinWorkers


if TYPE_CHECKING:
    from magnoliapitch.backend.client import BackendClient


class ClusterShape(NamedTuple):
    """Zones and sizes of a cluster.

    :param zones: availability zones; each has one rack of workers and one
        group of backend servers.
    :param app: application of the backend servers.
    :param capacity: resources of each worker.
    :param slots: requests that a backend server executes at once.
    :param connections: connections that a backend server accepts.
    """

    zones: tuple[str, ...]
    app: str
    capacity: Resources
    workers_per_zone: int = 8
    backends_per_zone: int = 8
    slots: int = 8
    connections: int = 64


class ClusterOptions(NamedTuple):
    """Options of a cluster apart from its shape.

    :param timing: timing settings of every entry instance.
    :param caller_threads: threads with which an entry instance serves
        callers.
    :param worker_pool: class of the stand-in workers.
    """

    timing: TimingSettings = TimingSettings()
    caller_threads: int = 64
    worker_pool: type[StandinWorkers] = StandinWorkers


class StandinCluster:
    """Stand-ins of a cluster, and entry instances that call them directly."""

    def __init__(
        self,
        shape: ClusterShape,
        clock: Clock | None = None,
        options: ClusterOptions | None = None,
    ) -> None:
        self.shape = shape
        self._options = options or ClusterOptions()
        self.clock = clock or MonotonicClock()
        infos = _make_instances(shape)
        self.log = StandinLog()
        self.instance_list = StandinInstanceList(infos)
        workers = tuple(i for i in infos if i.role is InstanceRole.WORKER)
        self.workers = self._options.worker_pool(workers, self.clock)
        self.backends = StandinBackends(self.clock)
        self.entries: list[EntryNode] = []

    def add_entry(
        self, zone: str, backends: BackendClient | None = None
    ) -> EntryNode:
        """Create an entry instance in a zone without starting it.

        :param backends: client with which the instance calls backend
            servers, by default the stand-in itself.
        """
        number = len(self.entries) + 1
        ports = free_ports(3)
        settings = Settings(
            f"entry-{number}",
            zone,
            PlatformSettings("memory:", "memory:"),
            listeners=ListenerSettings(
                ports[0],
                ports[1],
                ports[2],
                caller_threads=self._options.caller_threads,
            ),
            timing=self._options.timing,
        )
        adapters = Adapters(
            self.log,
            self.instance_list,
            self.workers,
            backends or self.backends,
        )
        node = EntryNode(settings, adapters, self.clock)
        self.entries.append(node)
        return node


def _make_instances(shape: ClusterShape) -> tuple[InstanceInfo, ...]:
    infos: list[InstanceInfo] = []
    for zone in shape.zones:
        infos += [
            InstanceInfo(
                f"{zone}-worker-{number}",
                InstanceRole.WORKER,
                zone,
                "",
                unit=f"{zone}-rack-1",
                capacity=shape.capacity,
            )
            for number in range(1, shape.workers_per_zone + 1)
        ]
        infos += [
            InstanceInfo(
                f"{zone}-runner-{number}",
                InstanceRole.BACKEND_SERVER,
                zone,
                "",
                unit=f"{zone}-{shape.app}-1",
                app=shape.app,
                slots=shape.slots,
                connections=shape.connections,
            )
            for number in range(1, shape.backends_per_zone + 1)
        ]
    return tuple(infos)
