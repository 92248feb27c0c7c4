from __future__ import annotations

from magnoliapitch.control.renewal_pacing import RenewalPacing


def settled() -> RenewalPacing:
    pace = RenewalPacing()
    pace.record_answered(lease_granted=False)
    pace.record_answered(lease_granted=True)
    return pace


def test_the_first_look_does_not_wait_and_a_lease_follows_soon() -> None:
    pace = RenewalPacing()
    assert pace.next_renewal(0).wait_ms == 0
    assert pace.record_answered(lease_granted=False) <= 20
    assert pace.next_renewal(0).wait_ms > 0


def test_an_end_is_known_within_600_ms_on_a_link_that_loses_answers() -> None:
    pace = settled()
    pause_ms = pace.record_unanswered(1_000)
    assert pause_ms <= 20
    assert pace.next_renewal(1_020).wait_ms == 0
    pace.record_answered(lease_granted=False)
    look = pace.next_renewal(1_050)
    assert look.wait_ms + look.timeout_ms + pause_ms <= 600


def test_a_link_that_lost_nothing_for_long_is_looked_at_rarely() -> None:
    pace = settled()
    calm = pace.next_renewal(0)
    pace.record_unanswered(0)
    pace.record_answered(lease_granted=True)
    assert pace.next_renewal(5_000).wait_ms < calm.wait_ms
    assert pace.next_renewal(60_000) == calm


def test_a_worker_that_is_away_is_not_pressed() -> None:
    pace = settled()
    pauses_ms = [pace.record_unanswered(number * 500) for number in range(5)]
    assert min(pauses_ms[1:]) >= 300


def test_a_worker_without_lease_is_not_pressed() -> None:
    pace = settled()
    pauses_ms = [pace.record_answered(lease_granted=False) for _ in range(5)]
    assert min(pauses_ms[1:]) >= 300
