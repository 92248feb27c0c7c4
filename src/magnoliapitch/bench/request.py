"""Measures the cost of an entry on the path of a small request."""

from __future__ import annotations

import cProfile
import io
import pstats
import threading
import time

from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from contextlib import contextmanager
from typing import TYPE_CHECKING
from typing import NamedTuple

import numpy as np
import urllib3

from magnoliapitch.backend.client import BackendRequest
from magnoliapitch.backend.http_client import HttpBackendClient
from magnoliapitch.bench.exceptions import BenchError
from magnoliapitch.catalogue.entry import CatalogueEntry
from magnoliapitch.catalogue.entry import Limits
from magnoliapitch.catalogue.entry import WorkClass
from magnoliapitch.entry.node import EntryNode
from magnoliapitch.journal.codec import encode_record
from magnoliapitch.journal.record import CataloguePut
from magnoliapitch.membership.instance import InstanceRole
from magnoliapitch.resource import Resources
from magnoliapitch.standin.cluster import ClusterShape
from magnoliapitch.standin.cluster import StandinCluster
from magnoliapitch.standin.server import StandinServer


if TYPE_CHECKING:
    from collections.abc import Iterator


ENTRY = CatalogueEntry(
    "seat-check",
    "clubs",
    WorkClass.URGENT,
    "clubes-app",
    Limits(concurrent_requests=1_000, requests_per_second=1_000_000),
)
SHAPE = ClusterShape(
    ("norte",),
    ENTRY.app,
    Resources(1_000, 1_000, 0),
    workers_per_zone=1,
    backends_per_zone=4,
)
BODY = b"x" * 200
WARM_UP = 200
ROUNDS = 5
START_TIMEOUT_S = 30
POLL_S = 0.05
PROFILE_ROWS = 30


class PathFigure(NamedTuple):
    """Latency and throughput of one path.

    :param path: ``direct``, ``owner`` or ``peer``.
    :param added_p50_ms: median beyond that of the direct path.
    :param ratio: median divided by that of the direct path.
    """

    path: str
    requests: int
    callers: int
    p50_ms: float
    p99_ms: float
    requests_per_s: float
    added_p50_ms: float
    ratio: float


class _Bench(NamedTuple):
    calls_by_path: dict[str, Callable[[], bool]]
    owner: EntryNode


def measure_paths(count: int, callers: int) -> tuple[PathFigure, ...]:
    """Measure the paths in turns, so that all meet the same machine.

    :param count: requests on each path.
    :param callers: callers at once.
    """
    times_by_path: dict[str, list[float]] = {}
    seconds_by_path: dict[str, float] = {}
    with _running() as bench:
        for call in bench.calls_by_path.values():
            _repeat(call, WARM_UP, callers)
        for _ in range(ROUNDS):
            for path, call in bench.calls_by_path.items():
                started_s = time.perf_counter()
                times = _repeat(call, count // ROUNDS, callers)
                spent_s = time.perf_counter() - started_s
                times_by_path.setdefault(path, []).extend(times)
                seconds_by_path[path] = (
                    seconds_by_path.get(path, 0.0) + spent_s
                )
    base_ms = float(np.median(times_by_path["direct"]))
    return tuple(
        _figure(path, times, seconds_by_path[path], callers, base_ms)
        for path, times in times_by_path.items()
    )


def profile_owner(count: int) -> str:
    """Return where one thread of an owner spends its time."""
    with _running() as bench:
        application = bench.owner.caller_listener.application
        environ = {
            "REQUEST_METHOD": "POST",
            "PATH_INFO": f"/v1/requests/{ENTRY.name}",
            "CONTENT_LENGTH": str(len(BODY)),
        }

        def call() -> None:
            body = io.BytesIO(BODY)
            list(application({**environ, "wsgi.input": body}, _ignore))

        profile = cProfile.Profile()
        profile.enable()
        for _ in range(count):
            call()
        profile.disable()
    text = io.StringIO()
    statistics = pstats.Stats(profile, stream=text)
    statistics.sort_stats("tottime").print_stats(PROFILE_ROWS)
    return text.getvalue()


def _ignore(status: str, headers: list[tuple[str, str]]) -> None:
    del status, headers


@contextmanager
def _running() -> Iterator[_Bench]:
    cell = StandinCluster(SHAPE)
    server = StandinServer(
        cell.log, cell.instance_list, cell.workers, cell.backends
    )
    server.start()
    cell.log.append(encode_record((CataloguePut(ENTRY, 0),)))
    nodes = [cell.add_entry(zone, HttpBackendClient()) for zone in _zones()]
    for node in nodes:
        node.start()
    try:
        calls = {"direct": _direct(cell)}
        for path, node in zip(("owner", "peer"), nodes, strict=True):
            calls[path] = _through(node)
            _await(calls[path])
        yield _Bench(calls, nodes[0])
    finally:
        for node in nodes:
            node.stop()
        server.stop()


def _zones() -> tuple[str, str]:
    return SHAPE.zones[0], "no-servers-here"


def _direct(cell: StandinCluster) -> Callable[[], bool]:
    client = HttpBackendClient()
    servers = [
        info
        for info in cell.instance_list.by_id.values()
        if info.role is InstanceRole.BACKEND_SERVER
    ]
    request = BackendRequest("direct", ENTRY.name, BODY, ENTRY.patience_ms)
    return lambda: client.send(servers[0], request).is_ok()


def _through(node: EntryNode) -> Callable[[], bool]:
    address = node.settings.address
    port = node.settings.listeners.caller_port
    pool = urllib3.HTTPConnectionPool(address, port, maxsize=64)
    path = f"/v1/requests/{ENTRY.name}"

    def call() -> bool:
        answer = pool.urlopen("POST", path, body=BODY, retries=False)
        return answer.status == 200

    return call


def _await(call: Callable[[], bool]) -> None:
    deadline_s = time.monotonic() + START_TIMEOUT_S
    while not call():
        if time.monotonic() > deadline_s:
            raise BenchError("the entry did not begin to serve")
        time.sleep(POLL_S)


def _repeat(call: Callable[[], bool], count: int, callers: int) -> list[float]:
    times_ms: list[float] = []
    lock = threading.Lock()

    def run(part: int) -> None:
        own = []
        for _ in range(part):
            started_ns = time.perf_counter_ns()
            if not call():
                raise BenchError("a request failed")
            own.append((time.perf_counter_ns() - started_ns) / 1e6)
        with lock:
            times_ms.extend(own)

    with ThreadPoolExecutor(callers) as threads:
        list(threads.map(run, [count // callers] * callers))
    return times_ms


def _figure(
    path: str,
    times_ms: list[float],
    seconds: float,
    callers: int,
    base_ms: float,
) -> PathFigure:
    p50_ms, p99_ms = (float(v) for v in np.percentile(times_ms, (50, 99)))
    return PathFigure(
        path,
        len(times_ms),
        callers,
        p50_ms,
        p99_ms,
        len(times_ms) / seconds,
        p50_ms - base_ms,
        p50_ms / base_ms,
    )
