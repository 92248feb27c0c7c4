from __future__ import annotations

import json

import pytest

from magnoliapitch.ledger.stream import KeyedRecord
from magnoliapitch.platform.directory import PlatformDirectory
from tests.ledger.memory_streams import MemoryStreams


WORKER_ENTRY = {
    "service": "app",
    "address": "10.0.0.1:80",
    "zone": "z",
    "state": "ready",
    "capacity": {"cpu": 16_000, "mem-mb": 32_768},
    "labels": ["a", "r1-3"],
    "seq": 4,
}
QUEUE = {
    "name": "q",
    "host": "h.example",
    "path-prefix": "/q/",
    "service": "app",
    "stretch": 2.2,
    "target-duration-ms": 1_000,
}


def put(streams: MemoryStreams, stream: str, key: str, value: bytes) -> None:
    streams.append(stream, [KeyedRecord(key, value)])


def entry(**changes: object) -> bytes:
    return json.dumps({**WORKER_ENTRY, **changes}).encode()


@pytest.mark.parametrize(
    "value",
    [
        b"\xff\x00",
        b"[]",
        b"1",
        entry(state="odd"),
        entry(service=7),
        entry(address=None),
        entry(capacity="much"),
        entry(capacity={"cpu": -1}),
        entry(labels=[7]),
        entry(born="1790000000000"),
        entry(born=1.5),
        entry(born=True),
        json.dumps({"service": "app"}).encode(),
    ],
)
def test_unreadable_worker_entry_is_left_out(value: bytes) -> None:
    streams = MemoryStreams()
    put(streams, "servers", "good", entry())
    put(streams, "servers", "odd", value)
    directory = PlatformDirectory(streams)
    assert set(directory.workers().unwrap()) == {"good"}


def test_a_restarted_worker_is_another_incarnation() -> None:
    streams = MemoryStreams()
    directory = PlatformDirectory(streams)
    put(streams, "servers", "w", entry(born=1_790_000_000_000))
    assert set(directory.workers().unwrap()) == {"w@1790000000000"}
    put(streams, "servers", "w", entry(born=1_790_000_005_000))
    assert set(directory.workers().unwrap()) == {"w@1790000005000"}
    put(streams, "servers", "w", b"")
    assert directory.workers().unwrap() == {}


def test_an_entry_is_decoded_into_a_worker() -> None:
    streams = MemoryStreams()
    put(streams, "servers", "w", entry(state="draining"))
    worker = PlatformDirectory(streams).workers().unwrap()["w"]
    assert worker.is_draining
    assert worker.rack == "r1-3"
    assert worker.capacity.cpu_millis == 16_000


def test_deleted_worker_entry_is_left_out() -> None:
    streams = MemoryStreams()
    put(streams, "servers", "w", entry())
    directory = PlatformDirectory(streams)
    directory.workers()
    put(streams, "servers", "w", b"")
    assert directory.workers().unwrap() == {}


def test_unreadable_configuration_is_not_returned() -> None:
    streams = MemoryStreams()
    body = {"version": 3, "routes": [QUEUE], "services": [{"name": "app"}]}
    put(streams, "op", "config", json.dumps(body).encode())
    directory = PlatformDirectory(streams)
    found = directory.configuration(0).unwrap()
    assert found is not None
    assert found.queue_for("h.example", "/q/0a") is not None
    put(streams, "op", "config", b'{"version": 4}')
    assert directory.configuration(0).unwrap() is None


def test_the_longest_prefix_selects_the_queue() -> None:
    streams = MemoryStreams()
    longer = {**QUEUE, "name": "long", "path-prefix": "/q/x/"}
    body = {"version": 1, "routes": [QUEUE, longer], "services": []}
    put(streams, "op", "config", json.dumps(body).encode())
    found = PlatformDirectory(streams).configuration(0).unwrap()
    assert found is not None
    chosen = found.queue_for("h.example", "/q/x/0a")
    assert chosen is not None
    assert chosen.name == "long"
    assert found.queue_for("other", "/q/0a") is None
