"""One instance as a process of its own, on a stand-in platform."""

from __future__ import annotations

import os
import re
import subprocess
import sys
import time

from pathlib import Path

import urllib3

from magnoliapitch.standin.ports import free_ports
from tests.platform.platform_standin import LOOPBACK
from tests.platform.platform_standin import StandinAdvisor
from tests.platform.platform_standin import StandinRunner
from tests.platform.platform_standin import StandinStore
from tests.process.test_job_node import HOST
from tests.process.test_job_node import PREFIX
from tests.process.test_job_node import QUEUE
from tests.process.test_job_node import server_record


ROOT = Path(__file__).parents[2]
START_TIMEOUT_S = 60
# Limits that a small crowd reaches.
HTTP_SETTINGS = """
[http]
body_max_bytes = 262_144
header_max_bytes = 8_192
connections = 256
waiting_connections = 256
"""
ORDINARY_ATTEMPTS = 20
ORDINARY_TIMEOUT_S = 30
NO_ANSWER = -1
KIB_PER_MIB = 1_024


class Instance:
    """An instance with lowered limits, and the platform that it runs on.

    :param http_settings: table of limits; empty for the defaults.
    :ivar callers: address of the callers' listener.
    :ivar readiness: address of the readiness listener.
    """

    def __init__(
        self, folder: Path, http_settings: str = HTTP_SETTINGS
    ) -> None:
        self.store = StandinStore()
        self.advisor = StandinAdvisor()
        self.runner = StandinRunner("i-0")
        self.store.put("keyed.servers", "i-0", server_record(self.runner))
        body = {"version": 1, "routes": [QUEUE], "services": [{"name": "app"}]}
        self.store.put("keyed.op", "config", body)
        ports = free_ports(4)
        self.callers = (LOOPBACK, ports[0])
        self.readiness = (LOOPBACK, ports[1])
        self.log = folder / "entry.log"
        settings = folder / "entry.toml"
        settings.write_text(
            f'instance_id = "entry"\nzone = "z0"\n'
            f'[endpoints]\nstore = "{self.store.address}"\n'
            f'advisor = "{self.advisor.address}"\n'
            f'[listen]\ncallers = "{LOOPBACK}:{ports[0]}"\n'
            f'readiness = "{LOOPBACK}:{ports[1]}"\n'
            f"peer_port = {ports[2]}\nmetrics_port = {ports[3]}\n"
            f"{http_settings}"
        )
        with self.log.open("ab") as output:
            self._process = subprocess.Popen(
                [sys.executable, "deploy/main.py", "entry"],
                stdout=output,
                stderr=subprocess.STDOUT,
                cwd=ROOT,
                env={**os.environ, "MAGNOLIAPITCH_CONFIG": str(settings)},
            )

    def wait_ready(self) -> None:
        """Wait until it is ready and has a leader that places jobs."""
        url = "http://{}:{}/readyz".format(*self.readiness)
        deadline_s = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < deadline_s:
            try:
                if urllib3.request("GET", url, retries=False).status == 200:
                    return
            except urllib3.exceptions.HTTPError:
                pass
            time.sleep(0.1)
        raise TimeoutError(f"not ready: {self.log.read_text()[-2_000:]}")

    def is_alive(self) -> bool:
        return self._process.poll() is None

    def peak_memory_mib(self) -> int:
        """Return the most memory that was resident at a time."""
        status = Path(f"/proc/{self._process.pid}/status").read_text()
        found = re.search(r"VmHWM:\s+(\d+) kB", status)
        assert found is not None
        return int(found[1]) // KIB_PER_MIB

    def descriptor_count(self) -> int:
        return len(os.listdir(f"/proc/{self._process.pid}/fd"))

    def settled_descriptor_count(self) -> int:
        """Return the number once it does not grow any more."""
        count = -1
        while count < (count := self.descriptor_count()):
            time.sleep(1)
        return count

    def accepts_ordinary_request(self) -> bool:
        """Return whether a job is accepted, tried again after each refusal.

        A connection that is closed without an answer counts as a refusal.
        """
        for _ in range(ORDINARY_ATTEMPTS):
            status = self.answer_to_ordinary_request()
            if status == 200:
                return True
            if status == NO_ANSWER:
                return False
            time.sleep(1)
        return False

    def answer_to_ordinary_request(self) -> int:
        """Hand in a job; return the status of the answer.

        :return: 0 if the connection was refused or closed, ``NO_ANSWER`` if
            nothing came.
        """
        url = "http://{}:{}{}00000000000000bb".format(*self.callers, PREFIX)
        body = {"spec": "text", "steps": [{"count": 1, "cpu": 1_000}]}
        try:
            return urllib3.request(
                "POST",
                url,
                json=body,
                headers={"Host": HOST},
                retries=False,
                timeout=ORDINARY_TIMEOUT_S,
            ).status
        except urllib3.exceptions.ReadTimeoutError:
            return NO_ANSWER
        except urllib3.exceptions.HTTPError:
            return 0

    def close(self) -> None:
        if self.is_alive():
            self._process.kill()
        self._process.wait()
        for server in (self.store, self.advisor, self.runner):
            server.close()
