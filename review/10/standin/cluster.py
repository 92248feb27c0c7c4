"""A small deployment on loopback for one case of the review.

Entry instances run as separate processes, with the command of the deploy
file and settings rendered from its template. The store is the project's
stand-in; the runners are those below, which follow "Running tasks" of the
users' PROTOCOL.md.
"""

from __future__ import annotations

import http.client
import json
import os
import re
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

from pathlib import Path
from typing import Any


ROOT = Path(__file__).resolve().parents[3]
for folder in ("src", "target/deps", ""):
    sys.path.insert(0, str(ROOT / folder))

from tests.platform.platform_standin import HttpServer  # noqa: E402
from tests.platform.platform_standin import Reply  # noqa: E402
from tests.platform.platform_standin import StandinStore  # noqa: E402
from tests.platform.platform_standin import json_reply  # noqa: E402


HOST = "jobs.example"
# The queues by priority, the most urgent first.
QUEUES = ("plans", "checks")
SERVICE = "app"
HEARTBEAT_S = 1.5
MAX_HOLD_MS = 10_000
READY_TIMEOUT_S = 30
COULD_NOT_RUN = 2
PLACEHOLDER = re.compile(r"\{\{([^}|]+)(\|json)?\}\}")
# What deploy/system.toml says a process gets of its caller's environment.
KEPT_VARIABLES = ("PATH", "HOME", "JAVA_HOME", "LANG")


class Record:
    """Writes what was sent, answered and run, with seconds since the start."""

    def __init__(self, path: Path) -> None:
        self.rows: list[tuple[float, str, dict[str, Any]]] = []
        self._start_s = time.monotonic()
        self._file = path.open("w")
        self._lock = threading.Lock()

    def now_s(self) -> float:
        return time.monotonic() - self._start_s

    def add(self, event: str, **fields: Any) -> None:
        with self._lock:
            at_s = self.now_s()
            self.rows.append((at_s, event, fields))
            text = " ".join(f"{key}={value}" for key, value in fields.items())
            self._file.write(f"{at_s:8.3f} {event} {text}\n")
            self._file.flush()

    def of(self, event: str) -> list[tuple[float, dict[str, Any]]]:
        with self._lock:
            return [(at, row) for at, name, row in self.rows if name == event]


class _Run:
    def __init__(self, end_s: float, kind: str) -> None:
        self.end_s = end_s
        self.kind = kind



