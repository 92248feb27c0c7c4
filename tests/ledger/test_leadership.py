from __future__ import annotations

import random

from typing import TYPE_CHECKING

from result import Err

from magnoliapitch.control.worker_tokens import next_token
from magnoliapitch.ledger.claim_delay import LEADER_TIMEOUT_MS
from magnoliapitch.ledger.claim_delay import LONGER_RUNNING_CLAIM_DELAY_MS
from magnoliapitch.ledger.claim_delay import MAX_RESIGNED_JITTER_MS
from magnoliapitch.ledger.health import StoreHealth
from magnoliapitch.ledger.leader_appender import Batch
from magnoliapitch.ledger.leadership import Leadership
from magnoliapitch.ledger.records import LEADER_KEY
from magnoliapitch.ledger.records import PROGRESS_STREAM
from magnoliapitch.ledger.records import STATE_STREAM
from magnoliapitch.ledger.records import TOKENS_PER_EPOCH
from magnoliapitch.ledger.records import LeaderRecord
from magnoliapitch.ledger.records import encode_leader
from magnoliapitch.ledger.state_table import StateTable
from magnoliapitch.ledger.stream import KeyedRecord
from magnoliapitch.verdict import FailureCode
from magnoliapitch.verdict import not_run
from tests.ledger.conftest import AFTER_TIMEOUT_MS
from tests.ledger.conftest import BATCH
from tests.ledger.conftest import become_leader


if TYPE_CHECKING:
    from magnoliapitch.clock import ManualClock
    from tests.ledger.conftest import MakeLeadership
    from tests.ledger.memory_streams import MemoryStreams


SLOW_READ_MS = 200


def test_only_one_of_two_claims_wins(
    make_leadership: MakeLeadership, clock: ManualClock
) -> None:
    first, second = make_leadership("a"), make_leadership("b")
    first.step()
    second.step()
    clock.advance(AFTER_TIMEOUT_MS)
    first.step()
    second.step()
    assert (first.claim is None) != (second.claim is None)


# The store took the second claim for a repeat of the first, and both led.
def test_claims_that_happen_to_have_the_same_epoch_are_told_apart(
    streams: MemoryStreams, clock: ManualClock
) -> None:
    first, second = (
        Leadership(
            streams,
            name,
            StateTable(),
            clock,
            StoreHealth(clock),
            random.Random(1),
            lambda: True,
        )
        for name in ("a", "b")
    )
    first.step()
    second.step()
    clock.advance(AFTER_TIMEOUT_MS)

    def claim_at_the_same_time() -> None:
        streams.before_append = lambda: None
        second.step()

    streams.before_append = claim_at_the_same_time
    first.step()
    assert second.claim is not None
    assert first.claim is None


def test_a_replaced_leader_cannot_store_any_more(
    make_leadership: MakeLeadership, clock: ManualClock
) -> None:
    old, new = make_leadership("a"), make_leadership("b")
    become_leader(old, clock)
    become_leader(new, clock)
    assert new.fence_former_leaders().is_ok()
    outcome = old.commit(BATCH)
    assert isinstance(outcome, Err)
    assert outcome.err_value.code is FailureCode.FENCED
    assert new.commit(BATCH).is_ok()


def test_each_claim_has_a_higher_epoch(
    make_leadership: MakeLeadership, clock: ManualClock
) -> None:
    epochs = []
    for name in ("a", "b", "c", "a"):
        leadership = make_leadership(name)
        become_leader(leadership, clock)
        assert leadership.claim is not None
        epochs.append(leadership.claim.record.epoch)
    assert epochs == sorted(set(epochs))


# Incident TWICE: a leader raises the token of a worker that restarts. The
# first leader is of a release whose only token was its epoch.
def test_all_tokens_of_a_claim_are_below_those_of_the_next(
    streams: MemoryStreams, make_leadership: MakeLeadership, clock: ManualClock
) -> None:
    older = LeaderRecord((7 << 20) - 1, "older")
    streams.append(
        STATE_STREAM, [KeyedRecord(LEADER_KEY, encode_leader(older))]
    )
    last_token = older.epoch
    for name in ("a", "b", "c", "a"):
        leadership = make_leadership(name)
        become_leader(leadership, clock)
        assert leadership.claim is not None
        epoch = leadership.claim.record.epoch
        assert last_token < epoch
        last_token = epoch + TOKENS_PER_EPOCH - 1
        assert next_token(last_token) == last_token


