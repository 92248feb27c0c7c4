"""Measures what an entry instance adds to the latency of a small request."""

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
CLUSTER_SHAPE = ClusterShape(
    ("norte",),
    ENTRY.app,
    Resources(1_000, 1_000, 0),
    workers_per_zone=1,
    backends_per_zone=4,
)
REQUEST_BODY = b"x" * 200
WARM_UP_REQUESTS = 200
ROUNDS = 5
START_TIMEOUT_S = 30
POLL_INTERVAL_S = 0.05
PROFILE_ROWS = 30


class PathFigure(NamedTuple):
    """Latency and throughput of one path of a request.

    :param path: ``direct`` to a backend server, through the entry instance
        that is its ``owner``, or through a ``peer`` that forwards the
        request to the owner.
    :param requests: number of measured requests.
    :param callers: number of concurrent callers.
    :param added_p50_ms: median latency less that of the direct path.
    :param ratio: median latency divided by that of the direct path.
    """

    path: str
    requests: int
    callers: int
    p50_ms: float
    p99_ms: float
    requests_per_s: float
    added_p50_ms: float
    ratio: float


class _RunningPaths(NamedTuple):
    """Running entry instances, with a call that sends a request by each path.

    A call returns whether the request succeeded.
    """

    calls_by_path: dict[str, Callable[[], bool]]
    owner_node: EntryNode


def measure_paths(count: int, callers: int) -> tuple[PathFigure, ...]:
    """Measure all paths of a request.

    The paths take turns, so that other load on the machine affects all of
    them alike.

    :param count: number of requests on each path.
    :param callers: number of concurrent callers.
    :raises BenchError: if the instances don't start or a request fails.
    """
    times_ms_by_path: dict[str, list[float]] = {}
    elapsed_s_by_path: dict[str, float] = {}
    with _running_paths() as paths:
        for call in paths.calls_by_path.values():
            _measure_calls(call, WARM_UP_REQUESTS, callers)
        for _ in range(ROUNDS):
            for path, call in paths.calls_by_path.items():
                started_s = time.perf_counter()
                times_ms = _measure_calls(call, count // ROUNDS, callers)
                elapsed_s = time.perf_counter() - started_s
                times_ms_by_path.setdefault(path, []).extend(times_ms)
                elapsed_s_by_path[path] = (
                    elapsed_s_by_path.get(path, 0.0) + elapsed_s
                )
    direct_p50_ms = float(np.median(times_ms_by_path["direct"]))
    return tuple(
        _figure(
            path, times_ms, elapsed_s_by_path[path], callers, direct_p50_ms
        )
        for path, times_ms in times_ms_by_path.items()
    )


def profile_owner(count: int) -> str:
    """Return a profile of one thread of an owner that handles requests.

    :param count: number of requests.
    """
    with _running_paths() as paths:
        application = paths.owner_node.caller_listener.application
        environ = {
            "REQUEST_METHOD": "POST",
            "PATH_INFO": f"/v1/requests/{ENTRY.name}",
            "CONTENT_LENGTH": str(len(REQUEST_BODY)),
        }

        def call() -> None:
            body = io.BytesIO(REQUEST_BODY)
            list(
                application({**environ, "wsgi.input": body}, _ignore_response)
            )

        profile = cProfile.Profile()
        profile.enable()
        for _ in range(count):
            call()
        profile.disable()
    text = io.StringIO()
    statistics = pstats.Stats(profile, stream=text)
    statistics.sort_stats("tottime").print_stats(PROFILE_ROWS)
    return text.getvalue()


def _ignore_response(status: str, headers: list[tuple[str, str]]) -> None:
    del status, headers


@contextmanager
def _running_paths() -> Iterator[_RunningPaths]:
    cluster = StandinCluster(CLUSTER_SHAPE)
    server = StandinServer(
        cluster.log, cluster.instance_list, cluster.workers, cluster.backends
    )
    server.start()
    cluster.log.append(encode_record((CataloguePut(ENTRY, 0),)))
    nodes = [
        cluster.add_entry(zone, HttpBackendClient()) for zone in _entry_zones()
    ]
    for node in nodes:
        node.start()
    try:
        calls = {"direct": _direct_call(cluster)}
        for path, node in zip(("owner", "peer"), nodes, strict=True):
            calls[path] = _call_through_entry(node)
            _wait_until_served(calls[path])
        yield _RunningPaths(calls, nodes[0])
    finally:
        for node in nodes:
            node.stop()
        server.stop()


def _entry_zones() -> tuple[str, str]:
    return CLUSTER_SHAPE.zones[0], "no-servers-here"


def _direct_call(cluster: StandinCluster) -> Callable[[], bool]:
    client = HttpBackendClient()
    servers = [
        info
        for info in cluster.instance_list.by_id.values()
        if info.role is InstanceRole.BACKEND_SERVER
    ]
    request = BackendRequest(
        "direct", ENTRY.name, REQUEST_BODY, ENTRY.patience_ms
    )
    return lambda: client.send(servers[0], request).is_ok()


def _call_through_entry(node: EntryNode) -> Callable[[], bool]:
    address = node.settings.address
    port = node.settings.listeners.caller_port
    pool = urllib3.HTTPConnectionPool(address, port, maxsize=64)
    path = f"/v1/requests/{ENTRY.name}"

    def call() -> bool:
        response = pool.urlopen("POST", path, body=REQUEST_BODY, retries=False)
        return response.status == 200

    return call


def _wait_until_served(call: Callable[[], bool]) -> None:
    deadline_s = time.monotonic() + START_TIMEOUT_S
    while not call():
        if time.monotonic() > deadline_s:
            raise BenchError(
                "an entry instance did not serve requests within "
                f"{START_TIMEOUT_S} s"
            )
        time.sleep(POLL_INTERVAL_S)


def _measure_calls(
    call: Callable[[], bool], count: int, callers: int
) -> list[float]:
    times_ms: list[float] = []
    lock = threading.Lock()

    def run(call_count: int) -> None:
        thread_times_ms = []
        for _ in range(call_count):
            started_ns = time.perf_counter_ns()
            if not call():
                raise BenchError("a request failed during the measurement")
            thread_times_ms.append((time.perf_counter_ns() - started_ns) / 1e6)
        with lock:
            times_ms.extend(thread_times_ms)

    with ThreadPoolExecutor(callers) as threads:
        list(threads.map(run, [count // callers] * callers))
    return times_ms


def _figure(
    path: str,
    times_ms: list[float],
    elapsed_s: float,
    callers: int,
    direct_p50_ms: float,
) -> PathFigure:
    p50_ms, p99_ms = (float(v) for v in np.percentile(times_ms, (50, 99)))
    return PathFigure(
        path,
        len(times_ms),
        callers,
        p50_ms,
        p99_ms,
        len(times_ms) / elapsed_s,
        p50_ms - direct_p50_ms,
        p50_ms / direct_p50_ms,
    )
