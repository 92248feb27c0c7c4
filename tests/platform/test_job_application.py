from __future__ import annotations

import io
import json

from typing import TYPE_CHECKING
from typing import Any

import pytest

from loguru import logger

from magnoliapitch.access import AccessGate
from magnoliapitch.access import ConfigurationFreshness
from magnoliapitch.clock import ManualClock
from magnoliapitch.ledger.records import LeaderRecord
from magnoliapitch.ledger.records import decode_job
from magnoliapitch.metric import Metrics
from magnoliapitch.platform import job_application
from magnoliapitch.relay import RelayedJobs
from magnoliapitch.workload.configuration import QueueSnapshot
from magnoliapitch.workload.job_check import MAX_TASKS_PER_JOB
from tests.access.configurations import HOST
from tests.access.configurations import NORTH
from tests.access.configurations import PRIVATE_QUEUE
from tests.access.configurations import SOUTH
from tests.access.configurations import configuration
from tests.ledger.test_job_api import FakeStore


if TYPE_CHECKING:
    from collections.abc import Iterator
    from collections.abc import Mapping

    from magnoliapitch.workload.configuration import Workspace


# Within the limit of the JSON decoder, beyond Python's recursion limit.
NESTED = b"[" * 1_020 + b"]" * 1_020
BODY = json.dumps({"spec": "text", "steps": [{"count": 1}]}).encode()
NORTH_KEY = {"HTTP_AUTHORIZATION": "Bearer north-1"}
SOUTH_KEY = {"HTTP_AUTHORIZATION": "Bearer south-1"}
UNKNOWN_KEY = {"HTTP_AUTHORIZATION": "Bearer north-0"}


class NoRelay:
    def is_available(self) -> bool:
        return False


class Instance:
    """An instance that serves calls from a store that others may share."""

    def __init__(
        self,
        store: FakeStore | None = None,
        workspaces: tuple[Workspace, ...] = (NORTH, SOUTH),
    ) -> None:
        self.store = store or FakeStore()
        clock = ManualClock(10_000)
        freshness = ConfigurationFreshness(clock)
        freshness.end_check(freshness.begin_check(), has_succeeded=True)
        self.gate = gate = AccessGate(freshness, Metrics())
        gate.configure(configuration(workspaces=workspaces))
        jobs = RelayedJobs(self.store.job_api(), NoRelay(), clock)  # type: ignore[arg-type]
        self._application = job_application(jobs, gate, 1 << 20)
        self.headers: dict[str, str] = {}

    def call(
        self,
        method: str,
        path: str,
        headers: Mapping[str, str] = NORTH_KEY,
        body: bytes = b"",
    ) -> int:
        environ: dict[str, Any] = {
            "REQUEST_METHOD": method,
            "PATH_INFO": path,
            "HTTP_HOST": HOST,
            "CONTENT_LENGTH": str(len(body)),
            "wsgi.input": io.BytesIO(body),
            **headers,
        }
        statuses: list[int] = []

        def start_response(status: str, found: list[tuple[str, str]]) -> None:
            statuses.append(int(status[:3]))
            self.headers = dict(found)

        self.body = b"".join(self._application(environ, start_response))
        return statuses[0]

    def submit(self, path: str, headers: Mapping[str, str] = NORTH_KEY) -> int:
        return self.call("POST", path, headers, BODY)


@pytest.fixture
def lines() -> Iterator[list[dict[str, Any]]]:
    found: list[dict[str, Any]] = []
    sink = logger.add(
        lambda message: found.append(
            {"event": message.record["message"], **message.record["extra"]}
        )
    )
    yield found
    logger.remove(sink)


def test_a_job_is_stored_with_the_workspace_of_its_key() -> None:
    instance = Instance()
    assert instance.submit("/plans/0a") == 200
    assert decode_job(instance.store.stored["j.0a"]).workspace == "north"
    assert instance.submit("/open/0b", SOUTH_KEY) == 200
    assert decode_job(instance.store.stored["j.0b"]).workspace == "south"
    for job_id, headers in (("0c", {}), ("0d", UNKNOWN_KEY)):
        assert instance.submit(f"/open/{job_id}", headers) == 200
        stored = instance.store.stored[f"j.{job_id}"]
        assert decode_job(stored).workspace == ""


