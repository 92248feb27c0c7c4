"""Clients that keep to no limit, as sockets on loopback."""

from __future__ import annotations

import contextlib
import itertools
import socket
import threading
import time

from concurrent.futures import ThreadPoolExecutor
from typing import TYPE_CHECKING

from tests.process.test_job_node import HOST
from tests.process.test_job_node import PREFIX


if TYPE_CHECKING:
    from collections.abc import Iterable


Address = tuple[str, int]

# A crowd that sends without end. Each client gives up after so many bytes, so
# that a fault does not take the memory of the machine.
SENDER_COUNT = 12
MAX_BYTES_EACH = 24 << 20
PIECE_BYTES = 1 << 16
CHUNKED_HEAD = (
    f"POST {PREFIX}00000000000000aa HTTP/1.1\r\nHost: {HOST}\r\n"
    "Content-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"
).encode()
# Connections that send one body after the other.
REPEATING_COUNT = 32
ANSWER_BYTES = 1 << 16
# Connections that are opened and send nothing, or one byte after the other.
SILENT_COUNT = 700
# More than the users' smallest machine has descriptors.
MANY_SILENT_COUNT = 2_000
SLOW_COUNT = 150
SLOW_INTERVAL_S = 0.2
PASSES_TO_BEGIN = 5


def send_without_end(address: Address, head: bytes, piece: bytes) -> None:
    """Let a crowd send a head, and then a piece again and again."""
    repeats = -(-PIECE_BYTES // len(piece))
    block = piece * repeats
    count = MAX_BYTES_EACH // len(block)

    def send(_: int) -> None:
        send_all(address, itertools.chain([head], [block] * count))

    with ThreadPoolExecutor(SENDER_COUNT) as pool:
        list(pool.map(send, range(SENDER_COUNT)))


def send_all(address: Address, blocks: Iterable[bytes]) -> None:
    """Send blocks until the other side closes the connection."""
    with (
        contextlib.suppress(OSError),
        socket.create_connection(address, 10) as stream,
    ):
        for block in blocks:
            stream.sendall(block)


class RepeatingCrowd:
    """Connections that send a whole request again and again.

    Each reads the answer, and connects again once it is closed. All have
    sent a request, or were refused, when this returns.
    """

    def __init__(self, address: Address, request: bytes) -> None:
        self._address = address
        self._request = request
        self._has_ended = threading.Event()
        begun = threading.Barrier(REPEATING_COUNT + 1)
        self._threads = [
            threading.Thread(target=self._run, args=(begun,))
            for _ in range(REPEATING_COUNT)
        ]
        for thread in self._threads:
            thread.start()
        begun.wait()

    def close(self) -> None:
        self._has_ended.set()
        for thread in self._threads:
            thread.join()

    def _run(self, begun: threading.Barrier) -> None:
        self._send_requests(1)
        begun.wait()
        while not self._has_ended.is_set():
            self._send_requests(None)

    def _send_requests(self, count: int | None) -> None:
        """Send requests until the connection is closed, at most a number."""
        with (
            contextlib.suppress(OSError),
            socket.create_connection(self._address, 10) as stream,
        ):
            for number in itertools.count():
                if number == count or self._has_ended.is_set():
                    return
                stream.sendall(self._request)
                if not stream.recv(ANSWER_BYTES):
                    return


class SilentCrowd:
    """Connections that are open and send nothing."""

    def __init__(self, address: Address, count: int = SILENT_COUNT) -> None:
        self._streams: list[socket.socket] = []
        for _ in range(count):
            with contextlib.suppress(OSError):
                self._streams.append(socket.create_connection(address, 10))

    def close(self) -> None:
        for stream in self._streams:
            stream.close()


class SlowCrowd:
    """Connections that send a head and then one byte after the other.

    Each connects again once it is closed. All have sent a byte when this
    returns.
    """

    def __init__(self, address: Address, head: bytes) -> None:
        self._address = address
        self._head = head
        self._has_begun = threading.Event()
        self._has_ended = threading.Event()
        self._thread = threading.Thread(target=self._run)
        self._thread.start()
        self._has_begun.wait()

    def close(self) -> None:
        self._has_ended.set()
        self._thread.join()

    def _run(self) -> None:
        streams: list[socket.socket | None] = [None] * SLOW_COUNT
        for passes in itertools.count():
            if self._has_ended.is_set():
                break
            if passes >= PASSES_TO_BEGIN:
                self._has_begun.set()
            for number, stream in enumerate(streams):
                streams[number] = self._send_byte(stream)
            time.sleep(SLOW_INTERVAL_S)
        for stream in streams:
            if stream is not None:
                stream.close()

    def _send_byte(self, stream: socket.socket | None) -> socket.socket | None:
        try:
            if stream is None:
                stream = socket.create_connection(self._address, 1)
                stream.sendall(self._head)
                stream.settimeout(0.01)
            else:
                stream.sendall(b"a")
        except OSError:
            if stream is not None:
                stream.close()
            return None
        return stream


def send_unread(address: Address) -> None:
    """Let a crowd send requests, and read none of the answers."""
    request = (
        f"GET {PREFIX}00000000000000aa HTTP/1.1\r\nHost: {HOST}\r\n\r\n"
    ).encode()
    send_without_end(address, request, request)
