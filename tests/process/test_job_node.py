"""Tests of job instances with callers and a platform over sockets."""

from __future__ import annotations

import time

from typing import TYPE_CHECKING

import pytest
import urllib3

from magnoliapitch.entry.job_node import JobNode
from magnoliapitch.settings.cluster import ClusterSettings
from magnoliapitch.settings.cluster import EndpointSettings
from magnoliapitch.settings.cluster import ListenSettings
from magnoliapitch.standin.ports import free_ports
from tests.platform.platform_standin import LOOPBACK
from tests.platform.platform_standin import StandinAdvisor
from tests.platform.platform_standin import StandinRunner
from tests.platform.platform_standin import StandinStore


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator


HOST = "jobs.example"
PREFIX = "/plans/"
WAIT_S = 20.0
STEPS = [
    {"count": 2, "cpu": 1_000, "mem-mb": 512},
    {"count": 1, "cpu": 1_000, "mem-mb": 512, "depends-on": [0]},
]
QUEUE = {
    "name": "plans",
    "host": HOST,
    "path-prefix": PREFIX,
    "service": "app",
    "attempts": 3,
    "timeout-ms": 3_000,
    "advice": {"decision-ms": 5, "per-worker-ms": 1, "valid-ms": 2_500},
}


class Cluster:
    """Two entry instances on a stand-in platform with two runners."""

    def __init__(self) -> None:
        self.store = StandinStore()
        self.advisor = StandinAdvisor()
        self.runners = [StandinRunner(f"i-{number}") for number in range(2)]
        self.http = urllib3.PoolManager(retries=False)
        for runner in self.runners:
            self.store.put(
                "keyed.servers", runner.runner_id, server_record(runner)
            )
        body = {"version": 1, "routes": [QUEUE], "services": [{"name": "app"}]}
        self.store.put("keyed.op", "config", body)
        self.addresses = [f"{LOOPBACK}:{free_ports(1)[0]}" for _ in range(2)]
        self.nodes = [
            self._make_node(number) for number in range(len(self.addresses))
        ]
        for node in self.nodes:
            node.start()

    def call(
        self, method: str, job_id: str, node: int = 0, body: object = None
    ) -> tuple[int, dict[str, object]]:
        response = self.http.request(
            method,
            f"http://{self.addresses[node]}{PREFIX}{job_id}",
            headers={"Host": HOST},
            json=body,
            timeout=10,
        )
        return response.status, response.json() if response.data else {}

    def submit(self, job_id: str, node: int = 0) -> int:
        body = {"spec": "text", "steps": STEPS}
        return self.call("POST", job_id, node, body)[0]

    def state(self, job_id: str, node: int = 0) -> object:
        return self.call("GET", job_id, node)[1].get("state")

    def started_runs(self, name_part: str) -> list[str]:
        return [
            name
            for runner in self.runners
            for name, _ in runner.started
            if name_part in name
        ]

    def close(self) -> None:
        for node in self.nodes:
            node.stop()
        for server in (self.store, self.advisor, *self.runners):
            server.close()

    def _make_node(self, number: int) -> JobNode:
        settings = ClusterSettings(
            f"entry-{number}",
            "z",
            EndpointSettings(self.store.address, self.advisor.address),
            ListenSettings(
                self.addresses[number],
                f"{LOOPBACK}:{free_ports(1)[0]}",
                free_ports(1)[0],
                free_ports(1)[0],
            ),
        )
        return JobNode(settings, lambda: None)


def server_record(runner: StandinRunner) -> dict[str, object]:
    return {
        "service": "app",
        "address": runner.address,
        "zone": "z",
        "state": "ready",
        "capacity": {"cpu": 8_000, "mem-mb": 16_384},
        "labels": ["a", "r1-1"],
        "seq": 1,
    }


def wait_until(condition: Callable[[], bool]) -> None:
    deadline_s = time.monotonic() + WAIT_S
    while not condition():
        assert time.monotonic() < deadline_s, "condition was not met in time"
        time.sleep(0.05)


@pytest.fixture(scope="module")
def cluster() -> Iterator[Cluster]:
    cluster = Cluster()
    wait_until(lambda: all(node.is_ready() for node in cluster.nodes))
    wait_until(lambda: any(node.is_leading() for node in cluster.nodes))
    yield cluster
    cluster.close()