# A job whose queue was replaced was lost, and callers were told 410. Without
# any queue at its path, calls get 404, as the newest configuration says.
def test_a_job_is_served_by_whatever_queue_has_its_path() -> None:
    instance = Instance()
    assert instance.submit("/plans/0a") == 200
    stored = decode_job(instance.store.stored["j.0a"])
    assert stored.accepting_queue == QueueSnapshot.from_queue(PRIVATE_QUEUE)
    other = PRIVATE_QUEUE._replace(name="plans-2", service="other")
    for queues, status in (((other,), 200), ((), 404)):
        instance.gate.configure(configuration(queues=queues))
        assert instance.call("GET", "/plans/0a") == status
        assert instance.call("DELETE", "/plans/0a") == status


@pytest.mark.parametrize("headers", [{}, UNKNOWN_KEY])
@pytest.mark.parametrize("method", ["POST", "GET", "DELETE", "PUT"])
@pytest.mark.parametrize("job_id", ["0a", ""])
def test_every_call_without_a_known_key_is_401_and_stores_nothing(
    headers: Mapping[str, str], method: str, job_id: str
) -> None:
    instance = Instance()
    status = instance.call(method, f"/plans/{job_id}", headers, BODY)
    assert status == 401
    assert instance.headers["WWW-Authenticate"] == "Bearer"
    problem = json.loads(instance.body)
    assert problem["verdict"] == "not_run"
    assert problem["type"].endswith(":unauthenticated")
    assert not instance.store.stored


def test_an_unknown_queue_is_404_whatever_the_key() -> None:
    instance = Instance()
    for headers in ({}, UNKNOWN_KEY, NORTH_KEY):
        assert instance.submit("/other/0a", headers) == 404


def test_a_key_of_another_workspace_is_403_for_every_call() -> None:
    """Also at an instance that learns of the job from the store only."""
    instance = Instance()
    instance.submit("/plans/0a")
    instance.store.stored.clear()
    other = Instance(instance.store)
    for at in (instance, other):
        assert at.call("GET", "/plans/0a", SOUTH_KEY) == 403
        assert at.call("DELETE", "/plans/0a", SOUTH_KEY) == 403
        assert at.call("GET", "/open/0a", {}) == 403
    assert instance.submit("/plans/0a", SOUTH_KEY) == 403
    assert not instance.store.stored
    assert instance.call("GET", "/plans/0a") == 200
    assert instance.submit("/plans/0a") == 200
    assert other.call("DELETE", "/plans/0a") == 200
    assert list(instance.store.stored) == ["c.0a"]


def test_a_job_without_a_workspace_is_open_to_every_known_key() -> None:
    instance = Instance()
    instance.submit("/open/0a", {})
    for headers in (NORTH_KEY, SOUTH_KEY):
        assert instance.call("GET", "/plans/0a", headers) == 200
    assert instance.call("GET", "/open/0a", {}) == 200
    assert instance.call("GET", "/plans/0a", {}) == 401


def test_a_deployment_without_workspaces_is_served_as_before(
    lines: list[dict[str, Any]],
) -> None:
    """Keys are ignored; a stored job has no workspace, only its queue."""
    instance = Instance(workspaces=())
    for number, headers in enumerate(({}, UNKNOWN_KEY, NORTH_KEY)):
        assert instance.submit(f"/plans/0{number}", headers) == 200
        assert instance.call("GET", f"/plans/0{number}", headers) == 200
        stored = json.loads(instance.store.stored[f"j.0{number}"])
        assert stored[8:] == ["", ["app", 0, 1, 1.0, 0.0, None]]
    assert instance.call("GET", "/plans/", {}) == 200
    assert json.loads(instance.body) == {"pending-jobs": 3}
    assert [line["event"] for line in lines] == ["call-answered"] * 3
    assert not any("workspace" in line for line in lines)


def test_jobs_stay_reachable_after_the_last_workspace_is_removed() -> None:
    instance = Instance()
    instance.submit("/plans/0a")
    later = Instance(instance.store, workspaces=())
    assert later.call("GET", "/plans/0a", {}) == 200


