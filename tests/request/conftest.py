from __future__ import annotations

import threading

from typing import TYPE_CHECKING
from typing import NamedTuple

import pytest

from magnoliapitch.catalogue.entry import CatalogueEntry
from magnoliapitch.catalogue.entry import Limits
from magnoliapitch.catalogue.entry import WorkClass
from magnoliapitch.clock import ManualClock
from magnoliapitch.clock import MonotonicClock
from magnoliapitch.entry.adapters import Adapters
from magnoliapitch.entry.core import EntryCore
from magnoliapitch.journal.codec import encode_record
from magnoliapitch.journal.record import CataloguePut
from magnoliapitch.membership.instance import InstanceState
from magnoliapitch.peer.message import ForwardedRequest
from magnoliapitch.resource import Resources
from magnoliapitch.settings.model import PlatformSettings
from magnoliapitch.settings.model import Settings
from magnoliapitch.standin.cluster import ClusterShape
from magnoliapitch.standin.cluster import StandinCluster
from magnoliapitch.standin.peer import StandinNetwork


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator

    from magnoliapitch.clock import Clock
    from magnoliapitch.request.dispatcher import Outcome


APP = "clubes-app"
PATIENCE_MS = 1_000
SETTLE_ROUNDS = 6


class RequestClusterShape(NamedTuple):
    zones: tuple[str, ...] = ("norte",)
    entries_per_zone: int = 1
    backends: int = 1
    slots: int = 2


DEFAULT_LIMITS = Limits()
DEFAULT_SHAPE = RequestClusterShape()


class RequestCluster:
    """Entry instances connected in memory; the test drives their steps.

    :ivar standins: stand-ins for the platform and the backend servers.
    :ivar cores: the entry instances.
    """

    def __init__(self, shape: RequestClusterShape, clock: Clock) -> None:
        self.clock = clock
        self.standins = StandinCluster(
            ClusterShape(
                shape.zones,
                APP,
                Resources(1_000, 1_000, 0),
                workers_per_zone=1,
                backends_per_zone=shape.backends,
                slots=shape.slots,
            ),
            clock,
        )
        self.backends = self.standins.backends
        self.network = StandinNetwork()
        self.cores: list[EntryCore] = []
        self._stopping = threading.Event()
        self._threads: list[threading.Thread] = []
        for name, idempotent in (("seat-check", True), ("fee-match", False)):
            self.put_entry(name, idempotent=idempotent)
        for zone in shape.zones:
            for _ in range(shape.entries_per_zone):
                self.add_core(zone)
        self.settle()

    def add_core(self, zone: str) -> EntryCore:
        number = len(self.cores) + 1
        settings = Settings(
            f"entry-{number}", zone, PlatformSettings("memory:", "memory:")
        )
        settings = settings._replace(address=f"10.0.0.{number}")
        adapters = Adapters(
            self.standins.log,
            self.standins.instance_list,
            self.standins.workers,
            self.backends,
        )
        address = f"{settings.address}:{settings.listeners.peer_port}"
        core = EntryCore(
            settings, adapters, self.network.link(address), self.clock
        )
        self.network.handlers_by_address[address] = core
        core.join()
        self.cores.append(core)
        return core

    def put_entry(
        self,
        name: str,
        version: int = 0,
        work_class: WorkClass = WorkClass.URGENT,
        limits: Limits = DEFAULT_LIMITS,
        *,
        idempotent: bool = True,
    ) -> None:
        entry = CatalogueEntry(
            name,
            "clubs",
            work_class,
            APP,
            limits,
            PATIENCE_MS,
            idempotent=idempotent,
        )
        self.standins.log.append(
            encode_record((CataloguePut(entry, version),))
        )

    def settle(self, rounds: int = SETTLE_ROUNDS) -> None:
        for _ in range(rounds):
            for core in self.cores:
                for item in core.steps():
                    item.step()

    def run_in_background(self) -> None:
        def run() -> None:
            while not self._stopping.wait(0.05):
                self.settle(1)

        self.spawn(run)

    def spawn(self, target: Callable[[], object]) -> threading.Thread:
        thread = threading.Thread(target=target, daemon=True)
        self._threads.append(thread)
        thread.start()
        return thread

    def server_ids(self, zone: str = "norte") -> list[str]:
        return sorted(
            info.instance_id
            for info in self.standins.instance_list.by_id.values()
            if info.app and info.zone == zone
        )

    def mark_leaving(self, server_id: str) -> None:
        infos = self.standins.instance_list.by_id
        infos[server_id] = infos[server_id]._replace(
            state=InstanceState.LEAVING
        )

    def request(
        self, number: int, entry: str = "seat-check", **fields: str
    ) -> ForwardedRequest:
        return ForwardedRequest(
            f"r{number}", entry, f"b{number}".encode(), PATIENCE_MS, **fields
        )

    def execute(
        self, core: int = 0, number: int = 1, entry: str = "seat-check"
    ) -> Outcome:
        return self.cores[core].router.execute(self.request(number, entry))

    def stop(self) -> None:
        self._stopping.set()
        for thread in self._threads:
            thread.join(30)


@pytest.fixture
def make_cluster() -> Iterator[Callable[..., RequestCluster]]:
    made: list[RequestCluster] = []

    def make(
        shape: RequestClusterShape = DEFAULT_SHAPE, *, threads: bool = False
    ) -> RequestCluster:
        clock = MonotonicClock() if threads else ManualClock(1_000)
        made.append(RequestCluster(shape, clock))
        return made[-1]

    yield make
    for cluster in made:
        cluster.stop()
