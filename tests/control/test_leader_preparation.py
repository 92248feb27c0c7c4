"""Preparation of a new leader under a slow store."""

from __future__ import annotations

import threading

from typing import TYPE_CHECKING
from typing import Any

import pytest

from result import Err
from result import Ok
from result import Result

from magnoliapitch.clock import ManualClock
from magnoliapitch.control import leader_preparation
from magnoliapitch.control.leader_preparation import KEEP_INTERVAL_MS
from magnoliapitch.control.leader_preparation import MAX_KEEP_MS
from magnoliapitch.control.leader_preparation import MAX_LOAD_TIMEOUT_MS
from magnoliapitch.control.leader_preparation import LeaderPreparation
from magnoliapitch.ledger.claim import Claim
from magnoliapitch.ledger.elapsed_clock import LeaderClock
from magnoliapitch.ledger.job_follower import LOAD_TIMEOUT_MS
from magnoliapitch.ledger.records import LeaderRecord
from magnoliapitch.verdict import FailureCode
from magnoliapitch.verdict import may_have_run
from magnoliapitch.verdict import not_run


if TYPE_CHECKING:
    from collections.abc import Callable

    from magnoliapitch.verdict import Failure

LATE = Err(may_have_run(FailureCode.TIMEOUT, "no answer"))
FENCED = Err(not_run(FailureCode.FENCED, "a higher epoch was seen"))
DEADLINE_S = 10.0


class Store:
    """Stands for the leadership and the stored jobs of a new leader.

    :ivar append_ms: how long an append takes.
    :ivar load_ms: how long the whole read of the jobs takes.
    :ivar kept_ms: when the claim was stored again.
    :ivar timeouts_ms: how long each whole read was allowed to take.
    """

    def __init__(self) -> None:
        self.clock = ManualClock(0)
        self.append_ms = 0
        self.load_ms = 0
        self.kept_ms: list[int] = []
        self.timeouts_ms: list[int] = []
        self.keep_outcome: Result[None, Failure] = Ok(None)
        self._kept = threading.Event()

    def fence_former_leaders(self) -> Result[int, Failure]:
        self.clock.advance(self.append_ms)
        return Ok(0)

    def keep_claim(self) -> Result[None, Failure]:
        self.kept_ms.append(self.clock.now_ms())
        self._kept.set()
        return self.keep_outcome

    def load(
        self, timeout_ms: int, goes_on: Callable[[], bool]
    ) -> Result[None, Failure]:
        self.timeouts_ms.append(timeout_ms)
        end_ms = self.clock.now_ms() + min(self.load_ms, timeout_ms)
        while self.clock.now_ms() < end_ms:
            self.clock.advance(KEEP_INTERVAL_MS)
            self._kept.clear()
            if not goes_on():
                return LATE
            # Another thread stores the claim.
            self._kept.wait(0.05)
        return Ok(None) if self.load_ms <= timeout_ms else LATE

    def prepare(
        self, is_wanted: Callable[[], bool] = lambda: True
    ) -> Result[None, Failure]:
        self_as_both: Any = self
        claim = Claim(LeaderRecord(1, "a"), 0, LeaderClock(1, 1, 0))
        preparation = LeaderPreparation(self_as_both, self.clock, is_wanted)
        return preparation.run(claim, self_as_both)


@pytest.fixture
def store(monkeypatch: pytest.MonkeyPatch) -> Store:
    monkeypatch.setattr(leader_preparation, "RETRY_DELAY_MS", 0)
    return Store()


def test_a_quick_store_gets_no_further_call(store: Store) -> None:
    store.append_ms = 5
    assert store.prepare().is_ok()
    assert store.kept_ms == []
    assert store.timeouts_ms == [LOAD_TIMEOUT_MS]


# A slow store was taken for an unavailable one after 2 s.
def test_a_slow_store_is_waited_for_with_the_claim_kept(store: Store) -> None:
    store.append_ms = 240
    store.load_ms = 4_500
    assert store.prepare().is_ok()
    assert len(store.timeouts_ms) == 1
    gaps_ms = [
        later - earlier
        for earlier, later in zip(
            [0, *store.kept_ms], [*store.kept_ms, 4_740], strict=True
        )
    ]
    assert max(gaps_ms) <= 3 * KEEP_INTERVAL_MS


def test_a_late_read_is_tried_again_with_more_time(store: Store) -> None:
    store.load_ms = LOAD_TIMEOUT_MS + 1
    assert store.prepare().is_ok()
    assert store.timeouts_ms == [LOAD_TIMEOUT_MS, 2 * LOAD_TIMEOUT_MS]


# It would keep an instance that can read from leading.
def test_a_leader_that_can_store_but_not_read_gives_way(store: Store) -> None:
    store.load_ms = 10 * MAX_LOAD_TIMEOUT_MS
    assert store.prepare().is_err()
    assert max(store.kept_ms) < MAX_KEEP_MS
    assert max(store.timeouts_ms) == MAX_LOAD_TIMEOUT_MS


def test_a_leader_that_was_replaced_stops_reading(store: Store) -> None:
    store.load_ms = MAX_LOAD_TIMEOUT_MS
    store.append_ms = 400
    store.keep_outcome = FENCED
    assert store.prepare() == FENCED
    assert store.clock.now_ms() < MAX_LOAD_TIMEOUT_MS


def test_an_instance_that_stops_does_not_read_on(store: Store) -> None:
    store.load_ms = MAX_LOAD_TIMEOUT_MS
    store.append_ms = 400
    assert store.prepare(lambda: store.clock.now_ms() < 1_000).is_err()
    assert store.clock.now_ms() < 2_000
    assert len(store.timeouts_ms) == 1
