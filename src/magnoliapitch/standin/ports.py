"""Loopback ports for stand-ins and tests, reserved for one process."""

from __future__ import annotations

import fcntl
import itertools
import os
import random
import socket
import tempfile

from pathlib import Path


LOOPBACK = "127.0.0.1"
# Below the range from which the kernel takes ports for outgoing connections.
FIRST_PORT = 20_000
LAST_PORT = 32_000

# Descriptors of lock files; a port stays reserved until the process ends.
_locks_by_port: dict[int, int] = {}


def free_ports(count: int) -> tuple[int, ...]:
    """Return different loopback ports that no other caller gets.

    Every process that calls this function locks a file for each port. Nothing
    is bound to the ports now, and the kernel gives them to no connection.

    :raises OSError: if not enough ports are free.
    """
    span = LAST_PORT - FIRST_PORT
    start = random.randrange(span)
    candidates = (
        FIRST_PORT + (start + offset) % span for offset in range(span)
    )
    reserved = tuple(itertools.islice(filter(_reserve, candidates), count))
    if len(reserved) < count:
        raise OSError(
            f"{count} free ports from {FIRST_PORT} to {LAST_PORT} are needed, "
            f"found {len(reserved)}"
        )
    return reserved


def _reserve(port: int) -> bool:
    if port in _locks_by_port:
        return False
    folder = Path(tempfile.gettempdir(), f"magnoliapitch-ports-{os.getuid()}")
    folder.mkdir(exist_ok=True)
    lock = os.open(Path(folder, str(port)), os.O_CREAT | os.O_RDWR)
    try:
        fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except BlockingIOError:
        os.close(lock)
        return False
    _locks_by_port[port] = lock
    return _is_unbound(port)


def _is_unbound(port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind((LOOPBACK, port))
        except OSError:
            return False
    return True
