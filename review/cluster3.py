"""A small deployment for the scripts of this review, on loopback addresses.

It starts the instances with the command and the settings template of the
deploy file, and the stand-ins of ``standins3.py``. As the platform does, it
asks each instance for readiness every second and sends clients to the ones
that are ready, restarts processes that end, and ends those that use more
memory than their machine has.
"""

from __future__ import annotations

import http.client
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib

from concurrent.futures import ThreadPoolExecutor
from pathlib import Path


ROOT = Path(__file__).resolve().parent.parent
HOST = "jobs.example"
PREFIX = "/plans/"
SERVICE = "app"
PLACEHOLDER = re.compile(r"\{\{([^}|]+)(\|json)?\}\}")
# Figures of the small deployments, as their sheets give them.
MEMORY_MB = 300
RESTART_DELAY_S = 0.5
READY_INTERVAL_S = 1.0
FINISH_S = 14
ROUTE = {
    "name": "plans", "host": HOST, "path-prefix": PREFIX, "service": SERVICE,
    "attempts": 3, "timeout-ms": 3_000, "priority": 1, "stretch": 2.0,
    "target-duration-ms": 1_000,
    "advice": {"decision-ms": 5, "per-worker-ms": 1, "valid-ms": 2_500},
}
CONFIG = {
    "version": 1, "routes": [ROUTE],
    "services": [{"name": SERVICE, "admission-check": False}],
    "limits": {"max-body-bytes": 262_144},
}


class CannotRun(Exception):
    """The case could not be played."""