class Runner(HttpServer):
    """A runner whose tasks take the milliseconds in their ``spec``."""

    def __init__(
        self,
        record: Record,
        runner_id: str,
        zone: str,
        rack: str,
        cpu: int = 32_000,
        mem_mb: int = 131_072,
    ) -> None:
        self.runner_id = runner_id
        self.zone = zone
        self.rack = rack
        self.cpu = cpu
        self.mem_mb = mem_mb
        self.born_ms = int(time.time() * 1000)
        self._record = record
        self._condition = threading.Condition()
        self._start_s = time.monotonic() - 60
        self._token = 0
        self._runs: dict[tuple[str, int], _Run] = {}
        self._ended: list[list[Any]] = []
        self._highest: dict[str, int] = {}
        self._sequence = 0
        self._lease_end_ms = 0
        super().__init__(threads=6)

    def entry(self, number: int) -> dict[str, Any]:
        return {
            "service": SERVICE,
            "address": self.address,
            "zone": self.zone,
            "version": "1",
            "slots": 8,
            "state": "ready",
            "cold-left-ms": 0,
            "born": self.born_ms,
            "capacity": {"cpu": self.cpu, "mem-mb": self.mem_mb},
            "labels": ["a", self.rack],
            "seq": number,
        }

    def handle(
        self, path: str, query: dict[str, str], body: bytes, headers: Any
    ) -> Reply:
        expected = headers.get("HTTP_X_MAGNOLIAPITCH_EXPECT_INSTANCE")
        if expected not in (None, self.runner_id):
            return Reply(421)
        try:
            request = json.loads(body)
        except ValueError:
            # The caller was killed while it sent the call.
            return Reply(400)
        with self._condition:
            self._advance()
            token = request.get("fencing-token", 0)
            if token < self._token:
                return self._reply(409, reason="fence")
            self._token = token
            if path == "/run-start":
                return self._start(request)
            if path == "/run-stop":
                return self._stop(request)
            if path == "/pace":
                return self._reply(200)
            return self._hold(request)

    def _clock_ms(self) -> int:
        return int((time.monotonic() - self._start_s) * 1000)

    def _reply(self, status: int, **fields: Any) -> Reply:
        return json_reply({"clock-ms": self._clock_ms(), **fields}, status)

    def _extend(self, deadline_ms: int) -> None:
        longest_ms = self._clock_ms() + MAX_HOLD_MS
        self._lease_end_ms = max(
            self._lease_end_ms, min(deadline_ms, longest_ms)
        )

    def _start(self, request: dict[str, Any]) -> Reply:
        task, number = request["task"], request["run-id"]
        if request["deadline-ms"] <= self._clock_ms():
            return self._reply(409, reason="late")
        self._extend(request["deadline-ms"])
        if (task, number) in self._runs:
            return self._reply(200)
        newest = max((run for name, run in self._runs if name == task), default=0)
        if number <= max(newest, self._highest.get(task, 0)):
            return self._reply(409, reason="old")
        end_s = time.monotonic() + float(request["spec"]) / 1000
        self._runs[task, number] = _Run(end_s, "done")
        self._record.add(
            "start",
            task=task,
            run=number,
            runner=self.runner_id,
            token=request["fencing-token"],
        )
        self._condition.notify_all()
        return self._reply(200)

    def _stop(self, request: dict[str, Any]) -> Reply:
        task, number = request["task"], request["run-id"]
        if (task, number) in self._runs:
            self._end(task, number, "stopped")
        else:
            self._bar(task, number)
        return self._reply(200)

    def _bar(self, task: str, number: int) -> None:
        self._highest[task] = max(self._highest.get(task, 0), number)

    def _end(self, task: str, number: int, kind: str) -> None:
        del self._runs[task, number]
        self._bar(task, number)
        self._sequence += 1
        self._ended.append([self._sequence, task, number, kind, ""])
        self._record.add(
            "end", task=task, run=number, kind=kind, runner=self.runner_id
        )
        self._condition.notify_all()

    def _advance(self) -> None:
        now_s = time.monotonic()
        for (task, number), run in list(self._runs.items()):
            if run.end_s <= now_s:
                self._end(task, number, run.kind)
        if self._runs and self._clock_ms() > self._lease_end_ms:
            for task, number in list(self._runs):
                self._end(task, number, "lapsed")

    def _hold(self, request: dict[str, Any]) -> Reply:
        acknowledged = request.get("ack-seq", 0)
        self._ended = [row for row in self._ended if row[0] > acknowledged]
        if request.get("deadline-ms") is not None:
            self._extend(request["deadline-ms"])
        until_s = time.monotonic() + request.get("wait-ms", 0) / 1000
        while not self._ended and time.monotonic() < until_s:
            self._condition.wait(0.02)
            self._advance()
        return self._reply(
            200,
            **{
                "born": self.born_ms,
                "running": [[task, run, "", 50, 100] for task, run in self._runs],
                "ended-runs": self._ended[:500],
            },
        )


