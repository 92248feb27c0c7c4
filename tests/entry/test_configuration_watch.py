from __future__ import annotations

import json

from typing import TYPE_CHECKING

from result import Err
from result import Ok
from result import Result

from magnoliapitch.access import AccessGate
from magnoliapitch.access import ConfigurationFreshness
from magnoliapitch.clock import ManualClock
from magnoliapitch.entry.configuration_watch import CHECK_TIMEOUT_MS
from magnoliapitch.entry.configuration_watch import POLL_RETRY_MS
from magnoliapitch.entry.configuration_watch import ConfigurationWatch
from magnoliapitch.ledger.stream import KeyedRecord
from magnoliapitch.metric import Metrics
from magnoliapitch.platform import PlatformDirectory
from magnoliapitch.verdict import FailureCode
from magnoliapitch.verdict import not_run
from tests.ledger.memory_streams import MemoryStreams


if TYPE_CHECKING:
    import threading

    from collections.abc import Callable

    from magnoliapitch.ledger.stream import StreamSlice
    from magnoliapitch.verdict import Failure
    from magnoliapitch.workload.configuration import Configuration


HOST = "h.example"
ROUTE = {"name": "q", "host": HOST, "path-prefix": "/q/", "service": "app"}
DOWN = not_run(FailureCode.UNAVAILABLE, "the store is down")


class PausingStreams(MemoryStreams):
    """Answers a read, then the process is paused for ``pause_ms`` once."""

    def __init__(self, clock: ManualClock) -> None:
        super().__init__()
        self.pause_ms = 0
        self.on_pause: Callable[[], None] = lambda: None
        self._clock = clock

    def read(
        self,
        stream: str,
        from_offset: int,
        wait_ms: int = 0,
        timeout_ms: int = 1_000,
    ) -> Result[StreamSlice, Failure]:
        answer = super().read(stream, from_offset, wait_ms, timeout_ms)
        pause_ms, self.pause_ms = self.pause_ms, 0
        if pause_ms:
            self._clock.advance(pause_ms)
            self.on_pause()
        return answer


class CheckingClock(ManualClock):
    """Carries out a requested check while a call waits for it."""

    def __init__(self) -> None:
        super().__init__(50_000)
        self.instance: Instance | None = None

    def wait(self, event: threading.Event, timeout_ms: int) -> bool:
        if self.instance is None or event.is_set():
            return super().wait(event, timeout_ms)
        instance, self.instance = self.instance, None
        instance.watch.check()
        self.instance = instance
        return event.is_set() or super().wait(event, timeout_ms)


class Instance:
    """One run of an instance's process."""

    def __init__(self, streams: MemoryStreams, clock: CheckingClock) -> None:
        clock.instance = self
        self.applied_versions: list[int] = []
        freshness = ConfigurationFreshness(clock)
        self.gate = AccessGate(freshness, Metrics())
        self.watch = ConfigurationWatch(
            PlatformDirectory(streams), freshness, self._apply
        )

    def accepts(self, key: str) -> bool:
        return self.gate.decide(HOST, "/q/0a", f"Bearer {key}").is_ok()

    def _apply(self, configuration: Configuration) -> None:
        self.applied_versions.append(configuration.version)
        self.gate.configure(configuration)


class Deployment:
    def __init__(self) -> None:
        self.clock = CheckingClock()
        self.streams = PausingStreams(self.clock)

    def start(self) -> Instance:
        return Instance(self.streams, self.clock)

    def put(self, version: int, *keys: str) -> None:
        body = {
            "version": version,
            "routes": [ROUTE],
            "services": [],
            "tenants": [{"name": "north", "api-keys": list(keys)}],
        }
        self.put_bytes(json.dumps(body).encode())

    def put_bytes(self, value: bytes) -> None:
        self.streams.append("op", [KeyedRecord("config", value)])


def test_a_withdrawn_key_is_rejected_by_an_instance_that_was_paused() -> None:
    """The key is withdrawn while the process is paused."""
    deployment = Deployment()
    deployment.put(1, "old")
    instance = deployment.start()
    instance.watch.poll()
    assert instance.accepts("old")
    deployment.put(2, "new")
    deployment.clock.advance(30_000)
    assert not instance.accepts("old")
    assert instance.accepts("new")


def test_an_answer_from_before_a_pause_is_not_taken_as_fresh() -> None:
    """The store had answered a poll before the key was withdrawn."""
    deployment = Deployment()
    deployment.put(1, "old")
    instance = deployment.start()
    instance.watch.poll()
    deployment.streams.pause_ms = 30_000
    deployment.streams.on_pause = lambda: deployment.put(2, "new")
    instance.watch.poll()
    assert instance.applied_versions == [1]
    assert not instance.accepts("old")
    assert instance.applied_versions == [1, 2]


def test_a_withdrawn_key_works_while_the_instance_is_partitioned() -> None:
    """It is rejected by the first call after the partition has healed."""
    deployment = Deployment()
    deployment.put(1, "old")
    instance = deployment.start()
    instance.watch.poll()
    deployment.put(2, "new")
    deployment.streams.outage = DOWN
    deployment.clock.advance(60_000)
    assert instance.watch.poll() == POLL_RETRY_MS
    assert instance.accepts("old")
    assert not instance.accepts("new")
    deployment.streams.outage = None
    assert not instance.accepts("old")
    assert instance.accepts("new")


