from __future__ import annotations

import threading

from typing import TYPE_CHECKING
from typing import Any

from magnoliapitch.clock import ManualClock
from magnoliapitch.ledger.health import StoreHealth
from magnoliapitch.ledger.job_follower import LOAD_TIMEOUT_MS
from magnoliapitch.ledger.job_follower import JobFollower
from magnoliapitch.ledger.records import JOB_PREFIX
from magnoliapitch.ledger.records import JOB_STREAM
from magnoliapitch.ledger.records import PROGRESS_STREAM
from magnoliapitch.ledger.records import encode_job
from magnoliapitch.ledger.stream import KeyedRecord
from tests.ledger.memory_streams import MemoryStreams
from tests.ledger.test_admission_gate import JOB


if TYPE_CHECKING:
    import pytest


DEADLINE_S = 10.0


# Under a slow store, each new leader gave up reading the jobs after 0.6 s and
# the next one claimed, so that nobody led for seconds.
def test_a_new_leader_gives_every_read_the_time_to_load(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    streams = MemoryStreams()
    newest = streams.newest
    timeouts_ms: dict[str, int] = {}

    def record(stream: str, after_key: str, timeout_ms: int) -> Any:
        timeouts_ms[stream] = timeout_ms
        return newest(stream, after_key, timeout_ms)

    monkeypatch.setattr(streams, "newest", record)
    clock = ManualClock(0)
    follower = JobFollower(streams, clock, StoreHealth(clock), lambda *_: None)
    assert follower.load().is_ok()
    assert timeouts_ms == {
        PROGRESS_STREAM: LOAD_TIMEOUT_MS,
        JOB_STREAM: LOAD_TIMEOUT_MS,
    }


class BlockingStreams(MemoryStreams):
    """Answers no reading of newest records before the test lets it.

    :ivar begun: streams that such a reading has begun of.
    """

    def __init__(self) -> None:
        super().__init__()
        self.begun: set[str] = set()
        self.release = threading.Event()

    def newest(
        self, stream: str, after_key: str = "", timeout_ms: int = 1_000
    ) -> Any:
        self.begun.add(stream)
        self.release.wait(DEADLINE_S)
        return super().newest(stream, after_key, timeout_ms)


# Under a slow store, a new leader waited for the progress and then for the
# jobs, each of which takes seconds.
def test_progress_and_jobs_are_loaded_at_the_same_time() -> None:
    streams = BlockingStreams()
    clock = ManualClock(0)
    follower = JobFollower(streams, clock, StoreHealth(clock), lambda *_: None)

    def goes_on() -> bool:
        if streams.begun == {PROGRESS_STREAM, JOB_STREAM}:
            streams.release.set()
        return True

    assert follower.load(goes_on=goes_on).is_ok()
    assert streams.release.is_set()


def test_a_load_that_is_not_wanted_any_more_is_not_waited_for() -> None:
    streams = BlockingStreams()
    clock = ManualClock(0)
    follower = JobFollower(streams, clock, StoreHealth(clock), lambda *_: None)
    assert follower.load(goes_on=lambda: False).is_err()
    assert not streams.release.is_set()
    streams.release.set()


class SilentStreams(MemoryStreams):
    """Does not answer a read of new records before the test lets it."""

    def __init__(self) -> None:
        super().__init__()
        self.is_reading = threading.Event()
        self.release = threading.Event()

    def read(self, *args: Any, **options: Any) -> Any:
        self.is_reading.set()
        self.release.wait(DEADLINE_S)
        return super().read(*args, **options)


# Incident SHORT: while the store told nothing of new records for a second,
# jobs that the leader's own instance had stored were not started.
def test_jobs_that_this_instance_has_stored_are_known_at_once() -> None:
    streams = SilentStreams()
    clock = ManualClock(1_000)
    reads: list[tuple[frozenset[str], int, int]] = []
    follower = JobFollower(
        streams, clock, StoreHealth(clock), lambda *read: reads.append(read)
    )
    assert follower.load().is_ok()
    following = threading.Thread(target=follower.follow)
    following.start()
    assert streams.is_reading.wait(DEADLINE_S)
    clock.advance(300)
    record = KeyedRecord(JOB_PREFIX + "0a", encode_job(JOB))
    appended = streams.append(JOB_STREAM, [record]).unwrap()
    follower.add_appended([record], appended.offset)
    # How far the stream was read, and when, is as before.
    assert reads == [(frozenset({"0a"}), 0, 1_000)]
    assert follower.job_table.get("0a") is not None
    streams.release.set()
    following.join(DEADLINE_S)
    assert reads[1:] == [(frozenset(), 1, 1_000)]