def test_a_rejected_call_is_logged_with_workspaces_and_without_keys(
    lines: list[dict[str, Any]],
) -> None:
    instance = Instance()
    instance.submit("/plans/0a")
    assert lines.pop()["workspace"] == "north"
    request_id = {"HTTP_X_REQUEST_ID": "r-1"}
    instance.call("GET", "/plans/0a", {**SOUTH_KEY, **request_id})
    instance.call("GET", "/plans/0a", {**UNKNOWN_KEY, **request_id})
    assert lines == [
        {
            "event": "call-rejected",
            "request_id": "r-1",
            "code": "forbidden",
            "call": "state",
            "job": "0a",
            "workspace": "south",
            "job_workspace": "north",
        },
        {
            "event": "call-rejected",
            "request_id": "r-1",
            "code": "unauthenticated",
            "queue": "plans",
            "path": "/plans/0a",
            "credential": "unknown-key",
        },
    ]


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"\xff\xfe",
        b"null",
        b"7",
        b"[]",
        b"[" * 100_000,
        b'{"steps": null}',
        b'{"steps": {"count": 1}}',
        b'{"steps": ["count"]}',
        b'{"steps": [{"count": 1e400}]}',
        b'{"steps": [{"count": "many"}]}',
        b'{"steps": [{"count": {}}]}',
        b'{"steps": [{"count": 1000000000}]}',
        b'{"steps": [{"count": 1, "cpu": 1e300}]}',
        b'{"steps": [{"count": 1, "depends-on": 4}]}',
        b'{"steps": [{"count": 1}], "run-count": 1000000000}',
        b'{"steps": [{"count": 1}], "start-at-ms": -1e300}',
        b'{"steps": [{"count": 1}], "spec": ' + NESTED + b"}",
    ],
)
def test_a_malformed_body_is_refused_as_not_run(body: bytes) -> None:
    instance = Instance()
    assert instance.call("POST", "/plans/0a", NORTH_KEY, body) == 400
    assert json.loads(instance.body)["verdict"] == "not_run"
    assert not instance.store.stored


@pytest.mark.parametrize(
    "headers",
    [
        {"HTTP_AUTHORIZATION": "Bearer \xff\x00\xb2"},
        {"HTTP_AUTHORIZATION": "\xff" * 8_000},
        {"HTTP_AUTHORIZATION": "Bearer " + "a" * 8_000},
        {"HTTP_AUTHORIZATION": " "},
        {"HTTP_HOST": "\xff:\xff", **NORTH_KEY},
    ],
)
def test_odd_header_bytes_are_rejected(headers: Mapping[str, str]) -> None:
    instance = Instance()
    assert instance.submit("/plans/0a", headers) in (401, 404)
    assert instance.submit("/plans/0a") == 200


@pytest.mark.parametrize("value", ["\xb2", "9" * 5_000, "-1", "1.5", ""])
def test_an_odd_deadline_does_not_fail_a_submission(value: str) -> None:
    """Superscript digits are digits that cannot be converted."""
    headers = {**NORTH_KEY, "HTTP_X_MAGNOLIAPITCH_DEADLINE_MS": value}
    assert Instance().submit("/plans/0a", headers) == 200


def test_a_job_may_have_as_many_tasks_as_the_limit() -> None:
    body = json.dumps({"steps": [{"count": MAX_TASKS_PER_JOB}]}).encode()
    instance = Instance()
    assert instance.call("POST", "/plans/0a", NORTH_KEY, body) == 200
    body = json.dumps({"steps": [{"count": MAX_TASKS_PER_JOB + 1}]}).encode()
    assert instance.call("POST", "/plans/0b", NORTH_KEY, body) == 400


# 4,500 steps in a body of 117 KB made a record that the store refused.
@pytest.mark.parametrize(
    ("job", "limit"),
    [
        ({"steps": [{"count": 1, "cpu": 100}] * 4_500}, "262144 are allowed"),
        ({"steps": [{"count": 1}], "run-count": 5_001}, "5000 are allowed"),
        ({"steps": [{"count": 1}], "spec": "a" * 4_001}, "4000 are allowed"),
        ({"steps": [{"count": 501, "gang": True}]}, "500 are allowed"),
    ],
)
def test_a_job_above_a_limit_is_refused_with_the_limit(
    job: Mapping[str, Any], limit: str
) -> None:
    instance = Instance()
    body = json.dumps(job).encode()
    assert instance.call("POST", "/plans/0a", NORTH_KEY, body) == 400
    assert limit in json.loads(instance.body)["detail"]
    assert not instance.store.stored


def test_a_published_job_is_checked_by_its_published_workspace() -> None:
    """The submission is deleted from the stored jobs once it has ended."""
    instance = Instance()
    instance.submit("/plans/0a")
    later = Instance(instance.store)
    job = instance.store.job_api()
    assert job.state("0a", 1_000).is_ok()
    instance.store.states.apply({"s.0a": b'C["plans","north"]'}, ["s.0a"])
    instance.store.states.leader = LeaderRecord(1, "leader", job_offset=1)
    assert later.call("GET", "/plans/0a", SOUTH_KEY) == 403
    assert later.call("DELETE", "/plans/0a", SOUTH_KEY) == 403
    assert later.submit("/plans/0a", SOUTH_KEY) == 403
    assert later.call("GET", "/plans/0a") == 200
