from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

import orjson
import urllib3

from magnoliapitch.job.spec import JobSpec
from magnoliapitch.resource import Resources
from tests.api.conftest import WAIT_S
from tests.api.conftest import wait_until


if TYPE_CHECKING:
    from tests.api.conftest import RunningCluster


SMALL = Resources(1, 1)
ENTRY = {"name": "term-roster", "owner": "clubs", "work_class": "batch"}


def test_job_that_can_never_run_is_refused_with_a_remedy(
    running: RunningCluster,
) -> None:
    _prepare(running, {"queued": 50})
    large = _submit(running, "large", 1, 33_000)
    assert (large.status, large.json()["verdict"]) == (422, "not_run")
    assert "declare at most 32000" in large.json()["detail"]
    many = _submit(running, "many", 51, 1_000)
    assert (many.status, many.json()["verdict"]) == (503, "not_run")
    assert "raise limits.queued" in many.json()["detail"]


def test_job_of_an_unknown_entry_is_refused(running: RunningCluster) -> None:
    _prepare(running, {})
    running.admin("DELETE", "/v1/catalogue/term-roster", if_match='"1"')
    refused = _submit(running, "j", 1, 1_000)
    assert (refused.status, refused.json()["verdict"]) == (404, "not_run")
    assert "'term-roster'" in refused.json()["detail"]


def test_repeated_submission_and_cancellation_of_a_job_succeed(
    running: RunningCluster,
) -> None:
    _prepare(running, {})
    for _ in range(2):
        assert _submit(running, "j", 8, 32_000).status == 202
    other = _submit(running, "j", 7, 32_000)
    assert (other.status, other.json()["verdict"]) == (409, "not_run")
    node = running.cluster.entries[0]
    url = f"http://127.0.0.1:{node.caller_listener.port}/v1/jobs/j"
    for _ in range(2):
        assert urllib3.request("DELETE", url, timeout=WAIT_S).status == 200


def test_job_that_waits_is_explained(running: RunningCluster) -> None:
    _prepare(running, {})
    for job_number in range(4):
        assert _submit(running, f"job-{job_number}", 8, 25_000).status == 202
    wait_until(lambda: "free capacity" in _limits(running))
    assert _get_explanation(running, 0, "absent").status == 404


def _prepare(running: RunningCluster, limits: dict[str, int]) -> None:
    entry = {**ENTRY, "limits": limits}
    path = "/v1/catalogue/term-roster"
    assert running.admin("PUT", path, entry).status == 200
    core = running.cluster.entries[0].core

    def is_claimed() -> bool:
        with core.journal.locked_state() as state:
            units = {claim.unit for claim in state.claims_by_unit.values()}
        return len(units) >= 2

    wait_until(is_claimed)
    wait_until(
        lambda: core.job_service.choose_unit(
            JobSpec("j", "term-roster", 1, SMALL)
        ).ok()
    )


def _submit(
    running: RunningCluster, job_id: str, tasks: int, cpu_millis: int
) -> urllib3.BaseHTTPResponse:
    job = {
        "job_id": job_id,
        "entry": "term-roster",
        "tasks": tasks,
        "resources": {"cpu_millis": cpu_millis, "memory_mb": 1_024},
        "payload": "run_ms=60000",
    }
    return urllib3.request(
        "POST",
        f"{_url(running, 0)}/v1/jobs",
        body=orjson.dumps(job),
        timeout=WAIT_S,
        retries=False,
    )


def _limits(running: RunningCluster) -> set[Any]:
    return {
        _get_explanation(running, entry, f"job-{job_number}")
        .json()
        .get("limit")
        for entry in range(2)
        for job_number in range(4)
    }


def _get_explanation(
    running: RunningCluster, entry_number: int, job_id: str
) -> urllib3.BaseHTTPResponse:
    url = f"{_url(running, entry_number)}/v1/jobs/{job_id}/explanation"
    return urllib3.request("GET", url, timeout=WAIT_S, retries=False)


def _url(running: RunningCluster, entry_number: int) -> str:
    node = running.cluster.entries[entry_number]
    return f"http://127.0.0.1:{node.caller_listener.port}"
