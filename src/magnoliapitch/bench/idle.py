"""Measures what a running entry instance uses while nothing is asked."""

from __future__ import annotations

import time

from typing import Any

import urllib3

from magnoliapitch.bench.exceptions import BenchError
from magnoliapitch.capacity.measurement import IdleCost


BYTES_PER_MB = 1 << 20
TIMEOUT_S = 10


def measure_idle(admin_url: str, seconds: float) -> IdleCost:
    """Compare the counters of a process at two moments.

    :param admin_url: base address of the operators' listener.
    :param seconds: time between the two readings.
    :raises BenchError: if the instance does not answer.
    """
    before = _state(admin_url)
    time.sleep(seconds)
    after = _state(admin_url)
    elapsed_s = _cost(after, "elapsed_s") - _cost(before, "elapsed_s")
    cpu_s = _cost(after, "cpu_s") - _cost(before, "cpu_s")
    traffic = sum(
        _cost(after, key) - _cost(before, key)
        for key in ("received_bytes", "sent_bytes")
    )
    return IdleCost(
        cpu_s / elapsed_s,
        _cost(after, "memory_bytes") / BYTES_PER_MB,
        traffic / elapsed_s,
        len(after["jobs"]["workers"]),
        elapsed_s,
    )


def _cost(state: dict[str, Any], key: str) -> float:
    return float(state["cost"][key])


def _state(admin_url: str) -> dict[str, Any]:
    url = f"{admin_url.rstrip('/')}/v1/state"
    try:
        response = urllib3.request(
            "GET", url, timeout=TIMEOUT_S, retries=False
        )
        value = response.json()
    except (urllib3.exceptions.HTTPError, ValueError) as error:
        raise BenchError(f"{url}: {error}") from error
    assert isinstance(value, dict)
    return value
