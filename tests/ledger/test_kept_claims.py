"""Claims that a leader stores again while it prepares."""

from __future__ import annotations

from typing import TYPE_CHECKING

from result import Err

from magnoliapitch.ledger.claim_delay import LEADER_TIMEOUT_MS
from magnoliapitch.ledger.leader_appender import Batch
from magnoliapitch.ledger.records import LEADER_KEY
from magnoliapitch.ledger.records import STATE_STREAM
from magnoliapitch.ledger.stream import KeyedRecord
from magnoliapitch.verdict import FailureCode
from tests.ledger.conftest import become_leader


if TYPE_CHECKING:
    from magnoliapitch.clock import ManualClock
    from tests.ledger.conftest import MakeLeadership
    from tests.ledger.memory_streams import MemoryStreams


BATCH = Batch((), (KeyedRecord("s.0", b"pq"),))


# Under a slow store, three leaders in turn were replaced while they read the
# jobs, and nobody led for seconds.
def test_nobody_claims_while_the_new_leader_still_prepares(
    make_leadership: MakeLeadership, clock: ManualClock
) -> None:
    leader, other = make_leadership("a"), make_leadership("b")
    become_leader(leader, clock)
    for _ in range(20):
        clock.advance(LEADER_TIMEOUT_MS // 2)
        assert leader.keep_claim().is_ok()
        other.step()
    assert other.claim is None
    clock.advance(2 * LEADER_TIMEOUT_MS)
    other.step()
    assert other.claim is not None


def test_a_replaced_leader_cannot_keep_its_claim(
    make_leadership: MakeLeadership, clock: ManualClock
) -> None:
    old, new = make_leadership("a"), make_leadership("b")
    become_leader(old, clock)
    become_leader(new, clock)
    kept = old.keep_claim()
    assert isinstance(kept, Err)
    assert kept.err_value.code is FailureCode.FENCED


def test_a_claim_is_not_stored_again_once_states_are(
    make_leadership: MakeLeadership, streams: MemoryStreams, clock: ManualClock
) -> None:
    committing, resigning = make_leadership("a"), make_leadership("b")
    become_leader(committing, clock)
    assert committing.commit(BATCH).is_ok()
    appends = streams.appends
    assert committing.keep_claim().is_ok()
    assert streams.appends == appends
    become_leader(resigning, clock)
    resigning.resign()
    appends = streams.appends
    assert resigning.keep_claim().is_ok()
    assert streams.appends == appends


# The store takes an append with a known sequence number for a repeat: states
# under the number of a claim whose answer was lost would never be stored.
def test_states_are_stored_after_a_kept_claim_without_an_answer(
    make_leadership: MakeLeadership, streams: MemoryStreams, clock: ManualClock
) -> None:
    leader = make_leadership("a")
    become_leader(leader, clock)
    claims = streams.keys(STATE_STREAM).count(LEADER_KEY)
    streams.responses_to_lose = 2
    assert leader.keep_claim().is_err()
    assert leader.commit(BATCH).is_err()
    assert leader.commit(BATCH).is_ok()
    assert streams.keys(STATE_STREAM)[-1] == "s.0"
    assert streams.keys(STATE_STREAM).count(LEADER_KEY) == claims + 1