class Entry:
    """An entry instance, run as deploy/system.toml says."""

    def __init__(self, number: int, store: str, folder: Path) -> None:
        self.name = f"edge-{number}"
        self._folder = folder
        ip = f"127.{os.getpid() >> 8 & 255}.{os.getpid() & 255}.{number + 10}"
        self.ip = ip
        ports = [_free_port(ip) for _ in range(4)]
        self.front = (ip, ports[0])
        self.ready = (ip, ports[1])
        self.process: subprocess.Popen[bytes] | None = None
        fields = {
            "node-name": self.name,
            "zone": f"z{number % 3}",
            "platform.address": store,
            "advice": "",
            "listen.front": f"{ip}:{ports[0]}",
            "listen.ready": f"{ip}:{ports[1]}",
            "port-range.0": ports[2],
            "bounds.max-hold-ms": MAX_HOLD_MS,
            "bounds.status_s": 120,
            "bounds.drain-ms": 2_000,
            "bounds.cancel_ms": 3_000,
            "limits.cpu-share": 0.537,
            "limits.cores": 2,
            "limits.link-mbps": 1_000.0,
        }
        template = (ROOT / "deploy/settings.toml.tmpl").read_text()
        self._settings = folder / f"{self.name}.toml"
        self._settings.write_text(_render(template, fields))

    def start(self) -> None:
        environment = {
            name: os.environ[name]
            for name in KEPT_VARIABLES
            if name in os.environ
        }
        environment["MAGNOLIAPITCH_CONFIG"] = str(self._settings)
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        with (self._folder / f"{self.name}.log").open("ab") as log:
            self.process = subprocess.Popen(
                ["python3", "deploy/main.py", "entry"],
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    def is_alive(self) -> bool:
        return self.process is not None and self.process.poll() is None

    def kill(self) -> None:
        if self.process is not None and self.is_alive():
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()

    def signal(self, number: signal.Signals) -> None:
        if self.process is not None and self.is_alive():
            self.process.send_signal(number)

    def memory_mb(self) -> int:
        """Return the resident memory, 0 if the process has ended."""
        if self.process is None:
            return 0
        try:
            text = Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return 0
        found = re.search(r"VmRSS:\s+(\d+) kB", text)
        return int(found[1]) // 1024 if found else 0

    def is_ready(self) -> bool:
        return _exchange(self.ready, "GET", "/readyz", None, 1.0)[0] == 200

    def call(
        self,
        method: str,
        queue: str,
        job_id: str,
        body: Any = None,
        timeout_s: float = 3.2,
    ) -> tuple[int, Any]:
        """Call as a client; status 0 if there is no answer."""
        path = f"/{queue}/{job_id}"
        return _exchange(self.front, method, path, body, timeout_s)


class Cluster:
    """Store, runners and instances of a small deployment."""

    def __init__(
        self, record: Record, entry_count: int, runner_count: int
    ) -> None:
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.record = record
        self.store = StandinStore(threads=96)
        self.runners = [
            Runner(record, f"i-{n:02d}", f"z{n % 3}", f"r1-{n // 8}")
            for n in range(runner_count)
        ]
        self.store.put("keyed.op", "config", _configuration())
        self.entries = [
            Entry(number, self.store.address, self.folder)
            for number in range(entry_count)
        ]
        self._is_closed = False
        self._beat_number = 0
        self._beat()
        threading.Thread(target=self._beat_repeatedly, daemon=True).start()

    def start(self) -> None:
        """Start all instances; exit with 2 if they do not get ready."""
        for entry in self.entries:
            entry.start()
        deadline_s = time.monotonic() + READY_TIMEOUT_S
        while not all(entry.is_ready() for entry in self.entries):
            if time.monotonic() > deadline_s:
                self.record.add("not-ready")
                self.close()
                os._exit(COULD_NOT_RUN)
            time.sleep(0.1)

    def leader_record(self) -> Any:
        return self.store.newest_value("keyed.states", "leader")

    def close(self) -> None:
        """End all processes that were started."""
        self._is_closed = True
        for entry in self.entries:
            entry.kill()

    def _beat(self) -> None:
        self._beat_number += 1
        for runner in self.runners:
            entry = runner.entry(self._beat_number)
            self.store.put("keyed.servers", runner.runner_id, entry)

    def _beat_repeatedly(self) -> None:
        while not self._is_closed:
            time.sleep(HEARTBEAT_S)
            self._beat()


def _configuration() -> dict[str, Any]:
    routes = [
        {
            "name": name,
            "host": HOST,
            "path-prefix": f"/{name}/",
            "service": SERVICE,
            "attempts": 3,
            "timeout-ms": 3_000,
            "priority": priority,
            "stretch": 2.0,
            "target-duration-ms": 1_000,
        }
        for priority, name in enumerate(QUEUES)
    ]
    return {
        "version": 1,
        "routes": routes,
        "services": [{"name": SERVICE, "admission-check": False}],
        "limits": {
            "max-header-bytes": 16_384,
            "max-body-bytes": 262_144,
            "header-timeout-ms": 3_000,
            "idle-timeout-ms": 15_000,
        },
    }


def _render(template: str, fields: dict[str, Any]) -> str:
    def value(match: re.Match[str]) -> str:
        field = fields[match[1]]
        return json.dumps(field) if match[2] else str(field)

    return PLACEHOLDER.sub(value, template)


def _free_port(ip: str) -> int:
    with socket.socket() as probe:
        probe.bind((ip, 0))
        return int(probe.getsockname()[1])


def _exchange(
    address: tuple[str, int],
    method: str,
    path: str,
    body: Any,
    timeout_s: float,
) -> tuple[int, Any]:
    connection = http.client.HTTPConnection(*address, timeout=timeout_s)
    headers = {
        "Host": HOST,
        "Content-Type": "application/json",
        "X-Magnoliapitch-Deadline-Ms": "3000",
    }
    data = None if body is None else json.dumps(body)
    try:
        connection.request(method, path, data, headers)
        response = connection.getresponse()
        content = response.read()
    except (OSError, http.client.HTTPException):
        return 0, None
    finally:
        connection.close()
    try:
        return response.status, json.loads(content)
    except ValueError:
        return response.status, None