def test_nobody_claims_while_the_leader_stores(
    make_leadership: MakeLeadership, clock: ManualClock
) -> None:
    leader, other = make_leadership("a"), make_leadership("b")
    become_leader(leader, clock)
    for _ in range(20):
        clock.advance(LEADER_TIMEOUT_MS // 2)
        leader.commit(BATCH)
        other.step()
    assert other.claim is None


# During a restart of all instances in turn, each hand-over went to any of
# them, and the next leader was soon restarted as well.
def test_a_restarted_instance_follows_a_leader_that_is_restarted(
    make_leadership: MakeLeadership, clock: ManualClock
) -> None:
    for number in range(20):
        older = make_leadership(f"older-{number}")
        older.step()
        leader = make_leadership(f"leader-{number}")
        become_leader(leader, clock)
        older.step()
        restarted = make_leadership(f"restarted-{number}")
        restarted.step()
        leader.resign()
        while older.claim is None and restarted.claim is None:
            clock.advance(10)
            older.step()
            restarted.step()
        assert restarted.claim is not None
        restarted.resign()


def test_an_instance_that_was_not_restarted_follows_if_no_other_does(
    make_leadership: MakeLeadership, clock: ManualClock
) -> None:
    older, leader = make_leadership("older"), make_leadership("leader")
    older.step()
    become_leader(leader, clock)
    older.step()
    leader.resign()
    older.step()
    clock.advance(MAX_RESIGNED_JITTER_MS + LONGER_RUNNING_CLAIM_DELAY_MS)
    older.step()
    assert older.claim is not None


def test_a_resigned_leader_is_replaced_before_the_timeout(
    make_leadership: MakeLeadership, clock: ManualClock
) -> None:
    leader, other = make_leadership("a"), make_leadership("b")
    become_leader(leader, clock)
    other.step()
    leader.resign()
    other.step()
    clock.advance(LEADER_TIMEOUT_MS // 2)
    other.step()
    assert other.claim is not None


def test_nobody_claims_during_a_store_outage(
    make_leadership: MakeLeadership,
    clock: ManualClock,
    streams: MemoryStreams,
) -> None:
    leadership = make_leadership("a")
    leadership.step()
    streams.outage = not_run(FailureCode.UNAVAILABLE, "the store is down")
    clock.advance(AFTER_TIMEOUT_MS)
    leadership.step()
    assert leadership.claim is None


def test_a_claim_keeps_former_leaders_from_storing_progress(
    make_leadership: MakeLeadership,
    clock: ManualClock,
    streams: MemoryStreams,
) -> None:
    old, new = make_leadership("a"), make_leadership("b")
    become_leader(old, clock)
    become_leader(new, clock)
    assert new.fence_former_leaders().is_ok()
    assert old.commit(Batch(BATCH.progress)).is_err()
    assert streams.keys(PROGRESS_STREAM) == []


def test_store_outage_does_not_count_as_silence_of_the_leader(
    make_leadership: MakeLeadership,
    clock: ManualClock,
    streams: MemoryStreams,
) -> None:
    leader, other = make_leadership("a"), make_leadership("b")
    become_leader(leader, clock)
    other.step()
    streams.outage = not_run(FailureCode.UNAVAILABLE, "the store is down")
    for _ in range(10):
        clock.advance(LEADER_TIMEOUT_MS // 2)
        other.step()
    streams.outage = None
    other.step()
    assert other.claim is None
    assert leader.commit(BATCH).is_ok()
    other.step()
    assert other.claim is None
    clock.advance(AFTER_TIMEOUT_MS)
    other.step()
    assert other.claim is not None


def test_a_fresh_table_is_not_read_again(
    make_leadership: MakeLeadership, streams: MemoryStreams, clock: ManualClock
) -> None:
    follower = make_leadership("a")
    assert follower.refresh(50).is_ok()
    streams.outage = not_run(FailureCode.UNAVAILABLE, "the store is down")
    clock.advance(49)
    assert follower.refresh(50).is_ok()
    clock.advance(1)
    assert follower.refresh(50).is_err()


def test_a_read_that_may_wait_does_not_make_the_table_fresh_for_longer(
    make_leadership: MakeLeadership, streams: MemoryStreams, clock: ManualClock
) -> None:
    """It returns as soon as there are records, long before it would end."""
    follower = make_leadership("a")
    assert follower.follow(wait_ms=800).is_ok()
    streams.append(STATE_STREAM, [KeyedRecord("s.0a", b"cq")])
    clock.advance(50)
    reads = streams.reads
    assert follower.refresh(50).is_ok()
    assert streams.reads == reads + 1


def test_a_claim_wakes_the_thread_that_waits_for_it(
    make_leadership: MakeLeadership, clock: ManualClock
) -> None:
    leadership = make_leadership("a")
    assert leadership.wait_for_claim(0) is None
    become_leader(leadership, clock)
    assert leadership.wait_for_claim(60_000) is leadership.claim
    leadership.step_down()
    assert leadership.wait_for_claim(0) is None


# Under a slow store, the first claim after a resignation came as late as
# three reads of the silence, and a fourth before the claim, take.
def test_a_resigned_leader_is_followed_without_another_slow_read(
    make_leadership: MakeLeadership, streams: MemoryStreams, clock: ManualClock
) -> None:
    leader, other = make_leadership("a"), make_leadership("b")
    become_leader(leader, clock)
    other.step()
    streams.before_read = lambda: clock.advance(SLOW_READ_MS)
    other.follow()
    leader.resign()
    other.follow()
    heard_ms, reads = clock.now_ms(), streams.reads
    while other.claim is None:
        clock.advance(10)
        other.step()
    delay_ms = MAX_RESIGNED_JITTER_MS + LONGER_RUNNING_CLAIM_DELAY_MS
    assert clock.now_ms() - heard_ms <= delay_ms + 10
    assert streams.reads == reads


def test_an_instance_that_may_not_lead_reads_on_after_a_resignation(
    make_leadership: MakeLeadership, streams: MemoryStreams, clock: ManualClock
) -> None:
    leader, other = make_leadership("a"), make_leadership("b")
    become_leader(leader, clock)
    streams.before_read = lambda: clock.advance(SLOW_READ_MS)
    other.follow()
    other.follow()
    leader.resign()
    other.resign()
    for _ in range(3):
        reads = streams.reads
        other.step()
        assert streams.reads > reads
    assert other.claim is None