class Record:
    """Lines of record.txt, with seconds since the begin."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._lock = threading.Lock()
        self.begun_s = time.time()

    def write(self, text: str) -> None:
        with self._lock:
            at_s = time.time() - self.begun_s
            self._file.write(f"{at_s:8.3f} {text}\n")
            self._file.flush()

    def say(self, text: str) -> None:
        self.write(text)
        print(text, flush=True)


class Instance:
    """One instance on a machine of its own."""

    def __init__(self, number: int, cluster: Cluster) -> None:
        self.name = f"edge-{number}"
        self.ip = f"127.{os.getpid() >> 8 & 127 | 64}.{os.getpid() & 255}.{number + 10}"
        ports = free_ports(self.ip, 3)
        self.port, self.ready_port = ports[:2]
        self.in_rotation = False
        self.misses = 2
        self.ends: list[str] = []
        self.peak_mb = 0.0
        self.process: subprocess.Popen | None = None
        self._cluster = cluster
        self._settings = cluster.folder / f"{self.name}.toml"
        self.log = cluster.folder / f"{self.name}.log"
        fields = {
            "node-name": self.name,
            "zone": f"z{number % 3}",
            "platform.address": cluster.addresses["store"],
            "advice": cluster.addresses["advisor"],
            "listen.front": f"{self.ip}:{self.port}",
            "listen.ready": f"{self.ip}:{self.ready_port}",
            "port-range.0": ports[2],
            "bounds.max-hold-ms": 10_000,
            "bounds.status_s": 120,
            "bounds.drain-ms": 2_000,
            "bounds.cancel_ms": 3_000,
            "limits.cpu-share": 0.537,
            "limits.cores": 2,
            "limits.link-mbps": 1_000.0,
        }

        def value(match: re.Match) -> str:
            field = fields[match[1]]
            return json.dumps(field) if match[2] else str(field)

        template = (ROOT / cluster.role["template"]).read_text()
        self._settings.write_text(PLACEHOLDER.sub(value, template))

    def start(self) -> None:
        names = ("PATH", "HOME", "LANG")
        env = {name: os.environ[name] for name in names if name in os.environ}
        env["MAGNOLIAPITCH_CONFIG"] = str(self._settings)
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        env["PYTHONDONTWRITEBYTECODE"] = "1"
        with self.log.open("ab") as output:
            self.process = subprocess.Popen(
                self._cluster.role["run"].split(), cwd=ROOT, env=env,
                stdout=output, stderr=subprocess.STDOUT,
            )

    def memory_mb(self) -> float:
        try:
            text = Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return 0.0
        found = re.search(r"VmRSS:\s+(\d+) kB", text)
        return int(found[1]) / 1024 if found else 0.0

    def is_ready(self) -> bool:
        try:
            return exchange(self.ip, self.ready_port, "GET", "/readyz", timeout=1)[0] == 200
        except (OSError, http.client.HTTPException):
            return False


class Cluster:
    """Instances, stand-ins and what the platform does about them."""

    def __init__(self, case: Path, instances: int, runners: int = 24, **options) -> None:
        self.record = Record(case / "record.txt")
        self.folder = Path(tempfile.mkdtemp(prefix="case-"))
        self.history = self.folder / "runners.jsonl"
        self._instances_wanted = instances
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        self.role = deploy["roles"]["entry"]
        options = {
            "log": str(self.history), "config": CONFIG, "service": SERVICE,
            "runners": runners, "cpu": 16_000, "mem_mb": 32_768,
            "max_hold_ms": 10_000, **options,
        }
        self.platform = subprocess.Popen(
            [sys.executable, str(ROOT / "review" / "standins3.py"), json.dumps(options)],
            stdin=subprocess.PIPE, stdout=subprocess.PIPE,
        )
        self._stopping = threading.Event()
        line = self.platform.stdout.readline()
        if not line:
            raise CannotRun("the stand-ins did not start")
        self.addresses = json.loads(line)
        self.instances = [Instance(number, self) for number in range(instances)]
        self._threads: list[threading.Thread] = []

    def start(self) -> None:
        for instance in self.instances:
            instance.start()
            self.record.write(f"started {instance.name}")
            for step in (self._supervise, self._probe):
                thread = threading.Thread(target=step, args=(instance,), daemon=True)
                thread.start()
        deadline_s = time.time() + 30
        while not all(instance.in_rotation for instance in self.instances):
            if time.time() > deadline_s:
                raise CannotRun("the instances did not get ready")
            time.sleep(0.1)

    def _supervise(self, instance: Instance) -> None:
        """Restart a process that ends; end one that uses too much memory."""
        while not self._stopping.wait(0.05):
            process = instance.process
            code = process.poll()
            if code is None:
                memory_mb = instance.memory_mb()
                instance.peak_mb = max(instance.peak_mb, memory_mb)
                if memory_mb <= MEMORY_MB:
                    continue
                process.send_signal(signal.SIGKILL)
                process.wait()
                cause = f"memory: {memory_mb:.0f} MB of {MEMORY_MB}"
            else:
                cause = f"exit code {code}"
            instance.ends.append(cause)
            self.record.say(f"{instance.name} ended: {cause}")
            if not self._stopping.wait(RESTART_DELAY_S):
                instance.start()
                self.record.write(f"started {instance.name} again")

    def _probe(self, instance: Instance) -> None:
        while not self._stopping.wait(READY_INTERVAL_S if instance.in_rotation else 0.3):
            instance.misses = 0 if instance.is_ready() else instance.misses + 1
            instance.in_rotation = instance.misses < 2

    def choose(self) -> Instance:
        ready = [one for one in self.instances if one.in_rotation]
        return random.choice(ready or self.instances)

    def call(self, method: str, job: str, body=None, timeout: float = 3.5):
        """Make a call of a client; status 0 stands for no answer."""
        instance = self.choose()
        data = None if body is None else json.dumps(body)
        try:
            return exchange(
                instance.ip, instance.port, method, PREFIX + job, data,
                {"Host": HOST, "X-Magnoliapitch-Deadline-Ms": "3000"}, timeout,
            )
        except (OSError, http.client.HTTPException):
            return 0, b""

    def submit(self, job: str, body, retries: int = 4) -> bool:
        """Hand a job in as a client does, with its retries."""
        for attempt in range(1 + retries):
            status, _ = self.call("POST", job, body)
            self.record.write(f"POST {job} -> {status}")
            if 200 <= status < 300:
                return True
            if status not in (0, 429, 502, 503, 504):
                return False
            time.sleep(0.3 * 2**attempt)
        return False

    def state(self, job: str) -> str:
        status, data = self.call("GET", job)
        if status == 200:
            return json.loads(data)["state"]
        return str(status)

    def crash_runners(self, names: list[str]) -> None:
        """Let runners crash that do not come back."""
        self.record.say(f"runners crash for good: {', '.join(names)}")
        self.platform.stdin.write(json.dumps(names).encode() + b"\n")
        self.platform.stdin.flush()

    def darken_runner(self, name: str, seconds: float) -> None:
        """Let a runner lose its power; it comes back as another one."""
        self.record.say(f"runner {name} is without power for {seconds} s")
        command = {"dark": name, "for_s": seconds}
        self.platform.stdin.write(json.dumps(command).encode() + b"\n")
        self.platform.stdin.flush()

    def active_runs(self) -> dict[str, str]:
        """Return the runner of each task that is at work."""
        active: dict[str, str] = {}
        for row in map(json.loads, self.history.read_text().splitlines()):
            _, event, runner, task = row[:4]
            if event == "start":
                active[task] = runner
            elif active.get(task) == runner:
                del active[task]
        return active

    def started(self) -> set[str]:
        """Return the jobs of which a runner has begun a task."""
        rows = map(json.loads, self.history.read_text().splitlines())
        return {row[3].split(".")[0] for row in rows if row[1] == "start"}

    def count_log(self, event: str) -> int:
        return sum(
            one.log.read_text(errors="replace").count(event)
            for one in self.instances
        )

    def close(self) -> None:
        self._stopping.set()
        time.sleep(0.2)
        for instance in self.instances:
            if instance.process is not None and instance.process.poll() is None:
                instance.process.kill()
                instance.process.wait()
        with self.history.open(errors="replace") as rows:
            for row in rows:
                self.record.write(f"runner {row.strip()}")
        self.platform.stdin.close()
        try:
            self.platform.wait(5)
        except subprocess.TimeoutExpired:
            self.platform.kill()
            self.platform.wait()
        if os.environ.get("KEEP_LOGS") != "1":
            shutil.rmtree(self.folder, ignore_errors=True)
        else:
            print(self.folder)


def exchange(ip, port, method, path, body=None, headers=None, timeout=3.5):
    connection = http.client.HTTPConnection(ip, port, timeout=timeout)
    try:
        connection.request(method, path, body, headers or {})
        response = connection.getresponse()
        return response.status, response.read()
    finally:
        connection.close()


def free_ports(ip: str, count: int) -> list[int]:
    sockets = [socket.socket() for _ in range(count)]
    try:
        for one in sockets:
            one.bind((ip, 0))
        return [one.getsockname()[1] for one in sockets]
    finally:
        for one in sockets:
            one.close()


def ordinary_job(number: int) -> tuple[str, dict]:
    """Return the id and body of a job of two short tasks."""
    spec = json.dumps({"ms": 300})
    return (
        f"{0xA000000000000000 + number:016x}",
        {"spec": spec, "steps": [{"count": 2, "cpu": 1_000, "mem-mb": 512, "estimate-ms": 300}]},
    )


def check_finished(cluster: Cluster, accepted: list[str]) -> list[str]:
    """Return the accepted jobs that the rule LOST counts as lost.

    They are asked for once ``finish_s`` has passed since the last was handed
    in. A job counts if no answer came, if it is not known, or if it has not
    begun although the runners have been idle for the last 3 s and more.
    """
    begun = cluster.started()

    def ask(job: str) -> str:
        state = cluster.state(job)
        cluster.record.write(f"GET {job} -> {state}")
        if state not in ("pending", "running", "completed"):
            state = cluster.state(job)
            cluster.record.write(f"GET {job} -> {state}")
        is_waiting = state == "pending" and job not in begun
        is_lost = state in ("0", "410", "503", "504") or is_waiting
        return f"{job} {state}" if is_lost else ""

    with ThreadPoolExecutor(12) as pool:
        return [found for found in pool.map(ask, accepted) if found]


def idle_s(cluster: Cluster) -> float:
    """Return since when no runner has had a task, in seconds."""
    last_s = cluster.record.begun_s
    running = 0
    for row in map(json.loads, cluster.history.read_text().splitlines()):
        running += 1 if row[1] == "start" else -1
        last_s = max(last_s, row[0])
    return 0.0 if running else time.time() - last_s


def play(case: Path, run, **options) -> int:
    """Run a case; return its exit code."""
    cluster = None
    # The script's time limit ends it so; its processes end as well.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    try:
        cluster = Cluster(case, **options)
        cluster.start()
        return run(cluster, os.environ.get("TROUBLE", "1") != "0")
    except CannotRun as error:
        print(f"cannot run: {error}")
        return 2
    finally:
        if cluster is not None:
            cluster.close()
