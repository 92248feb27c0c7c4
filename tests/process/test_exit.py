from __future__ import annotations

import os
import socket
import subprocess
import sys

from pathlib import Path
from typing import TYPE_CHECKING

import urllib3


if TYPE_CHECKING:
    import pytest

    from tests.process.conftest import ProcessCluster

DEV_END_TIMEOUT_S = 60


def test_entry_drains_and_exits_with_0_on_sigterm(
    process_cluster: ProcessCluster,
) -> None:
    entry = process_cluster.add_entry("xela-norte")
    entry.wait_ready()
    urllib3.request("POST", f"{entry.admin_url}/v1/drain")
    refused = urllib3.request("POST", f"{entry.url}/v1/requests/x")
    assert refused.json()["verdict"] == "not_run"
    assert entry.stop() == 0


def test_entry_names_a_port_in_use_and_exits_with_71(
    process_cluster: ProcessCluster, capfd: pytest.CaptureFixture[str]
) -> None:
    first = process_cluster.add_entry("xela-norte")
    first.wait_ready()
    port = int(first.url.rpartition(":")[2])
    second = process_cluster.add_entry("xela-norte", caller_port=port)
    assert second.process.wait(30) == 71
    error = capfd.readouterr().err
    expected = f"cannot start: callers: cannot listen on 127.0.0.1:{port}: "
    assert expected in error
    assert "Address already in use" in error
    assert "Traceback" not in error


def test_entry_names_an_adapter_or_policy_that_is_unknown(
    process_cluster: ProcessCluster, capfd: pytest.CaptureFixture[str]
) -> None:
    entry = process_cluster.add_entry("xela-norte", policy="fastest")
    assert entry.process.wait(30) == 65
    assert "fastest" in capfd.readouterr().err


def test_entry_starts_while_the_platform_is_away_and_is_not_ready(
    process_cluster: ProcessCluster, tmp_path: Path
) -> None:
    with socket.socket() as unused:
        unused.bind(("127.0.0.1", 0))
        url = f"http://127.0.0.1:{unused.getsockname()[1]}"
        entry = process_cluster.add_entry("xela-norte", platform_url=url)
        entry.wait_status("/v1/health", 200)
        entry.wait_status("/v1/ready", 503)
    assert entry.stop() == 0


def test_dev_ends_when_its_output_is_closed() -> None:
    command = [sys.executable, "-m", "magnoliapitch", "dev"]
    root = Path(__file__).parents[2]
    with subprocess.Popen(
        [*command, str(root / "examples" / "clubs.toml")],
        env={**os.environ, "PYTHONPATH": str(root / "src")},
        stdout=subprocess.PIPE,
        stderr=subprocess.DEVNULL,
    ) as process:
        assert process.stdout is not None
        process.stdout.close()
        try:
            assert process.wait(DEV_END_TIMEOUT_S) != 0
        finally:
            process.kill()
