from __future__ import annotations

from typing import TYPE_CHECKING

from magnoliapitch.ledger.claim_delay import LEADER_TIMEOUT_MS
from magnoliapitch.ledger.elapsed_clock import ClockStamp
from magnoliapitch.ledger.elapsed_clock import ElapsedClock
from magnoliapitch.ledger.state_table import StateTable


if TYPE_CHECKING:
    from magnoliapitch.clock import ManualClock
    from tests.ledger.conftest import MakeLeadership


def test_a_leader_continues_from_when_it_received_the_reading() -> None:
    clock = ElapsedClock()
    clock.record(ClockStamp(epoch=7, origin=3, elapsed_ms=500), 10_000)
    leader = clock.continue_as(8, 7, 10_200)
    assert leader.stamp(10_300) == ClockStamp(8, 3, 800)
    assert leader.local_ms(leader.lease_end(12_345).elapsed_ms) == 12_345


# A leader of a release without the clock stores no reading, and may have
# granted leases since the newest one.
def test_a_reading_of_another_leader_than_the_last_begins_a_new_series() -> (
    None
):
    clock = ElapsedClock()
    clock.record(ClockStamp(epoch=7, origin=3, elapsed_ms=500), 10_000)
    leader = clock.continue_as(9, 8, 10_200)
    assert leader.inherited_ms is None
    assert leader.stamp(10_300) == ClockStamp(9, 9, 100)


def test_a_claim_tells_how_long_ago_leases_of_former_leaders_began() -> None:
    clock = ElapsedClock()
    assert clock.continue_as(8, 7, 10_200).inherited_age_ms(10_200) is None
    clock.record(ClockStamp(epoch=7, origin=3, elapsed_ms=500), 10_000)
    assert clock.continue_as(8, 7, 10_200).inherited_age_ms(10_200) == 200


# The wait would begin anew with each leader that is lost before its first
# heartbeat.
def test_a_claim_stores_a_reading_that_the_next_leader_continues_from(
    make_leadership: MakeLeadership, clock: ManualClock
) -> None:
    first, second = make_leadership("a"), make_leadership("b")
    for leadership in (first, second):
        leadership.step()
        clock.advance(2 * LEADER_TIMEOUT_MS)
        leadership.step()
    assert first.claim is not None
    assert second.claim is not None
    assert second.claim.clock.origin == first.claim.record.epoch
    assert second.claim.clock.inherited_ms == 0


def test_an_unreadable_reading_is_skipped() -> None:
    table = StateTable()
    table.apply({"clock": b"{", "l.w": b"[1]"}, ["clock", "l.w"])
    assert table.lease_end_by_worker == {}
    assert table.clock.continue_as(1, 0, 5).inherited_ms is None


# Incident LOST, again: a leader that claims but is lost before it is prepared
# has granted no lease, and must not make the next one wait for longer.
def test_a_claim_leaves_what_leases_rest_on_as_the_former_leader_stored_it(
    make_leadership: MakeLeadership, clock: ManualClock
) -> None:
    leaderships = [make_leadership(name) for name in "abc"]
    for leadership in leaderships:
        leadership.step()
        clock.advance(2 * LEADER_TIMEOUT_MS)
        leadership.step()
    last = leaderships[-1].claim
    assert last is not None
    assert last.clock.inherited_ms == 0
    elapsed_ms = last.clock.stamp(clock.now_ms()).elapsed_ms
    assert elapsed_ms >= 2 * LEADER_TIMEOUT_MS


# A leader of an earlier release stores no such record. One of a leader before
# it must not be taken for it.
def test_what_leases_rest_on_is_used_only_beside_its_own_reading() -> None:
    clock = ElapsedClock()
    clock.record(ClockStamp(epoch=7, origin=3, elapsed_ms=9_000), 10_000)
    assert clock.continue_as(8, 7, 10_200).inherited_ms == 9_000
    clock.record_basis(ClockStamp(epoch=6, origin=3, elapsed_ms=4_000))
    assert clock.continue_as(8, 7, 10_200).inherited_ms == 9_000
    clock.record_basis(ClockStamp(epoch=7, origin=3, elapsed_ms=4_000))
    assert clock.continue_as(8, 7, 10_200).inherited_ms == 4_000
