"""Measures what a running entry instance uses while it is idle."""

from __future__ import annotations

import time

from typing import Any

import urllib3

from magnoliapitch.bench.exceptions import BenchError
from magnoliapitch.capacity.measurement import IdleCost


BYTES_PER_MB = 1 << 20
READ_TIMEOUT_S = 10


def measure_idle(admin_url: str, seconds: float) -> IdleCost:
    """Read the resource counters of an instance twice and compare them.

    :param admin_url: base address of the operators' listener.
    :param seconds: time between the two readings; the instance should get
        no requests in it.
    :raises BenchError: if the instance does not respond with JSON.
    """
    state_before = _read_state(admin_url)
    time.sleep(seconds)
    state_after = _read_state(admin_url)
    elapsed_s = _usage_value(state_after, "elapsed_s") - _usage_value(
        state_before, "elapsed_s"
    )
    cpu_s = _usage_value(state_after, "cpu_s") - _usage_value(
        state_before, "cpu_s"
    )
    traffic_bytes = sum(
        _usage_value(state_after, key) - _usage_value(state_before, key)
        for key in ("received_bytes", "sent_bytes")
    )
    return IdleCost(
        cpu_s / elapsed_s,
        _usage_value(state_after, "memory_bytes") / BYTES_PER_MB,
        traffic_bytes / elapsed_s,
        len(state_after["jobs"]["workers"]),
        elapsed_s,
    )


def _usage_value(state: dict[str, Any], key: str) -> float:
    return float(state["cost"][key])


def _read_state(admin_url: str) -> dict[str, Any]:
    url = f"{admin_url.rstrip('/')}/v1/state"
    try:
        response = urllib3.request(
            "GET", url, timeout=READ_TIMEOUT_S, retries=False
        )
        state = response.json()
    except (urllib3.exceptions.HTTPError, ValueError) as error:
        raise BenchError(
            f"reading the state from {url} failed: {error}"
        ) from error
    assert isinstance(state, dict)
    return state