def test_a_job_runs_once_and_is_shown_everywhere(cluster: Cluster) -> None:
    assert cluster.submit("00000000000000a1") == 200
    for node in range(2):
        wait_until(
            lambda node=node: (  # type: ignore[misc]
                cluster.state("00000000000000a1", node) == "completed"
            )
        )
    names = cluster.started_runs("00000000000000a1")
    assert sorted(names) == [
        "00000000000000a1.0.0.0",
        "00000000000000a1.0.0.1",
        "00000000000000a1.0.1.0",
    ]


def test_a_job_submitted_to_two_instances_runs_once(cluster: Cluster) -> None:
    assert cluster.submit("00000000000000a2", 0) == 200
    assert cluster.submit("00000000000000a2", 1) == 200
    wait_until(lambda: cluster.state("00000000000000a2") == "completed")
    assert cluster.submit("00000000000000a2", 1) == 200
    time.sleep(1)
    names = cluster.started_runs("00000000000000a2")
    assert len(names) == len(set(names)) == 3


def test_lost_answers_of_the_store_lose_no_job(cluster: Cluster) -> None:
    cluster.store.responses_to_lose = 3
    statuses = [cluster.submit(f"00000000000000b{n}") for n in range(4)]
    assert set(statuses) <= {200, 504}
    for number in range(4):
        wait_until(
            lambda number=number: (  # type: ignore[misc]
                cluster.state(f"00000000000000b{number}") == "completed"
            )
        )
    names = cluster.started_runs("000000b")
    assert len(names) == len(set(names))


def test_jobs_run_after_stored_records_have_expired(cluster: Cluster) -> None:
    for topic in ("jobs", "states", "runs", "servers", "op", "members"):
        cluster.store.expire(f"keyed.{topic}")
    assert cluster.submit("00000000000000a3") == 200
    wait_until(lambda: cluster.state("00000000000000a3", 1) == "completed")


def test_refusals_carry_a_retry_delay(cluster: Cluster) -> None:
    wait_until(lambda: all(node.is_ready() for node in cluster.nodes))
    cluster.store.is_down = True
    try:
        wait_until(lambda: not cluster.nodes[0].is_ready())
        response = cluster.http.request(
            "POST",
            f"http://{cluster.addresses[0]}{PREFIX}00000000000000a4",
            headers={"Host": HOST},
            json={"spec": "", "steps": STEPS},
        )
        assert response.status == 503
        assert int(response.headers["Retry-After"]) >= 1
    finally:
        cluster.store.is_down = False
    wait_until(lambda: all(node.is_ready() for node in cluster.nodes))
    assert cluster.call("GET", "00000000000000a4")[0] == 410


def test_a_job_that_cannot_be_read_is_refused(cluster: Cluster) -> None:
    for steps in ([], [{"count": 0}], [{"count": 1, "depends-on": [0]}]):
        body = {"spec": "", "steps": steps}
        assert cluster.call("POST", "00000000000000a5", 0, body)[0] == 400


def test_an_unknown_queue_is_not_found(cluster: Cluster) -> None:
    response = cluster.http.request(
        "GET", f"http://{cluster.addresses[0]}/other/", headers={"Host": HOST}
    )
    assert response.status == 404


def test_the_metrics_are_served(cluster: Cluster) -> None:
    settings = cluster.nodes[0].settings
    response = cluster.http.request(
        "GET", f"http://{LOOPBACK}:{settings.listen.metrics_port}/metrics"
    )
    assert response.status == 200
    text = response.data.decode()
    assert 'magnoliapitch_calls_submit_total{label="stored"}' in text
    assert "magnoliapitch_outgoing_call_ms_count" in text


def test_another_instance_leads_once_the_leader_stops(
    cluster: Cluster,
) -> None:
    leader = [node.is_leading() for node in cluster.nodes].index(True)
    other = 1 - leader
    cluster.nodes[leader].stop()
    assert cluster.submit("00000000000000c1", other) == 200
    wait_until(lambda: cluster.state("00000000000000c1", other) == "completed")
