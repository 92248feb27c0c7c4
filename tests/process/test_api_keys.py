"""Tests of API keys at job instances, with callers over sockets."""

from __future__ import annotations

import socket

from typing import TYPE_CHECKING

import pytest

from magnoliapitch.entry.job_node import JobNode
from tests.process.test_job_node import HOST
from tests.process.test_job_node import PREFIX
from tests.process.test_job_node import QUEUE
from tests.process.test_job_node import STEPS
from tests.process.test_job_node import Cluster
from tests.process.test_job_node import wait_until


if TYPE_CHECKING:
    from collections.abc import Iterator


JOB_ID = "00000000000000d1"


class KeyCluster(Cluster):
    """A cluster whose callers need keys."""

    def __init__(self) -> None:
        super().__init__()
        self.version = 1

    def put_keys(self, *keys: str) -> None:
        """Store a configuration with one workspace."""
        self.version += 1
        body = {
            "version": self.version,
            "routes": [QUEUE],
            "services": [{"name": "app"}],
            "tenants": [{"name": "north", "api-keys": list(keys)}],
        }
        self.store.put("keyed.op", "config", body)

    def status(self, key: str, node: int = 0, job_id: str = JOB_ID) -> int:
        response = self.http.request(
            "POST",
            f"http://{self.addresses[node]}{PREFIX}{job_id}",
            headers={"Host": HOST, "Authorization": f"Bearer {key}"},
            json={"spec": "", "steps": STEPS},
            timeout=10,
        )
        return response.status

    def restart(self, number: int) -> JobNode:
        self.nodes[number].stop()
        self.nodes[number] = JobNode(self.nodes[number].settings, lambda: None)
        self.nodes[number].start()
        return self.nodes[number]


@pytest.fixture(scope="module")
def cluster() -> Iterator[KeyCluster]:
    cluster = KeyCluster()
    wait_until(lambda: all(node.is_ready() for node in cluster.nodes))
    yield cluster
    cluster.close()


def test_a_key_is_added_and_withdrawn_on_every_instance(
    cluster: KeyCluster,
) -> None:
    for known, unknown in (("k1", "k2"), ("k2", "k1")):
        cluster.put_keys(known)
        for node in range(2):
            wait_until(
                lambda unknown=unknown, node=node: (  # type: ignore[misc]
                    cluster.status(unknown, node) == 401
                )
            )
            assert cluster.status(known, node) == 200


def test_malformed_calls_leave_the_listener_at_work(
    cluster: KeyCluster,
) -> None:
    """More calls than the listener has threads: none of them may end."""
    cluster.put_keys("k1")
    wait_until(lambda: cluster.status("k1") == 200)
    host, _, port = cluster.addresses[0].partition(":")
    head = f"POST {PREFIX}0a HTTP/1.1\r\nHost: {HOST}\r\n".encode()
    for line in (
        b"Authorization: Bearer \xff\xfe\x80",
        b"Authorization: Bearer " + b"k" * 20_000,
        b"Authorization: Bearer k1\r\nContent-Length: 9999999999",
        b"Authorization: Bearer k1\r\nContent-Length: \xb2",
        b"Authorization: Bearer k1\r\nAuthorization: Bearer k2",
        b"\xff\xfe: \x00",
    ):
        for _ in range(8):
            with socket.create_connection((host, int(port)), 5) as stream:
                stream.sendall(head + line + b"\r\n\r\n")
                answer = stream.recv(4_096)
                assert answer.startswith(b"HTTP/1.1 4"), (line[:40], answer)
    assert cluster.status("k1") == 200
    assert all(node.is_ready() for node in cluster.nodes)


def test_a_withdrawn_key_stays_withdrawn_after_a_restart(
    cluster: KeyCluster,
) -> None:
    """The store is unreachable from before the withdrawal is known."""
    cluster.put_keys("k1")
    wait_until(lambda: cluster.status("k1", 1) == 200)
    cluster.store.is_down = True
    try:
        cluster.put_keys("k2")
        node = cluster.restart(1)
        assert cluster.status("k1", 1) == 503
    finally:
        cluster.store.is_down = False
    wait_until(node.is_ready)
    assert cluster.status("k1", 1) == 401
    assert cluster.status("k2", 1) == 200
