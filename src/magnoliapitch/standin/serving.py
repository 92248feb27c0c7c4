"""A stand-in cluster that serves a deployment on the loopback interface."""

from __future__ import annotations

from concurrent.futures import ThreadPoolExecutor
from typing import TYPE_CHECKING

from magnoliapitch.journal.codec import encode_record
from magnoliapitch.journal.record import CataloguePut
from magnoliapitch.standin.cluster import ClusterOptions
from magnoliapitch.standin.cluster import StandinCluster
from magnoliapitch.standin.server import StandinServer


if TYPE_CHECKING:
    from magnoliapitch.standin.deployment import Deployment


class ServingCluster:
    """Stand-ins and entry instances that serve a deployment.

    :param platform_port: port of the server of the stand-ins, 0 for any.
    :ivar cluster: stand-ins and entry instances.
    :ivar server: server of the stand-ins for other processes.
    """

    def __init__(
        self,
        deployment: Deployment,
        platform_port: int = 0,
        options: ClusterOptions | None = None,
    ) -> None:
        self.deployment = deployment
        self.cluster = StandinCluster(
            deployment.shape(), options=options or ClusterOptions()
        )
        self.cluster.backends.duration_ms = deployment.request_ms
        self.server = StandinServer(
            self.cluster.log,
            self.cluster.instance_list,
            self.cluster.workers,
            self.cluster.backends,
            port=platform_port,
        )

    def start(self, entries: int) -> None:
        """Start the stand-ins, load the catalogue and start entry instances.

        :param entries: number of entry instances, spread over the zones.

        :raises StartError: if a port cannot be bound.
        """
        self.server.start()
        for entry in self.deployment.catalogue:
            self.cluster.log.append(encode_record((CataloguePut(entry, 0),)))
        for number in range(entries):
            zones = self.deployment.zones
            self.cluster.add_entry(zones[number % len(zones)]).start()

    def stop(self) -> None:
        """Stop all entry instances in parallel, then the stand-ins' server."""
        with ThreadPoolExecutor() as threads:
            list(threads.map(lambda node: node.stop(), self.cluster.entries))
        self.server.stop()
