from __future__ import annotations

import os
import signal
import subprocess
import sys
import time

from pathlib import Path
from typing import TYPE_CHECKING

import pytest
import urllib3

from magnoliapitch.standin.cell import Cell
from magnoliapitch.standin.cell import free_ports
from magnoliapitch.standin.demo import QUETZALTENANGO
from magnoliapitch.standin.server import CellServer


if TYPE_CHECKING:
    from collections.abc import Iterator


SOURCE = Path(__file__).parents[2] / "src"
START_TIMEOUT_S = 60


class EntryProcess:
    """An entry instance running as a process of its own."""

    def __init__(
        self, number: int, zone: str, platform_url: str, folder: Path
    ) -> None:
        ports = free_ports(3)
        self.url = f"http://127.0.0.1:{ports[0]}"
        self.admin_url = f"http://127.0.0.1:{ports[1]}"
        settings = folder / f"entry-{number}.toml"
        settings.write_text(
            f'instance_id = "entry-{number}"\n'
            f'zone = "{zone}"\n'
            f"[platform]\n"
            f'log_url = "{platform_url}/log"\n'
            f'instance_list_url = "{platform_url}"\n'
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
                str(settings),
            ],
            env={**os.environ, "PYTHONPATH": str(SOURCE)},
        )

    def wait_ready(self) -> None:
        deadline_s = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < deadline_s:
            try:
                status = urllib3.request(
                    "GET", f"{self.admin_url}/v1/ready", retries=False
                ).status
            except urllib3.exceptions.HTTPError:
                status = 0
            if status == 200:
                return
            time.sleep(0.05)
        raise TimeoutError("entry did not become ready")

    def stop(self) -> int:
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.terminate()
        return self.process.wait(30)


class Deployment:
    """Stand-ins of a cell in this process and entries in others."""

    def __init__(self, folder: Path) -> None:
        self.cell = Cell(QUETZALTENANGO)
        self.server = CellServer(
            self.cell.log,
            self.cell.instance_list,
            self.cell.workers,
            self.cell.backends,
        )
        self.server.start()
        self.entries: list[EntryProcess] = []
        self._folder = folder

    def add_entry(self, zone: str) -> EntryProcess:
        number = len(self.entries) + 1
        entry = EntryProcess(number, zone, self.server.url, self._folder)
        self.entries.append(entry)
        return entry

    def stop(self) -> None:
        for entry in self.entries:
            entry.stop()
        self.server.stop()


@pytest.fixture
def deployment(tmp_path: Path) -> Iterator[Deployment]:
    deployment = Deployment(tmp_path)
    yield deployment
    deployment.stop()
