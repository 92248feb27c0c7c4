"""Commits of a leader: refused records, lost answers, a later claim."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from result import Err

from magnoliapitch.ledger.leader_appender import Batch
from magnoliapitch.ledger.records import PROGRESS_STREAM
from magnoliapitch.ledger.records import STATE_STREAM
from magnoliapitch.ledger.stream import KeyedRecord
from magnoliapitch.verdict import FailureCode
from magnoliapitch.verdict import not_run
from tests.ledger.conftest import BATCH
from tests.ledger.conftest import become_leader


if TYPE_CHECKING:
    import pytest

    from magnoliapitch.clock import ManualClock
    from tests.ledger.conftest import MakeLeadership
    from tests.ledger.memory_streams import MemoryStreams


# A batch that the store refused ended each leadership anew.
def test_a_commit_leaves_out_refused_records_only(
    make_leadership: MakeLeadership, clock: ManualClock, streams: MemoryStreams
) -> None:
    leader = make_leadership("a")
    become_leader(leader, clock)
    refused: list[str] = []
    streams.invalid_keys = {"p.3", "s.1"}
    batch = Batch(
        tuple(KeyedRecord(f"p.{number}", b"1") for number in range(7)),
        tuple(KeyedRecord(f"s.{number}", b"pq") for number in range(3)),
    )
    stored = leader.commit(
        batch, lambda: refused.extend(leader.refused_keys())
    )
    assert stored.is_ok()
    assert refused == ["p.3"]
    assert streams.keys(PROGRESS_STREAM) == [
        f"p.{number}" for number in range(7) if number != 3
    ]
    assert streams.keys(STATE_STREAM)[-2:] == ["s.0", "s.2"]
    assert leader.commit(BATCH).is_ok()
    assert leader.refused_keys() == ()


def test_a_large_commit_is_divided_and_goes_on_after_a_lost_answer(
    make_leadership: MakeLeadership, clock: ManualClock, streams: MemoryStreams
) -> None:
    leader = make_leadership("a")
    become_leader(leader, clock)
    keys = [f"p.{number}" for number in range(30)]
    batch = Batch(tuple(KeyedRecord(key, b"1" * 250_000) for key in keys))
    told: list[bool] = []
    streams.responses_to_lose = 1
    for _ in range(2):
        outcome = leader.commit(batch, lambda: told.append(True))
    assert outcome.is_ok()
    assert streams.keys(PROGRESS_STREAM) == keys
    assert told == [True]


def test_a_store_that_takes_no_call_at_all_refuses_no_record(
    make_leadership: MakeLeadership, clock: ManualClock, streams: MemoryStreams
) -> None:
    """Otherwise every job would fail with a malformed answer of the store."""
    leader = make_leadership("a")
    become_leader(leader, clock)
    streams.outage = not_run(FailureCode.INVALID, "the store answered 403")
    assert leader.commit(BATCH).is_err()
    assert leader.refused_keys() == ()


# Incident LOST: calls that arrived damaged for a moment were divided, and each
# job whose single record was refused then failed.
def test_records_that_are_refused_in_passing_are_stored(
    make_leadership: MakeLeadership, clock: ManualClock, streams: MemoryStreams
) -> None:
    leader = make_leadership("a")
    become_leader(leader, clock)
    # The batch, its first half, and the first record twice, each time with a
    # probe after it.
    is_damaged = [True, True, True, False, True, False]

    def damage() -> None:
        is_refused = is_damaged.pop(0) if is_damaged else False
        streams.outage = (
            not_run(FailureCode.INVALID, "status 400") if is_refused else None
        )

    streams.before_append = damage
    keys = [f"p.{number}" for number in range(4)]
    batch = Batch(tuple(KeyedRecord(key, b"x") for key in keys))
    assert leader.commit(batch).is_ok()
    assert leader.refused_keys() == ()
    assert streams.keys(PROGRESS_STREAM) == keys


def test_a_commit_whose_answer_was_lost_is_stored_once(
    make_leadership: MakeLeadership,
    clock: ManualClock,
    streams: MemoryStreams,
) -> None:
    leadership = make_leadership("a")
    become_leader(leadership, clock)
    for lost_count in (1, 2):
        streams.responses_to_lose = lost_count
        while leadership.commit(BATCH).is_err():
            pass
    assert streams.keys(PROGRESS_STREAM).count("p.0") == 2
    assert streams.keys(STATE_STREAM).count("s.0") == 2


# A commit under way when its instance claimed again went on under the new
# epoch, so that states of the old leadership could replace newer ones.
def test_a_commit_does_not_go_on_under_the_next_claim(
    make_leadership: MakeLeadership,
    streams: MemoryStreams,
    clock: ManualClock,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    leadership = make_leadership("a")
    become_leader(leadership, clock)
    append = streams.append

    def claim_again_first(*args: Any, **options: Any) -> Any:
        monkeypatch.setattr(streams, "append", append)
        leadership.step_down()
        become_leader(leadership, clock)
        return append(*args, **options)

    monkeypatch.setattr(streams, "append", claim_again_first)
    outcome = leadership.commit(BATCH)
    assert isinstance(outcome, Err)
    assert outcome.err_value.code is FailureCode.FENCED
    assert leadership.fence_former_leaders().is_ok()
    assert leadership.commit(BATCH).is_ok()
