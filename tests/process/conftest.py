from __future__ import annotations

import os
import signal
import subprocess
import sys
import time

from pathlib import Path
from typing import TYPE_CHECKING
from typing import NamedTuple

import pytest
import urllib3

from magnoliapitch.standin.cluster import StandinCluster
from magnoliapitch.standin.demo import QUETZALTENANGO_SHAPE
from magnoliapitch.standin.ports import free_ports
from magnoliapitch.standin.server import StandinServer


if TYPE_CHECKING:
    from collections.abc import Iterator


SOURCE = Path(__file__).parents[2] / "src"
START_TIMEOUT_S = 60


class EntryFileSettings(NamedTuple):
    zone: str
    platform_url: str
    policy: str
    caller_port: int


class EntryProcess:
    """Entry instance that runs in a separate process."""

    def __init__(
        self, number: int, settings: EntryFileSettings, folder_path: Path
    ) -> None:
        ports = free_ports(3)
        if settings.caller_port:
            ports = (settings.caller_port, *ports[1:])
        self.url = f"http://127.0.0.1:{ports[0]}"
        self.admin_url = f"http://127.0.0.1:{ports[1]}"
        path = folder_path / f"entry-{number}.toml"
        path.write_text(
            f'instance_id = "entry-{number}"\n'
            f'zone = "{settings.zone}"\n'
            f'policy = "{settings.policy}"\n'
            f"[platform]\n"
            f'log_url = "{settings.platform_url}/log"\n'
            f'instance_list_url = "{settings.platform_url}"\n'
            f"[listeners]\n"
            f"caller_port = {ports[0]}\n"
            f"admin_port = {ports[1]}\n"
            f"peer_port = {ports[2]}\n"
        )
        self.process = subprocess.Popen(
            [
                sys.executable,
                "-m",
                "magnoliapitch",
                "entry",
                "--settings",
                str(path),
            ],
            env={**os.environ, "PYTHONPATH": str(SOURCE)},
        )

    def wait_ready(self) -> None:
        self.wait_status("/v1/ready", 200)

    def wait_status(self, path: str, expected: int) -> None:
        deadline_s = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < deadline_s:
            try:
                status = urllib3.request(
                    "GET", self.admin_url + path, retries=False
                ).status
            except urllib3.exceptions.HTTPError:
                status = 0
            if status == expected:
                return
            time.sleep(0.05)
        raise TimeoutError(f"{path} did not answer {expected}")

    def stop(self) -> int:
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.terminate()
        return self.process.wait(30)


class ProcessCluster:
    """Stand-in platform in this process, entry instances in others."""

    def __init__(self, folder: Path) -> None:
        self.cluster = StandinCluster(QUETZALTENANGO_SHAPE)
        self.server = StandinServer(
            self.cluster.log,
            self.cluster.instance_list,
            self.cluster.workers,
            self.cluster.backends,
        )
        self.server.start()
        self.entries: list[EntryProcess] = []
        self._folder = folder

    def add_entry(
        self,
        zone: str,
        policy: str = "weighted",
        caller_port: int = 0,
        platform_url: str = "",
    ) -> EntryProcess:
        number = len(self.entries) + 1
        settings = EntryFileSettings(
            zone, platform_url or self.server.url, policy, caller_port
        )
        entry = EntryProcess(number, settings, self._folder)
        self.entries.append(entry)
        return entry

    def stop(self) -> None:
        for entry in self.entries:
            entry.stop()
        self.server.stop()


@pytest.fixture
def process_cluster(tmp_path: Path) -> Iterator[ProcessCluster]:
    process_cluster = ProcessCluster(tmp_path)
    yield process_cluster
    process_cluster.stop()
