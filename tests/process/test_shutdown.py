from __future__ import annotations

import signal
import threading
import time

from typing import TYPE_CHECKING

import urllib3


if TYPE_CHECKING:
    from collections.abc import Callable

    from tests.process.conftest import EntryProcess
    from tests.process.conftest import ProcessCluster


REQUESTS_IN_FLIGHT = 100
MAX_CONCURRENT = 40
# Until the test lets them end, all requests are in flight at the same moment.
DURATION_MS = 50_000
WAIT_S = 60
ENTRY = {
    "name": "seat-check",
    "owner": "clubs",
    "work_class": "urgent",
    "app": "clubes-app",
    "patience_ms": 60_000,
    "limits": {"concurrent_requests": MAX_CONCURRENT},
}


def test_shutdown_cuts_off_none_of_100_requests_in_flight(
    process_cluster: ProcessCluster,
) -> None:
    entry = process_cluster.add_entry("xela-norte")
    entry.wait_ready()
    url = f"{entry.admin_url}/v1/catalogue/seat-check"
    assert urllib3.request("PUT", url, json=ENTRY).status == 200
    _wait_until(lambda: _post(entry, "warm").status == 200)
    backends = process_cluster.cluster.backends
    backends.duration_ms = DURATION_MS
    answers: dict[int, urllib3.BaseHTTPResponse] = {}

    def call(number: int) -> None:
        answers[number] = _post(entry, f"seat {number}")

    threads = [
        threading.Thread(target=call, args=(number,))
        for number in range(REQUESTS_IN_FLIGHT)
    ]
    for thread in threads:
        thread.start()
    _wait_until(lambda: _caller_count(entry) == REQUESTS_IN_FLIGHT)
    entry.process.send_signal(signal.SIGTERM)
    _wait_until(lambda: _ready_status(entry) == 503)
    refused = _post(entry, "late")
    assert not answers
    assert (refused.status, refused.json()["verdict"]) == (503, "not_run")
    assert refused.headers["Connection"] == "close"
    job = urllib3.request("POST", f"{entry.url}/v1/jobs", body=b"{}")
    assert (job.status, job.json()["verdict"]) == (503, "not_run")
    backends.has_released.set()
    for thread in threads:
        thread.join(WAIT_S)
    assert entry.process.wait(WAIT_S) == 0
    for number in range(REQUESTS_IN_FLIGHT):
        assert answers[number].status == 200, answers[number].data
        assert answers[number].json()["echo"] == f"seat {number}"
    bodies = [run.body for run in backends.history]
    assert b"late" not in bodies
    assert len(bodies) == len(set(bodies))


def _post(entry: EntryProcess, body: str) -> urllib3.BaseHTTPResponse:
    return urllib3.request(
        "POST",
        f"{entry.url}/v1/requests/seat-check",
        body=body.encode(),
        retries=False,
        timeout=WAIT_S,
    )


def _caller_count(entry: EntryProcess) -> int:
    state = urllib3.request("GET", f"{entry.admin_url}/v1/state").json()
    return int(state["router"]["callers"])


def _ready_status(entry: EntryProcess) -> int:
    return urllib3.request("GET", f"{entry.admin_url}/v1/ready").status


def _wait_until(condition: Callable[[], bool]) -> None:
    deadline_s = time.monotonic() + WAIT_S
    while not condition():
        assert time.monotonic() < deadline_s
        time.sleep(0.02)
