from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from magnoliapitch.clock import ManualClock
from magnoliapitch.ledger.health import StoreHealth
from magnoliapitch.ledger.job_follower import LOAD_TIMEOUT_MS
from magnoliapitch.ledger.job_follower import JobFollower
from magnoliapitch.ledger.records import JOB_STREAM
from magnoliapitch.ledger.records import PROGRESS_STREAM
from tests.ledger.memory_streams import MemoryStreams


if TYPE_CHECKING:
    import pytest


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
