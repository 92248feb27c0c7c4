from __future__ import annotations

import time

from typing import TYPE_CHECKING

import orjson
import urllib3


if TYPE_CHECKING:
    from tests.process.conftest import ProcessCluster


ENTRIES = (
    {
        "name": "seat-check",
        "owner": "clubs",
        "work_class": "urgent",
        "app": "clubes-app",
    },
    {"name": "term-roster", "owner": "clubs", "work_class": "batch"},
)
MAX_ATTEMPTS = 200


def test_path_serves_a_request_and_a_job_through_processes(
    process_cluster: ProcessCluster,
) -> None:
    for zone in process_cluster.cluster.shape.zones:
        process_cluster.add_entry(zone)
    for entry in process_cluster.entries:
        entry.wait_ready()
    _put_catalogue_entries(process_cluster.entries[0].admin_url)
    for entry in process_cluster.entries:
        answer = _call_until_ok(
            "POST", f"{entry.url}/v1/requests/seat-check", b"x"
        )
        assert answer.json()["echo"] == "x"
    job = {
        "job_id": "roster",
        "entry": "term-roster",
        "tasks": 3,
        "resources": {"cpu_millis": 1_000},
    }
    url = f"{process_cluster.entries[1].url}/v1/jobs"
    assert _call_until_ok("POST", url, orjson.dumps(job)).status == 202
    _wait_until_done(f"{process_cluster.entries[2].url}/v1/jobs/roster")


def _put_catalogue_entries(admin_url: str) -> None:
    for entry in ENTRIES:
        answer = urllib3.request(
            "PUT", f"{admin_url}/v1/catalogue/{entry['name']}", json=entry
        )
        assert answer.status == 200, answer.data


def _call_until_ok(
    method: str, url: str, body: bytes
) -> urllib3.BaseHTTPResponse:
    for _ in range(MAX_ATTEMPTS):
        answer = urllib3.request(method, url, body=body)
        if answer.status < 300:
            return answer
        time.sleep(0.05)
    raise AssertionError(answer.data)


def _wait_until_done(url: str) -> None:
    for _ in range(MAX_ATTEMPTS):
        if urllib3.request("GET", url).json()["done"]:
            return
        time.sleep(0.05)
    raise AssertionError("job is not done")
