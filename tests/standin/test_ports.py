from __future__ import annotations

import socket
import subprocess
import sys

from pathlib import Path

from magnoliapitch.standin import ports
from magnoliapitch.standin.ports import LOOPBACK
from magnoliapitch.standin.ports import free_ports


PORT_COUNT = 300
PRINT_PORTS = (
    "import random, sys\n"
    "from magnoliapitch.standin.ports import free_ports\n"
    "random.seed(1)\n"
    f"print(*free_ports({PORT_COUNT}), flush=True)\n"
    "sys.stdin.read()\n"
)


def test_processes_at_the_same_time_get_different_ports() -> None:
    """With the same seed both try the same ports."""
    source = str(Path(ports.__file__).parents[2])
    processes = [
        subprocess.Popen(
            [sys.executable, "-c", PRINT_PORTS],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            env={"PYTHONPATH": source},
            text=True,
        )
        for _ in range(2)
    ]
    found: list[str] = []
    for process in processes:
        assert process.stdout is not None
        found += process.stdout.readline().split()
    for process in processes:
        process.communicate()
    assert len(found) == 2 * PORT_COUNT
    assert len(set(found)) == 2 * PORT_COUNT


def test_ports_are_outside_the_range_of_outgoing_connections() -> None:
    path = Path("/proc/sys/net/ipv4/ip_local_port_range")
    first_ephemeral = int(path.read_text().split()[0])
    assert max(free_ports(5)) < first_ephemeral


def test_a_port_in_use_is_left_out() -> None:
    with socket.socket() as taken:
        (port,) = free_ports(1)
        taken.bind((LOOPBACK, port))
        assert not ports._is_unbound(port)
