"""Measures what callers cost that wait in threads of a listener."""

from __future__ import annotations

import os
import socket
import threading
import time

from pathlib import Path
from typing import NamedTuple

from magnoliapitch.http import Application
from magnoliapitch.http import HttpRequest
from magnoliapitch.http import HttpResponse
from magnoliapitch.http import Listener
from magnoliapitch.http import json_response


THREAD_COUNTS = (64, 128, 256, 512, 1_024)
TIMEOUT_S = 60
REQUESTS = 2_000
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
WAIT = b"GET /wait HTTP/1.1\r\nHost: a\r\n\r\n"
QUICK = b"GET /quick HTTP/1.1\r\nHost: a\r\n\r\n"


class WaitingFigure(NamedTuple):
    """Cost of a listener all of whose threads but one wait.

    :param added_mb: resident memory beyond that without the listener.
    :param start_s: time to start the threads.
    :param requests_per_s: requests that the last thread answers.
    """

    threads: int
    added_mb: float
    kb_per_thread: float
    start_s: float
    requests_per_s: float


def measure_waiting() -> tuple[WaitingFigure, ...]:
    """Measure listeners of 64 to 1,024 threads."""
    return tuple(_measure(threads) for threads in THREAD_COUNTS)


def _measure(threads: int) -> WaitingFigure:
    go_on = threading.Event()
    entered = threading.Semaphore(0)
    application = Application()

    @application.route("GET", "/wait")
    def wait(request: HttpRequest) -> HttpResponse:
        del request
        entered.release()
        go_on.wait(TIMEOUT_S)
        return json_response({})

    @application.route("GET", "/quick")
    def quick(request: HttpRequest) -> HttpResponse:
        del request
        return json_response({})

    before = _resident_bytes()
    listener = Listener("waiting", ("127.0.0.1", 0), application, threads)
    started_s = time.perf_counter()
    listener.start()
    start_s = time.perf_counter() - started_s
    streams = [_connect(listener.port) for _ in range(threads)]
    for stream in streams[1:]:
        stream.sendall(WAIT)
        entered.acquire(timeout=TIMEOUT_S)
    added = _resident_bytes() - before
    rate = _rate(streams[0])
    go_on.set()
    for stream in streams:
        stream.close()
    listener.stop()
    return WaitingFigure(
        threads, added / 2**20, added / threads / 1024, start_s, rate
    )


def _rate(stream: socket.socket) -> float:
    started_s = time.perf_counter()
    for _ in range(REQUESTS):
        stream.sendall(QUICK)
        stream.recv(65_536)
    return REQUESTS / (time.perf_counter() - started_s)


def _connect(port: int) -> socket.socket:
    stream = socket.create_connection(("127.0.0.1", port), TIMEOUT_S)
    stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return stream


def _resident_bytes() -> int:
    pages = int(Path("/proc/self/statm").read_text("ascii").split()[1])
    return pages * PAGE_BYTES