def test_a_call_during_an_outage_waits_no_longer_than_its_check() -> None:
    deployment = Deployment()
    deployment.put(1, "old")
    instance = deployment.start()
    instance.watch.poll()
    deployment.streams.outage = DOWN
    deployment.clock.advance(60_000)
    started_ms = deployment.clock.now_ms()
    assert instance.accepts("old")
    assert deployment.clock.now_ms() - started_ms <= CHECK_TIMEOUT_MS


def test_a_restarted_instance_answers_after_reading_the_newest_record() -> (
    None
):
    """A key withdrawn before the restart must not work after it."""
    deployment = Deployment()
    deployment.put(1, "old")
    deployment.start().watch.poll()
    deployment.put(2, "new")
    instance = deployment.start()
    deployment.streams.outage = DOWN
    instance.watch.poll()
    assert not instance.accepts("old")
    deployment.streams.outage = None
    instance.watch.poll()
    assert instance.applied_versions == [2]
    assert not instance.accepts("old")
    assert instance.accepts("new")


def test_an_older_record_read_after_a_restart_is_not_applied() -> None:
    """A delayed append of an operator brings a version back."""
    deployment = Deployment()
    deployment.put(2, "new")
    instance = deployment.start()
    instance.watch.poll()
    deployment.put(1, "old")
    instance.watch.poll()
    deployment.put(2, "old")
    instance.watch.poll()
    assert instance.applied_versions == [2]
    assert not instance.accepts("old")


def test_no_older_version_is_applied_after_the_stream_was_truncated() -> None:
    deployment = Deployment()
    deployment.put(2, "new")
    instance = deployment.start()
    instance.watch.poll()
    deployment.put(3, "newer")
    deployment.put(1, "old")
    deployment.streams.expire("op")
    instance.watch.poll()
    assert instance.applied_versions == [2]
    deployment.put(4, "newest")
    deployment.streams.expire("op")
    instance.watch.poll()
    assert instance.applied_versions == [2, 4]


def test_an_unreadable_configuration_keeps_the_last_one_in_force() -> None:
    """Malformed lists of keys must not turn the check of keys off."""
    deployment = Deployment()
    deployment.put(1, "old")
    instance = deployment.start()
    instance.watch.poll()
    body = {"version": 9, "routes": [ROUTE], "services": []}
    tenant = {"name": "north", "api-keys": ["new"]}
    changes: tuple[bytes | dict[str, object], ...] = (
        b"\xff",
        b"[" * 5_000,
        b"null",
        {"tenants": {}},
        {"tenants": ""},
        {"tenants": False},
        {"tenants": ["north"]},
        {"tenants": [{**tenant, "name": ""}]},
        {"tenants": [{**tenant, "name": ["north"]}]},
        {"tenants": [{**tenant, "api-keys": "new"}]},
        {"tenants": [{**tenant, "api-keys": [["new"]]}]},
        {"tenants": [{**tenant, "api-keys": [""]}]},
        {"tenants": [tenant], "version": 1e300, "routes": [{}]},
        {"tenants": [tenant], "routes": [{**ROUTE, "host": ["h"]}]},
        {"tenants": [tenant], "routes": [{**ROUTE, "public": "false"}]},
    )
    for change in changes:
        deployment.put_bytes(
            change
            if isinstance(change, bytes)
            else json.dumps({**body, **change}).encode()
        )
        assert instance.watch.poll() == 0
        assert instance.accepts("old"), change
        assert not instance.accepts("new"), change
    assert instance.applied_versions == [1]
    deployment.put(2, "new")
    instance.watch.poll()
    assert instance.applied_versions == [1, 2]


def test_every_thread_gets_the_configuration_that_another_has_read() -> None:
    """Else a check without news ends before the news are applied."""
    deployment = Deployment()
    deployment.put(1, "old")
    directory = PlatformDirectory(deployment.streams)
    first = directory.configuration(0).unwrap()
    second = directory.configuration(0).unwrap()
    assert first is not None
    assert second is first


def test_2000_keys_of_20_workspaces_are_replaced_at_once() -> None:
    deployment = Deployment()
    deployment.put(1, *(f"old-{number}" for number in range(2_000)))
    instance = deployment.start()
    instance.watch.poll()
    deployment.put(2, *(f"new-{number}" for number in range(2_000)))
    instance.watch.poll()
    assert not any(instance.accepts(f"old-{n}") for n in range(2_000))
    assert all(instance.accepts(f"new-{n}") for n in range(2_000))


def test_a_failed_read_is_reported_as_a_failure() -> None:
    deployment = Deployment()
    deployment.streams.outage = DOWN
    directory = PlatformDirectory(deployment.streams)
    assert directory.configuration(0) == Err(DOWN)
    deployment.streams.outage = None
    assert directory.configuration(0) == Ok(None)
