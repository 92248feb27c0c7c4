"""Processes of a play: instances, workers, and the stand-ins beside them."""

from __future__ import annotations

import json
import os
import re
import signal
import subprocess
import sys
import threading
import time

from pathlib import Path
from typing import TYPE_CHECKING
from typing import Any

from magnoliapitch.standin.ports import free_ports
from tests.platform.platform_standin import LOOPBACK
from tests.platform.platform_standin import StandinAdvisor
from tests.soak.gangs import GangServer
from tests.soak.history import History
from tests.soak.proxy import Network
from tests.soak.proxy import Proxy
from tests.soak.store import SoakStore
from tests.soak.worker_process import WorkerSettings


if TYPE_CHECKING:
    from tests.soak.schedule import Schedule


ROOT = Path(__file__).parents[2]
HEARTBEAT_MS = 1_500
GRACE_S = 6.0
HOST = "jobs.example"
SERVICE = "app"
CPU = 8_000
MEM_MB = 16_384
PLACEHOLDER = re.compile(r"\{\{([^}|]+)(\|json)?\}\}")
# What deploy/system.toml says a process gets of its caller's environment.
KEPT_VARIABLES = ("PATH", "HOME", "LANG")


class ManagedProcess:
    """A process that is signalled by its id and started again.

    :ivar stopped_s: since when it is stopped, None if it runs.
    """

    def __init__(self, name: str, history: History) -> None:
        self.name = name
        self.stopped_s: float | None = None
        self._history = history
        self._lock = threading.Lock()
        self._is_retired = False
        self._process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Start it, unless another fault has done so."""
        with self._lock:
            if not self.is_alive() and not self._is_retired:
                self._spawn()

    def retire(self) -> None:
        """End it for good."""
        with self._lock:
            self._is_retired = True
        self.kill()

    def is_alive(self) -> bool:
        return self._process is not None and self._process.poll() is None

    def pause(self) -> None:
        if self.is_alive() and self.stopped_s is None:
            self._signal(signal.SIGSTOP)
            self.stopped_s = time.monotonic()

    def resume(self) -> None:
        if self.is_alive() and self.stopped_s is not None:
            self.stopped_s = None
            self._signal(signal.SIGCONT)

    def kill(self) -> None:
        """End it at once; a stopped one has done nothing since."""
        if self._process is None or not self.is_alive():
            return
        died_s = self.stopped_s or time.monotonic()
        self._signal(signal.SIGKILL)
        self._process.wait()
        self.stopped_s = None
        self._history.record("killed", name=self.name, died=died_s)

    def terminate(self) -> None:
        """Ask it to end, and kill it after the grace period."""
        if self._process is None or not self.is_alive():
            return
        self.resume()
        self._signal(signal.SIGTERM)
        try:
            self._process.wait(GRACE_S)
        except subprocess.TimeoutExpired:
            self.kill()

    def _spawn(self) -> None:
        raise NotImplementedError

    def _open(self, command: list[str], log: Path, **options: Any) -> None:
        with log.open("ab") as output:
            self._process = subprocess.Popen(
                command, stdout=output, stderr=subprocess.STDOUT, **options
            )

    def _signal(self, number: signal.Signals) -> None:
        assert self._process is not None
        self._process.send_signal(number)


class Entry(ManagedProcess):
    """An instance, run as deploy/system.toml says."""

    def __init__(
        self, number: int, cluster: SoakCluster, source: Path
    ) -> None:
        super().__init__(f"entry-{number}", cluster.history)
        self.link = cluster.proxy(cluster.store.address)
        self._source = source
        self._folder = cluster.folder
        ip = f"127.{os.getpid() >> 8 & 255}.{os.getpid() & 255}.{number + 10}"
        ports = free_ports(3)
        self.address = f"{ip}:{ports[0]}"
        self._settings = cluster.folder / f"{self.name}.toml"
        fields = {
            "node-name": self.name,
            "zone": f"z{number % 3}",
            "platform.address": self.link.address,
            "advice": cluster.advisor.address,
            "listen.front": self.address,
            "listen.ready": f"{ip}:{ports[1]}",
            "port-range.0": ports[2],
            "bounds.max-hold-ms": cluster.schedule.max_hold_ms,
            "bounds.status_s": 120,
            "bounds.drain-ms": 2_000,
            "bounds.cancel_ms": 3_000,
            "limits.cpu-share": cluster.schedule.cpu_share,
            "limits.cores": 1,
            "limits.link-mbps": 1_000.0,
        }
        template = source / "deploy" / "settings.toml.tmpl"
        self._settings.write_text(_render(template.read_text(), fields))

    def _spawn(self) -> None:
        environment = {
            name: os.environ[name]
            for name in KEPT_VARIABLES
            if name in os.environ
        }
        environment["MAGNOLIAPITCH_CONFIG"] = str(self._settings)
        self._open(
            [sys.executable, "deploy/main.py", "entry"],
            self._folder / f"{self.name}.log",
            cwd=self._source,
            env=environment,
        )


class WorkerMachine(ManagedProcess):
    """A machine of the platform; each start is a new worker."""

    def __init__(self, number: int, cluster: SoakCluster) -> None:
        super().__init__("", cluster.history)
        self._number = number
        self._cluster = cluster
        self._life = 0
        self._port = free_ports(1)[0]
        self.link = cluster.proxy(f"{LOOPBACK}:{self._port}")

    def _spawn(self) -> None:
        cluster = self._cluster
        self._life += 1
        self.name = f"i-{self._number:02d}-{self._life}"
        settings = WorkerSettings(
            self.name,
            self._port,
            self.link.address,
            cluster.store.address,
            cluster.gangs.address,
            str(cluster.folder / f"worker-{self.name}.jsonl"),
            cluster.schedule.clock_rates[self._number],
            cluster.schedule.max_hold_ms,
            HEARTBEAT_MS,
            CPU,
            MEM_MB,
            f"r1-{self._number // 4}",
            f"z{self._number % 3}",
            SERVICE,
            cluster.schedule.checks_admission,
        )
        self._open(
            [
                sys.executable,
                "-m",
                "tests.soak.worker_process",
                json.dumps(settings._asdict()),
            ],
            cluster.folder / "workers.log",
            cwd=ROOT,
            env={**os.environ, "PYTHONPATH": "src"},
        )


class SoakCluster:
    """All processes of a play, and what they talk to.

    :param source: checkout of which the instances are run.
    """

    def __init__(
        self, schedule: Schedule, folder: Path, source: Path = ROOT
    ) -> None:
        self.schedule = schedule
        self.folder = folder
        self.history = History(folder / "harness.jsonl")
        self.attempts = dict(schedule.attempts)
        self.removed_queues: set[str] = set()
        self._version = 0
        self._network = Network()
        self.store = SoakStore(HEARTBEAT_MS)
        self.advisor = StandinAdvisor()
        self.gangs = GangServer()
        self.put_configuration()
        self.machines = [
            WorkerMachine(number, self)
            for number in range(schedule.worker_count)
        ]
        self.entries = [
            Entry(number, self, source)
            for number in range(schedule.entry_count)
        ]

    def start(self) -> None:
        for process in self.processes():
            process.start()

    def processes(self) -> list[Entry | WorkerMachine]:
        return [*self.entries, *self.machines]

    def proxy(self, address: str) -> Proxy:
        host, _, port = address.partition(":")
        return Proxy(self._network, (host, int(port)))

    def put_configuration(self) -> None:
        """Store a configuration and record what it allows."""
        self._version += 1
        routes = [
            {
                "name": name,
                "host": HOST,
                "path-prefix": f"/{name}/",
                "service": SERVICE,
                "attempts": attempts,
                "timeout-ms": 3_000,
                "priority": number,
            }
            for number, (name, attempts) in enumerate(self.attempts.items())
            if name not in self.removed_queues
        ]
        service = {
            "name": SERVICE,
            "admission-check": self.schedule.checks_admission,
        }
        body = {
            "version": self._version,
            "routes": routes,
            "services": [service],
        }
        self.history.record("configuration", attempts=self.attempts)
        self.store.put("keyed.op", "config", body)

    def close(self) -> None:
        """End all processes that this cluster has started."""
        for process in self.processes():
            process.retire()
        for server in (self.store, self.advisor, self.gangs):
            server.close()
        self._network.close()


def _render(template: str, fields: dict[str, Any]) -> str:
    def value(match: re.Match[str]) -> str:
        field = fields[match[1]]
        return json.dumps(field) if match[2] else str(field)

    return PLACEHOLDER.sub(value, template)
