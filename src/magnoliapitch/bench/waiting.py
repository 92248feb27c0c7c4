"""Measures the cost of callers that wait in threads of a listener."""

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
WAIT_TIMEOUT_S = 60
QUICK_REQUEST_COUNT = 2_000
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
WAIT_REQUEST = b"GET /wait HTTP/1.1\r\nHost: a\r\n\r\n"
QUICK_REQUEST = b"GET /quick HTTP/1.1\r\nHost: a\r\n\r\n"


class WaitingFigure(NamedTuple):
    """Cost of a listener whose threads all wait except one.

    :param threads: number of threads of the listener.
    :param added_mb: growth of the resident memory.
    :param kb_per_thread: growth divided by the number of threads.
    :param start_s: time to start the threads.
    :param requests_per_s: requests that the remaining thread serves.
    """

    threads: int
    added_mb: float
    kb_per_thread: float
    start_s: float
    requests_per_s: float


def measure_waiting() -> tuple[WaitingFigure, ...]:
    """Measure listeners of 64 to 1,024 threads, of which all but one wait."""
    return tuple(_measure(threads) for threads in THREAD_COUNTS)


def _measure(threads: int) -> WaitingFigure:
    end_waiting = threading.Event()
    handler_entered = threading.Semaphore(0)
    application = Application()

    @application.route("GET", "/wait")
    def wait(request: HttpRequest) -> HttpResponse:
        del request
        handler_entered.release()
        end_waiting.wait(WAIT_TIMEOUT_S)
        return json_response({})

    @application.route("GET", "/quick")
    def quick(request: HttpRequest) -> HttpResponse:
        del request
        return json_response({})

    resident_bytes_before = _resident_bytes()
    listener = Listener("waiting", ("127.0.0.1", 0), application, threads)
    started_s = time.perf_counter()
    listener.start()
    start_s = time.perf_counter() - started_s
    connections = [_connect(listener.port) for _ in range(threads)]
    for connection in connections[1:]:
        connection.sendall(WAIT_REQUEST)
        handler_entered.acquire(timeout=WAIT_TIMEOUT_S)
    added_bytes = _resident_bytes() - resident_bytes_before
    requests_per_s = _quick_requests_per_s(connections[0])
    end_waiting.set()
    for connection in connections:
        connection.close()
    listener.stop()
    return WaitingFigure(
        threads,
        added_bytes / 2**20,
        added_bytes / threads / 1024,
        start_s,
        requests_per_s,
    )


def _quick_requests_per_s(connection: socket.socket) -> float:
    started_s = time.perf_counter()
    for _ in range(QUICK_REQUEST_COUNT):
        connection.sendall(QUICK_REQUEST)
        connection.recv(65_536)
    return QUICK_REQUEST_COUNT / (time.perf_counter() - started_s)


def _connect(port: int) -> socket.socket:
    connection = socket.create_connection(("127.0.0.1", port), WAIT_TIMEOUT_S)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return connection


def _resident_bytes() -> int:
    pages = int(Path("/proc/self/statm").read_text("ascii").split()[1])
    return pages * PAGE_BYTES
