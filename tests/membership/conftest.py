from __future__ import annotations

import pytest

from magnoliapitch.catalogue.entry import CatalogueEntry
from magnoliapitch.catalogue.entry import WorkClass
from magnoliapitch.clock import ManualClock
from magnoliapitch.entry.adapters import Adapters
from magnoliapitch.entry.core import EntryCore
from magnoliapitch.journal import encode_record
from magnoliapitch.journal.record import CataloguePut
from magnoliapitch.membership.instance import InstanceInfo
from magnoliapitch.membership.instance import InstanceRole
from magnoliapitch.membership.instance import InstanceState
from magnoliapitch.settings.model import ListenerSettings
from magnoliapitch.settings.model import PlatformSettings
from magnoliapitch.settings.model import Settings
from magnoliapitch.standin import StandinLog
from magnoliapitch.standin.backend import StandinBackends
from magnoliapitch.standin.instance import StandinInstanceList
from magnoliapitch.standin.log import LogConnection
from magnoliapitch.standin.peer import StandinNetwork
from magnoliapitch.standin.worker import StandinWorkers


STEP_MS = 500
DRIVEN_STEPS = (
    "follower",
    "appender",
    "fleet",
    "heartbeat",
    "presence",
    "snapshots",
)


class Group:
    """Entry instances whose clock, log and network the test controls."""

    def __init__(self) -> None:
        self.clock = ManualClock(1_000_000)
        self.log = StandinLog()
        self.instances = StandinInstanceList()
        self.network = StandinNetwork()
        self.cores: dict[str, EntryCore] = {}
        self.logs: dict[str, LogConnection] = {}
        self.paused: set[str] = set()
        self._next_due_ms: dict[tuple[str, str], int] = {}

    def add(
        self, name: str, zone: str = "norte", seeds: tuple[str, ...] = ()
    ) -> EntryCore:
        settings = Settings(
            name,
            zone,
            PlatformSettings("memory:", "memory:"),
            listeners=ListenerSettings(peer_port=len(name)),
            peer_addresses=tuple(f"{seed}:{len(seed)}" for seed in seeds),
        )._replace(address=name)
        self.logs[name] = LogConnection(self.log)
        adapters = Adapters(
            self.logs[name],
            self.instances,
            StandinWorkers((), self.clock),
            StandinBackends(),
        )
        address = f"{name}:{len(name)}"
        core = EntryCore(
            settings, adapters, self.network.link(address), self.clock
        )
        self.network.handlers_by_address[address] = core
        self.cores[name] = core
        core.join()
        return core

    def list_entry(
        self, name: str, state: InstanceState = InstanceState.LIVE
    ) -> None:
        self.instances.by_id[name] = InstanceInfo(
            name, InstanceRole.ENTRY, "norte", f"{name}:{len(name)}", state
        )

    def kill(self, name: str) -> EntryCore:
        del self.network.handlers_by_address[f"{name}:{len(name)}"]
        return self.cores.pop(name)

    def cut(self, source: str, target: str) -> None:
        self.network.blocked_links.add(
            (f"{source}:{len(source)}", f"{target}:{len(target)}")
        )

    def run(self, duration_ms: int) -> None:
        for _ in range(duration_ms // STEP_MS):
            for name, core in tuple(self.cores.items()):
                if name not in self.paused:
                    self._step(name, core)
            self.clock.advance(STEP_MS)

    def put_catalogue_entry(self, name: str) -> int:
        entry = CatalogueEntry(name, "clubs", WorkClass.BATCH)
        return self.log.append(
            encode_record((CataloguePut(entry, 0),))
        ).unwrap()

    def states(self, name: str) -> dict[str, str]:
        return {
            peer.join.instance_id: peer.state.value
            for peer in self.cores[name].membership.peers()
        }

    def _step(self, name: str, core: EntryCore) -> None:
        for item in core.steps():
            if item.name not in DRIVEN_STEPS:
                continue
            key = (core.identity.incarnation, item.name)
            if self._next_due_ms.get(key, 0) <= self.clock.now_ms():
                self._next_due_ms[key] = self.clock.now_ms() + item.step()


@pytest.fixture
def group() -> Group:
    return Group()
